"""``/v1/apps/{pool}/{path}``: calls forwarded to application services."""

from __future__ import annotations

import asyncio

from passgate.errors import DeadlineExceeded, InvalidRequest
from passgate.schema import AppRequest, AppResponse
from passgate.server.base import JSON_CONTENT_TYPE, CallerHandler
from passgate.server.options import (
    CallOptions,
    check_priority_class,
    choose_app_pool,
    read_options,
    request_digest,
)
from passgate.state.claims import ClaimOutcome

DEFAULT_PRIORITY_CLASS = "interactive"
SEGMENTS_BEFORE_PATH = 4
"""``/v1/apps/{pool}/`` before the forwarded path."""
ASK_AGAIN_S = 1.0
"""When a caller may ask for the outcome of a call that outlasted its deadline."""
SAFE_METHODS = frozenset(("GET", "HEAD"))
EMPTY_STATUSES = frozenset((204, 304))


class AppHandler(CallerHandler):
    """Forwards one call and hands back the whole answer, with the service's own status."""

    async def get(self, pool: str, path: str) -> None:
        """Forward a read."""
        await self._forward(pool)

    async def post(self, pool: str, path: str) -> None:
        """Forward a call."""
        await self._forward(pool)

    async def put(self, pool: str, path: str) -> None:
        """Forward a call."""
        await self._forward(pool)

    async def patch(self, pool: str, path: str) -> None:
        """Forward a call."""
        await self._forward(pool)

    async def delete(self, pool: str, path: str) -> None:
        """Forward a call."""
        await self._forward(pool)

    async def _forward(self, pool_name: str) -> None:
        limits = self.context.settings.limits
        options = read_options(self.request.headers, self.caller, self.shown_request_id, limits)
        if options.claim_key is not None and self.request.method in SAFE_METHODS:
            raise InvalidRequest("a read is always repeatable", method=self.request.method)
        request = self._app_request(pool_name, options)
        dispatcher = self.context.services.dispatcher
        if options.claim_key is None:
            response = await self.run_cancellable(dispatcher.call_app(request))
            self.set_header("X-Passgate-Replica", response.replica_id)
            self._answer(response.status, response.content_type, response.body)
            return
        await self._answer_claimed(request, options.claim_key)

    def _app_request(self, pool_name: str, options: CallOptions) -> AppRequest:
        state = self.context.services.configuration.state
        pool = choose_app_pool(state, pool_name, options.selector)
        check_priority_class(state, options.priority_class)
        query = f"?{self.request.query}" if self.request.query else ""
        return AppRequest(
            request_id=self.request_id,
            caller=self.caller,
            pool=pool.name,
            method=self.request.method or "GET",
            path=f"/{self._raw_path()}{query}",
            body=bytes(self.body),
            content_type=self.request.headers.get("Content-Type", JSON_CONTENT_TYPE),
            priority_class=options.priority_class or DEFAULT_PRIORITY_CLASS,
            deadline_s=options.deadline_s,
            outcome_grace_s=0.0 if options.repeatable else self.context.settings.limits.outcome_grace_s,
            repeatable=options.repeatable,
        )

    def _raw_path(self) -> str:
        """Return the path after the pool as the caller wrote it, escapes included."""
        return self.request.path.split("/", SEGMENTS_BEFORE_PATH)[SEGMENTS_BEFORE_PATH]

    async def _answer_claimed(self, request: AppRequest, claim_key: str) -> None:
        """Run under a claim; the call goes on when the caller leaves or its deadline passes."""
        digest = request_digest(
            request.pool.encode(), request.method.encode(), request.path.encode(), request.body
        )

        async def run() -> ClaimOutcome:
            response: AppResponse = await self.context.services.dispatcher.call_app(request)
            return ClaimOutcome(
                status=response.status, content_type=response.content_type, body=response.body
            )

        timeout_s = self.context.settings.limits.durability_timeout_s
        claimed = self.context.services.claims.run_once(claim_key, digest, run, timeout_s)
        task = self.context.gate.detach(claimed)
        try:
            async with asyncio.timeout_at(request.deadline_s):
                outcome = await asyncio.shield(task)
        except TimeoutError:
            raise DeadlineExceeded(
                "the call goes on: ask again under the same key", retry_after_s=ASK_AGAIN_S
            ) from None
        self._answer(outcome.status, outcome.content_type, outcome.body)

    def _answer(self, status: int, content_type: str, body: bytes) -> None:
        if self.caller_left:
            return
        self.set_status(status)
        self.write_common_headers(content_type)
        if status in EMPTY_STATUSES:
            self.clear_header("Content-Type")
            self.finish()
            return
        self.finish(body)
