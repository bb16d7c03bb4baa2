"""``/v1/apps/{pool}/{path}``: forwards calls to application services."""

from __future__ import annotations

import asyncio

from passgate.errors import DeadlineExceeded, InvalidRequest
from passgate.schema import AppRequest, AppResponse
from passgate.server.base_handlers import JSON_CONTENT_TYPE, CallerHandler
from passgate.server.options import (
    CallOptions,
    check_priority_class,
    choose_app_pool,
    read_options,
    request_digest,
)
from passgate.state.claims import ClaimOutcome

DEFAULT_PRIORITY_CLASS = "interactive"
SLASHES_BEFORE_PATH = 4
"""Slashes in ``/v1/apps/{pool}/``, the part of the path that is not forwarded."""
RETRY_AFTER_DEADLINE_S = 1.0
"""``Retry-After`` of a call that still runs at its deadline."""
SAFE_METHODS = frozenset(("GET", "HEAD"))
BODILESS_STATUSES = frozenset((204, 304))


class AppHandler(CallerHandler):
    """Forwards one call and answers with the service's own status, content type and body."""

    async def get(self, pool: str, path: str) -> None:
        """Forward a GET request."""
        await self._forward(pool)

    async def post(self, pool: str, path: str) -> None:
        """Forward a POST request."""
        await self._forward(pool)

    async def put(self, pool: str, path: str) -> None:
        """Forward a PUT request."""
        await self._forward(pool)

    async def patch(self, pool: str, path: str) -> None:
        """Forward a PATCH request."""
        await self._forward(pool)

    async def delete(self, pool: str, path: str) -> None:
        """Forward a DELETE request."""
        await self._forward(pool)

    async def _forward(self, pool_name: str) -> None:
        limits = self.context.settings.limits
        options = read_options(self.request.headers, self.caller, self.echoed_request_id, limits)
        if options.claim_key is not None and self.request.method in SAFE_METHODS:
            raise InvalidRequest(
                "GET and HEAD requests are always repeatable",
                method=self.request.method,
            )
        request = self._make_request(pool_name, options)
        dispatcher = self.context.services.dispatcher
        if options.claim_key is None:
            response = await self.run_cancellable(dispatcher.call_app(request))
            self.set_header("X-Passgate-Replica", response.replica_id)
            self._write_answer(response.status, response.content_type, response.body)
            return
        await self._call_at_most_once(request, options.claim_key)

    def _make_request(self, pool_name: str, options: CallOptions) -> AppRequest:
        state = self.context.services.configuration.state
        pool = choose_app_pool(state, pool_name, options.selector)
        check_priority_class(state, options.priority_class)
        query = f"?{self.request.query}" if self.request.query else ""
        return AppRequest(
            request_id=self.request_id,
            caller=self.caller,
            pool=pool.name,
            method=self.request.method or "GET",
            path=f"/{self._escaped_path()}{query}",
            body=bytes(self.body),
            content_type=self.request.headers.get("Content-Type", JSON_CONTENT_TYPE),
            priority_class=options.priority_class or DEFAULT_PRIORITY_CLASS,
            deadline_s=options.deadline_s,
            outcome_grace_s=0.0 if options.repeatable else self.context.settings.limits.outcome_grace_s,
            repeatable=options.repeatable,
        )

    def _escaped_path(self) -> str:
        """Return the path after the pool as received, with its percent-encoding."""
        return self.request.path.split("/", SLASHES_BEFORE_PATH)[SLASHES_BEFORE_PATH]

    async def _call_at_most_once(self, request: AppRequest, claim_key: str) -> None:
        """Run the call at most once for its claim key.

        The call goes on when the caller disconnects or the deadline passes; a repetition with the same
        key gets its outcome.

        Raises:
            DeadlineExceeded: the call is still running at its deadline.
            PassgateError: the claim or the call failed.
        """
        digest = request_digest(
            request.pool.encode(), request.method.encode(), request.path.encode(), request.body
        )

        async def run() -> ClaimOutcome:
            response: AppResponse = await self.context.services.dispatcher.call_app(request)
            return ClaimOutcome(
                status=response.status, content_type=response.content_type, body=response.body
            )

        timeout_s = self.context.settings.limits.durability_timeout_s
        claimed_call = self.context.services.claims.run_once(claim_key, digest, run, timeout_s)
        task = self.context.admission.run_detached(claimed_call)
        try:
            async with asyncio.timeout_at(request.deadline_s):
                outcome = await asyncio.shield(task)
        except TimeoutError:
            raise DeadlineExceeded(
                "the call is still running: repeat it with the same key",
                retry_after_s=RETRY_AFTER_DEADLINE_S,
            ) from None
        self._write_answer(outcome.status, outcome.content_type, outcome.body)

    def _write_answer(self, status: int, content_type: str, body: bytes) -> None:
        if self.caller_disconnected:
            return
        self.set_status(status)
        self.write_common_headers(content_type)
        if status in BODILESS_STATUSES:
            self.clear_header("Content-Type")
            self.finish()
            return
        self.finish(body)
