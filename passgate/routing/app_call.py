"""One call to an application service: queues it, forwards it, and retries it on other replicas."""

from __future__ import annotations

import msgspec

from passgate.clock import monotonic_s
from passgate.errors import AnswerMismatch, BackendUnreachable, ExecutionStatus, PassgateError
from passgate.routing.attempt_failure import RetryDecision, handle_failure
from passgate.routing.context import RoutingContext
from passgate.routing.execution import ExecutionHistory
from passgate.routing.replica_directory import ReplicaInfo
from passgate.routing.work import WorkItem
from passgate.schema import AppRequest, AppResponse

CALL_COST = 1.0
"""Cost of an application call in the fair queue; all calls cost the same."""


class AppCall:
    """One application call and its attempts.

    A call that is not repeatable is retried only while no attempt can have run.
    """

    def __init__(self, context: RoutingContext, request: AppRequest, execution: ExecutionHistory) -> None:
        self._context = context
        self._request = request
        self._execution = execution
        self._priority_class = context.priority_class(request.priority_class)
        self._replicas_to_avoid: set[str] = set()

    @property
    def response_deadline_s(self) -> float | None:
        """Loop time until which the response to a forwarded call is awaited; None for no limit."""
        deadline_s = self._request.deadline_s
        return None if deadline_s is None else deadline_s + self._request.outcome_grace_s

    async def run(self) -> AppResponse:
        """Run attempts until one succeeds, and return the complete response.

        Raises:
            PassgateError: error of the last attempt or of queueing it; ``execution`` covers only it.
        """
        while True:
            item = self._make_work_item()
            replica = await self._context.slots.acquire(
                item, self._priority_class, is_retry=self._execution.attempt_count > 0
            )
            try:
                return await self._run_attempt(replica)
            except PassgateError as error:
                if not self._may_retry(error, replica):
                    raise
            finally:
                self._context.slots.release(item, replica.replica_id, 1)

    async def _run_attempt(self, replica: ReplicaInfo) -> AppResponse:
        attempt_number = self._execution.open_attempt()
        self._context.counters.attempts += 1
        started_s = monotonic_s()
        try:
            forwarded = msgspec.structs.replace(self._request, deadline_s=self.response_deadline_s)
            response = await self._context.app_client.call(replica.address, forwarded)
        except PassgateError as error:
            self._execution.record_end(attempt_number, error.execution)
            raise
        except Exception as error:
            raise BackendUnreachable(f"client failed: {type(error).__name__}") from error
        finally:
            # Failed and cancelled calls count too: they took at least this long.
            call_latencies = self._context.slots.scheduler.load_tracker.call_latencies
            call_latencies.record_call(replica.replica_id, monotonic_s() - started_s, monotonic_s())
        self._execution.record_end(attempt_number, ExecutionStatus.RAN)
        if response.request_id != self._request.request_id:
            raise AnswerMismatch(execution=ExecutionStatus.RAN, received=response.request_id)
        self._context.slots.scheduler.health.record_success(replica.replica_id)
        self._context.retry_budget.record_success()
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
        self._replicas_to_avoid.add(replica.replica_id)
        scheduler = context.slots.scheduler
        decision = handle_failure(error, replica.replica_id, "", scheduler, monotonic_s())
        if decision is RetryDecision.GIVE_UP or self._execution.attempt_count >= context.policy.max_attempts:
            return False
        if not self._request.repeatable and self._execution.status is not ExecutionStatus.NOT_RUN:
            return False
        if not context.retry_budget.take():
            context.counters.retries_denied += 1
            return False
        context.counters.retries += 1
        return True

    def _make_work_item(self) -> WorkItem:
        request = self._request
        return WorkItem(
            key=self._context.next_key(),
            caller=request.caller,
            pool=request.pool,
            priority_class=request.priority_class,
            interactive=self._priority_class.interactive,
            prompt_tokens=0,
            expected_tokens=1,
            cost=CALL_COST,
            enqueued_s=monotonic_s(),
            deadline_s=request.deadline_s,
            replicas_to_avoid=frozenset(self._replicas_to_avoid),
        )
