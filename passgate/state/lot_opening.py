"""Validates a trainer's request for a lot and builds the record that opens the lot."""

from __future__ import annotations

from passgate.clock import unix_s
from passgate.errors import MalformedBody, PayloadTooLarge
from passgate.records import LotOpened, PackedPrompt, PromptSpec, pack_tokens
from passgate.state.lot_types import LotRequest

LOT_LIMIT_PROMPTS = 8192
LOT_LIMIT_PROMPT_TOKENS = 4_194_304
"""All prompts of a lot are in one record, whose decoding blocks the event loop."""


def validate_request(request: LotRequest) -> None:
    """Raise an error unless the lot can be opened.

    Raises:
        MalformedBody: a value is out of range; details name ``field``.
        PayloadTooLarge: there are too many prompts or prompt tokens; details name ``field``.
    """
    if not request.prompts:
        raise MalformedBody("a lot must have at least one prompt", field="prompts")
    if len(request.prompts) > LOT_LIMIT_PROMPTS:
        raise PayloadTooLarge(f"a lot must have at most {LOT_LIMIT_PROMPTS} prompts", field="prompts")
    if sum(len(prompt.prompt) for prompt in request.prompts) > LOT_LIMIT_PROMPT_TOKENS:
        raise PayloadTooLarge(
            f"a lot must have at most {LOT_LIMIT_PROMPT_TOKENS} prompt tokens", field="prompts"
        )
    if request.staleness_bound < 0:
        raise MalformedBody("the staleness bound must not be negative", field="staleness_bound")
    if any(prompt.max_tokens < 1 for prompt in request.prompts):
        raise MalformedBody("max_tokens must be at least 1", field="prompts.max_tokens")


def make_opening_record(request: LotRequest, lot_id: str, newest_version: int) -> LotOpened:
    """Return the record that opens the lot.

    ``newest_version`` is the newest version of the model in this daemon's configuration.

    Raises:
        MalformedBody: a token identifier does not fit into 32 bits.
    """
    return LotOpened(
        lot_id=lot_id,
        caller=request.caller,
        pool=request.pool,
        model=request.model,
        priority_class=request.priority_class,
        staleness_bound=request.staleness_bound,
        trainer_version=max(request.trainer_version, newest_version),
        deadline_unix_s=None if request.deadline_s is None else unix_s() + request.deadline_s,
        packed_prompts=tuple(_pack_prompt(prompt) for prompt in request.prompts),
    )


def _pack_prompt(prompt: PromptSpec) -> PackedPrompt:
    try:
        tokens = pack_tokens(prompt.prompt)
    except OverflowError:
        raise MalformedBody(
            "token identifiers must be unsigned 32-bit integers", field="prompts.prompt"
        ) from None
    return PackedPrompt(tokens=tokens, max_tokens=prompt.max_tokens, seed=prompt.seed)
