"""``/v1/lots``: lots of prompts for which trainers request samples.

A lot belongs to the caller that opened it; for every other caller it does not exist.
"""

from __future__ import annotations

import re

from passgate.errors import InvalidRequest, NotFound
from passgate.server.base_handlers import CallerHandler
from passgate.server.options import (
    IDEMPOTENCY_KEY_HEADER,
    IDEMPOTENCY_KEY_PATTERN,
    PRIORITY_HEADER,
    SELECTOR_HEADER,
    check_priority_class,
    check_token_ids,
    choose_engine_pool,
    request_digest,
)
from passgate.server.wire import Done, OpenLotRequest, ReplaceSamplesRequest, SampleIds
from passgate.state.lots import LotInfo, LotRequest

LOT_ID_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")
DEFAULT_SAMPLES_PER_PAGE = 64
CREATED_STATUS = 201
DERIVED_ID_DIGEST_LENGTH = 32
VERSION_LIMIT = 2**62


class LotsHandler(CallerHandler):
    """``/v1/lots``: opens lots."""

    async def post(self) -> None:
        """Open a lot, or return the lot that is already open under the same identifier."""
        body = self.decode_body(OpenLotRequest)
        self._check_request(body)
        state = self.context.services.configuration.state
        selector = self.request.headers.get(SELECTOR_HEADER, "") or body.selector
        pool = choose_engine_pool(state, selector, body.model)
        priority_class = self.request.headers.get(PRIORITY_HEADER, "") or body.priority_class
        check_priority_class(state, priority_class)
        request = LotRequest(
            caller=self.caller,
            pool=pool.name,
            model=pool.spec.model,
            priority_class=priority_class,
            staleness_bound=body.staleness_bound,
            trainer_version=body.trainer_version,
            deadline_s=body.deadline_s,
            prompts=body.prompts,
        )
        info = await self.context.services.lots.open(request, self._choose_lot_id(body))
        self.answer_json(info, CREATED_STATUS)

    def _choose_lot_id(self, body: OpenLotRequest) -> str | None:
        """Return the identifier in the body, else one derived from Idempotency-Key, else None."""
        if body.lot_id:
            return check_lot_id(body.lot_id)
        key = self.request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        if not key:
            return None
        if not IDEMPOTENCY_KEY_PATTERN.match(key):
            raise InvalidRequest(
                f"{IDEMPOTENCY_KEY_HEADER} must be 1 to 256 printable ASCII characters",
                header=IDEMPOTENCY_KEY_HEADER,
            )
        digest = request_digest(self.caller.encode(), key.encode())
        return f"lot-{digest[:DERIVED_ID_DIGEST_LENGTH]}"

    def _check_request(self, body: OpenLotRequest) -> None:
        limits = self.context.settings.limits
        if not 1 <= len(body.prompts) <= limits.max_lot_prompts:
            raise InvalidRequest(f"a lot must have 1 to {limits.max_lot_prompts} prompts", field="prompts")
        if body.staleness_bound < 0 or not 0 <= body.trainer_version < VERSION_LIMIT:
            raise InvalidRequest(
                "staleness_bound and trainer_version must be 0 or more, and trainer_version below 2^62",
                field="staleness_bound",
            )
        if body.deadline_s is not None and not 0 < body.deadline_s <= limits.max_deadline_s:
            raise InvalidRequest(
                f"deadline_s must be above 0 and at most {limits.max_deadline_s:g}", field="deadline_s"
            )
        for index, prompt in enumerate(body.prompts):
            self._check_prompt(index, len(prompt.prompt), prompt.max_tokens)
            check_token_ids(prompt.prompt, f"prompts[{index}].prompt")

    def _check_prompt(self, index: int, prompt_tokens: int, max_tokens: int) -> None:
        limits = self.context.settings.limits
        if not 1 <= prompt_tokens <= limits.max_prompt_tokens:
            raise InvalidRequest(
                "the prompt has no tokens or more than max_prompt_tokens", field=f"prompts[{index}].prompt"
            )
        if not 1 <= max_tokens <= limits.max_output_tokens:
            raise InvalidRequest(
                "max_tokens is below 1 or above max_output_tokens", field=f"prompts[{index}].max_tokens"
            )


