"""One call to an application service: place, forward, retry only what may be repeated."""

from __future__ import annotations

import msgspec

from passgate.clock import monotonic_s
from passgate.errors import AnswerMismatch, BackendUnreachable, ExecutionStatus, PassgateError
from passgate.routing.attempt_failure import Verdict, judge_failure
from passgate.routing.context import RoutingContext
from passgate.routing.execution import ExecutionLedger
from passgate.routing.replica_directory import ReplicaInfo
from passgate.routing.work import WorkItem
from passgate.schema import AppRequest, AppResponse

CALL_COST = 1.0
"""Application calls are alike for fair queueing: one unit each."""


class AppCall:
    """One forwarded call with its attempts."""

    def __init__(self, context: RoutingContext, request: AppRequest, ledger: ExecutionLedger) -> None:
        self._context = context
        self._request = request
        self._ledger = ledger
        self._class = context.priority_class(request.priority_class)
        self._avoid: set[str] = set()

    @property
    def last_answer_s(self) -> float | None:
        """Loop time until which an answer of a call that was sent is awaited."""
        deadline_s = self._request.deadline_s
        return None if deadline_s is None else deadline_s + self._request.outcome_grace_s

    async def run(self) -> AppResponse:
        """Return the whole answer.

        Raises:
            PassgateError: of the last attempt; the ledger knows what may have run.
        """
        while True:
            item = self._item()
            replica = await self._context.gate.acquire(item, self._class, again=self._ledger.attempts > 0)
            try:
                return await self._attempt(replica)
            except PassgateError as error:
                if not self._may_retry(error, replica):
                    raise
            finally:
                self._context.gate.release(item, replica.replica_id, 1)

    async def _attempt(self, replica: ReplicaInfo) -> AppResponse:
        number = self._ledger.open_attempt()
        self._context.counters.attempts += 1
        began_s = monotonic_s()
        try:
            sent = msgspec.structs.replace(self._request, deadline_s=self.last_answer_s)
            response = await self._context.app.call(replica.address, sent)
        except PassgateError as error:
            self._ledger.settle(number, error.execution)
            raise
        except Exception as error:
            raise BackendUnreachable(f"client failed: {type(error).__name__}") from error
        finally:
            # A call that is given up took at least this long.
            calls = self._context.gate.scheduler.tracker.calls
            calls.observe(replica.replica_id, monotonic_s() - began_s, monotonic_s())
        self._ledger.settle(number, ExecutionStatus.RAN)
        if response.request_id != self._request.request_id:
            raise AnswerMismatch(execution=ExecutionStatus.RAN, received=response.request_id)
        self._context.gate.scheduler.health.record_success(replica.replica_id)
        self._context.retry_budget.deposit()
        return AppResponse(
            request_id=response.request_id,
            status=response.status,
            body=response.body,
            content_type=response.content_type,
            replica_id=replica.replica_id,
        )

    def _may_retry(self, error: PassgateError, replica: ReplicaInfo) -> bool:
        context = self._context
        context.counters.attempt_failures += 1
        self._avoid.add(replica.replica_id)
        scheduler = context.gate.scheduler
        verdict = judge_failure(error, replica.replica_id, "", scheduler, monotonic_s())
        if verdict is Verdict.FINAL or self._ledger.attempts >= context.policy.max_attempts:
            return False
        if not self._request.repeatable and self._ledger.status is not ExecutionStatus.NOT_RUN:
            return False
        if not context.retry_budget.take():
            context.counters.retries_denied += 1
            return False
        context.counters.retries += 1
        return True

    def _item(self) -> WorkItem:
        request = self._request
        return WorkItem(
            key=self._context.next_key(),
            caller=request.caller,
            pool=request.pool,
            priority_class=request.priority_class,
            interactive=self._class.interactive,
            prompt_tokens=0,
            expected_tokens=1,
            cost=CALL_COST,
            enqueued_s=monotonic_s(),
            deadline_s=request.deadline_s,
            avoid=frozenset(self._avoid),
        )
