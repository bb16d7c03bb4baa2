"""``/v1/lots``: the trainers' interface."""

from __future__ import annotations

import re

from passgate.errors import InvalidRequest, NotFound
from passgate.server.base import CallerHandler
from passgate.server.options import (
    IDEMPOTENCY_KEY_HEADER,
    KEY_FORM,
    PRIORITY_HEADER,
    SELECTOR_HEADER,
    check_priority_class,
    check_tokens,
    choose_engine_pool,
    request_digest,
)
from passgate.server.wire import Done, OpenLotRequest, ReplaceSamplesRequest, SampleIds
from passgate.state.lots import LotInfo, LotRequest

LOT_ID_FORM = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")
DEFAULT_PAGE_SAMPLES = 64
CREATED_STATUS = 201
DERIVED_ID_CHARACTERS = 32
VERSION_LIMIT = 2**62


class LotsHandler(CallerHandler):
    """Opens lots."""

    async def post(self) -> None:
        """Open a lot; opening the same one again returns it."""
        body = self.decode_body(OpenLotRequest)
        self._check(body)
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
        info = await self.context.services.lots.open(request, self._lot_id(body))
        self.answer_json(info, CREATED_STATUS)

    def _lot_id(self, body: OpenLotRequest) -> str | None:
        if body.lot_id:
            return check_lot_id(body.lot_id)
        key = self.request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        if not key:
            return None
        if not KEY_FORM.match(key):
            raise InvalidRequest(f"{IDEMPOTENCY_KEY_HEADER} has a wrong form", header=IDEMPOTENCY_KEY_HEADER)
        digest = request_digest(self.caller.encode(), key.encode())
        return f"lot-{digest[:DERIVED_ID_CHARACTERS]}"

    def _check(self, body: OpenLotRequest) -> None:
        limits = self.context.settings.limits
        if not 1 <= len(body.prompts) <= limits.max_lot_prompts:
            raise InvalidRequest(f"a lot has 1 to {limits.max_lot_prompts} prompts", field="prompts")
        if body.staleness_bound < 0 or not 0 <= body.trainer_version < VERSION_LIMIT:
            raise InvalidRequest("versions and bounds must not be negative", field="staleness_bound")
        if body.deadline_s is not None and not 0 < body.deadline_s <= limits.max_deadline_s:
            raise InvalidRequest(
                f"deadline_s must be above 0 and at most {limits.max_deadline_s:g}", field="deadline_s"
            )
        for index, prompt in enumerate(body.prompts):
            self._check_prompt(index, len(prompt.prompt), prompt.max_tokens)
            check_tokens(prompt.prompt, f"prompts[{index}].prompt")

    def _check_prompt(self, index: int, prompt_tokens: int, max_tokens: int) -> None:
        limits = self.context.settings.limits
        if not 1 <= prompt_tokens <= limits.max_prompt_tokens:
            raise InvalidRequest("the prompt is empty or too long", field=f"prompts[{index}].prompt")
        if not 1 <= max_tokens <= limits.max_output_tokens:
            raise InvalidRequest("max_tokens is out of range", field=f"prompts[{index}].max_tokens")


def check_lot_id(lot_id: str) -> str:
    """Return the lot id when its form is right; raises InvalidRequest."""
    if not LOT_ID_FORM.match(lot_id):
        raise InvalidRequest(f"lot ids match {LOT_ID_FORM.pattern}", field="lot_id")
    return lot_id


class _OneLotHandler(CallerHandler):
    """Base of the handlers of one lot; another caller's lot is not found."""

    async def own_lot(self, lot_id: str) -> LotInfo:
        """Return what is known of the caller's own lot; raises NotFound."""
        info = await self.context.services.lots.info(check_lot_id(lot_id))
        if info.caller != self.caller:
            raise NotFound("no such lot", lot_id=lot_id)
        return info


class LotHandler(_OneLotHandler):
    """Shows and cancels one lot."""

    async def get(self, lot_id: str) -> None:
        """Show how far a lot is."""
        self.answer_json(await self.own_lot(lot_id))

    async def delete(self, lot_id: str) -> None:
        """Cancel a lot."""
        await self.own_lot(lot_id)
        await self.context.services.lots.cancel(lot_id)
        self.answer_json(Done())


class LotSamplesHandler(_OneLotHandler):
    """Hands finished samples over."""

    async def get(self, lot_id: str) -> None:
        """Return the samples after a cursor, waiting for one when there is none."""
        limits = self.context.settings.limits
        cursor = self._number("cursor", 0, VERSION_LIMIT)
        limit = self._number("limit", DEFAULT_PAGE_SAMPLES, limits.max_samples_page)
        trainer_version = self._number("trainer_version", -1, VERSION_LIMIT)
        wait_s = self._wait_s()
        if limit < 1:
            raise InvalidRequest("limit must be at least 1", field="limit")
        await self.own_lot(lot_id)
        version = None if trainer_version < 0 else trainer_version
        reading = self.context.services.lots.read(lot_id, cursor, limit, wait_s, version)
        page = await self.run_cancellable(reading)
        self.context.metrics.samples_handed_over.inc(len(page.samples))
        self.answer_json(page)

    def _number(self, name: str, default: int, largest: int) -> int:
        text = self.get_query_argument(name, "")
        if not text:
            return default
        if not (text.isascii() and text.isdigit() and len(text) < 20 and int(text) <= largest):
            raise InvalidRequest(f"{name} must be a number from 0 to {largest}", field=name)
        return int(text)

    def _wait_s(self) -> float:
        limits = self.context.settings.limits
        try:
            wait_s = float(self.get_query_argument("wait_s", "0"))
        except ValueError:
            wait_s = -1.0
        if not 0 <= wait_s <= limits.max_wait_s:
            raise InvalidRequest(f"wait_s must be from 0 to {limits.max_wait_s:g}", field="wait_s")
        return wait_s


class LotAcknowledgeHandler(_OneLotHandler):
    """Takes acknowledgements."""

    async def post(self, lot_id: str) -> None:
        """Acknowledge samples that the trainer has."""
        body = self.decode_body(SampleIds)
        await self.own_lot(lot_id)
        await self.context.services.lots.acknowledge(lot_id, body.sample_ids)
        self.answer_json(Done())


class LotReplaceHandler(_OneLotHandler):
    """Takes word of handed-over samples that never arrived and went stale."""

    async def post(self, lot_id: str) -> None:
        """Open the slots of withdrawn samples again."""
        body = self.decode_body(ReplaceSamplesRequest)
        await self.own_lot(lot_id)
        lots = self.context.services.lots
        replaced = await lots.replace(lot_id, body.sample_ids, body.trainer_version)
        self.answer_json(SampleIds(sample_ids=replaced))