def check_lot_id(lot_id: str) -> str:
    """Return ``lot_id``; raises InvalidRequest when it does not match LOT_ID_PATTERN."""
    if not LOT_ID_PATTERN.match(lot_id):
        raise InvalidRequest(f"lot_id must match {LOT_ID_PATTERN.pattern}", field="lot_id")
    return lot_id


class _SingleLotHandler(CallerHandler):
    """Base of the handlers of one lot."""

    async def get_own_lot(self, lot_id: str) -> LotInfo:
        """Return the state of a lot of this caller; raises NotFound, also for the lot of another caller."""
        info = await self.context.services.lots.info(check_lot_id(lot_id))
        if info.caller != self.caller:
            raise NotFound("no such lot", lot_id=lot_id)
        return info


class LotHandler(_SingleLotHandler):
    """``/v1/lots/{lot_id}``: shows and cancels one lot."""

    async def get(self, lot_id: str) -> None:
        """Show the state of a lot."""
        self.answer_json(await self.get_own_lot(lot_id))

    async def delete(self, lot_id: str) -> None:
        """Cancel a lot: no further samples are produced or delivered."""
        await self.get_own_lot(lot_id)
        await self.context.services.lots.cancel(lot_id)
        self.answer_json(Done())


class LotSamplesHandler(_SingleLotHandler):
    """``/v1/lots/{lot_id}/samples``: delivers finished samples."""

    async def get(self, lot_id: str) -> None:
        """Return the samples from a cursor on; wait up to ``wait_s`` for the first."""
        limits = self.context.settings.limits
        cursor = self._read_number("cursor", 0, VERSION_LIMIT)
        limit = self._read_number("limit", DEFAULT_SAMPLES_PER_PAGE, limits.max_samples_page)
        trainer_version = self._read_number("trainer_version", -1, VERSION_LIMIT)
        wait_s = self._read_wait_s()
        if limit < 1:
            raise InvalidRequest("limit must be at least 1", field="limit")
        await self.get_own_lot(lot_id)
        version = None if trainer_version < 0 else trainer_version
        page_read = self.context.services.lots.read(lot_id, cursor, limit, wait_s, version)
        page = await self.run_cancellable(page_read)
        self.context.metrics.samples_handed_over.inc(len(page.samples))
        self.answer_json(page)

    def _read_number(self, name: str, default: int, maximum: int) -> int:
        text = self.get_query_argument(name, "")
        if not text:
            return default
        if not (text.isascii() and text.isdigit() and len(text) < 20 and int(text) <= maximum):
            raise InvalidRequest(f"{name} must be an integer from 0 to {maximum}", field=name)
        return int(text)

    def _read_wait_s(self) -> float:
        limits = self.context.settings.limits
        try:
            wait_s = float(self.get_query_argument("wait_s", "0"))
        except ValueError:
            wait_s = -1.0
        if not 0 <= wait_s <= limits.max_wait_s:
            raise InvalidRequest(f"wait_s must be a number from 0 to {limits.max_wait_s:g}", field="wait_s")
        return wait_s


class LotAcknowledgeHandler(_SingleLotHandler):
    """``/v1/lots/{lot_id}/acknowledge``: acknowledges samples."""

    async def post(self, lot_id: str) -> None:
        """Record that the trainer has received samples."""
        body = self.decode_body(SampleIds)
        await self.get_own_lot(lot_id)
        await self.context.services.lots.acknowledge(lot_id, body.sample_ids)
        self.answer_json(Done())


class LotReplaceHandler(_SingleLotHandler):
    """``/v1/lots/{lot_id}/replace``: replaces delivered samples that became stale before they arrived."""

    async def post(self, lot_id: str) -> None:
        """Have withdrawn samples produced again; answer with the identifiers of those replaced."""
        body = self.decode_body(ReplaceSamplesRequest)
        await self.get_own_lot(lot_id)
        lots = self.context.services.lots
        replaced_ids = await lots.replace(lot_id, body.sample_ids, body.trainer_version)
        self.answer_json(SampleIds(sample_ids=replaced_ids))
