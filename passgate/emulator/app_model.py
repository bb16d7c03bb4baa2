"""Model of one application replica: a bounded queue in front of a few workers, without I/O or clock.

Each execution that starts is recorded under its request identifier, and its side
effect under a digest of method, path and body.  Retries of a call have new
identifiers but the same digest, so tests can check that a call took effect at most once.

>>> app = AppModel("linha-0", AppParameters(), Random(1), now_s=0.0)
>>> call = AppRequest(request_id="r", caller="c", pool="linha", method="POST", path="/", body=b"{}")
>>> ticket = app.submit(call, now_s=0.0)
>>> done = app.advance(app.next_event_s())
>>> done[0].ticket == ticket, done[0].response.body == expected_app_body(call)
(True, True)
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from random import Random

import msgspec
import xxhash

from passgate.emulator.engine_reports import LoadReporter, LoadSnapshot
from passgate.emulator.parameters import AppParameters
from passgate.emulator.run_recorder import RunRecorder
from passgate.errors import BackendRefused
from passgate.schema import AppRequest, AppResponse, LoadReport

OVERLOAD_RETRY_S = 0.5
"""``retry_after_s`` of a refusal for a full queue."""


class AppResponseBody(msgspec.Struct, frozen=True, kw_only=True):
    """JSON body of the response to a call."""

    call: str
    """Digest of the call's method, path and body."""
    accepted: bool


class AppCallFinished(msgspec.Struct, frozen=True):
    """A call has finished."""

    ticket: int
    response: AppResponse


class AppCallLost(msgspec.Struct, frozen=True):
    """The replica crashed while a call was waiting or running."""

    ticket: int


AppEvent = AppCallFinished | AppCallLost


class AppCounters(msgspec.Struct):
    """Totals of one replica since it was made, over restarts.

    ``submitted`` is the sum of ``refused``, ``finished``, ``lost`` and the calls that are queued or running.
    """

    submitted: int = 0
    refused: int = 0
    started: int = 0
    finished: int = 0
    lost: int = 0
    total_wait_s: float = 0.0
    """Sum of the queueing times of started calls."""
    total_busy_s: float = 0.0
    """Sum of service times of started calls."""


class _QueuedCall(msgspec.Struct):
    ticket: int
    request: AppRequest
    arrived_s: float


class _RunningCall(msgspec.Struct, order=True):
    end_s: float
    ticket: int
    request: AppRequest


def call_digest(request: AppRequest) -> str:
    """Return the digest that identifies a call in its response and its side effect."""
    content = f"{request.method} {request.path} ".encode() + request.body
    return xxhash.xxh64_hexdigest(content)


def expected_app_body(request: AppRequest) -> bytes:
    """Return the body of the only correct response to a call."""
    digest = call_digest(request)
    return msgspec.json.encode(AppResponseBody(call=digest, accepted=int(digest[-1], 16) < 12))


class AppModel:
    """One replica of an application service.

    Methods take the current time ``now_s``, which must never go back, and first
    process the events that were due before it.
    """

    def __init__(
        self,
        replica_id: str,
        parameters: AppParameters,
        random: Random,
        now_s: float,
        run_recorder: RunRecorder | None = None,
    ) -> None:
        self.replica_id = replica_id
        self.parameters = parameters
        self.up = True
        self.draining = False
        self.slow_factor = 1.0
        self.counters = AppCounters()
        self._random = random
        self._run_recorder = run_recorder if run_recorder is not None else RunRecorder()
        self._now_s = now_s
        self._restart_at_s: float | None = None
        self._last_ticket = 0
        self._queued_calls: deque[_QueuedCall] = deque()
        self._running_calls: list[_RunningCall] = []
        self._undelivered_events: list[AppEvent] = []
        self._reporter = self._new_reporter(now_s)

    @property
    def running(self) -> int:
        """Number of calls being executed."""
        return len(self._running_calls)

    @property
    def waiting(self) -> int:
        """Number of calls in the queue."""
        return len(self._queued_calls)

    def next_event_s(self) -> float | None:
        """Return the time of the next call's end or restart; None when nothing is due."""
        due_times_s = [self._restart_at_s, self._running_calls[0].end_s if self._running_calls else None]
        return min((due_s for due_s in due_times_s if due_s is not None), default=None)

    def advance(self, now_s: float) -> list[AppEvent]:
        """Process what is due up to ``now_s`` and return the events since the last call."""
        self._process_due_events(now_s)
        events = list(self._undelivered_events)
        self._undelivered_events.clear()
        return events

    def submit(self, request: AppRequest, now_s: float) -> int:
        """Queue or start a call and return its ticket.

        Raises:
            BackendRefused: the replica is down or draining, or its queue is full; the call never runs.
        """
        self._process_due_events(now_s)
        self.counters.submitted += 1
        self._check_acceptance()
        self._last_ticket += 1
        self._queued_calls.append(_QueuedCall(self._last_ticket, request, now_s))
        self._start_waiting(now_s)
        return self._last_ticket

    def set_draining(self, draining: bool, now_s: float) -> None:
        """Start or stop refusing new calls; later load reports have the new state in ``leaving``."""
        self._process_due_events(now_s)
        self.draining = draining

    def load_report(self, now_s: float) -> LoadReport:
        """Return the newest report that is at least ``report_lag_s`` old, or the oldest available one."""
        self._process_due_events(now_s)
        return self._reporter.read_report(now_s)

    def crash(self, now_s: float, restart_after_s: float | None = None) -> None:
        """Lose all calls and restart later; the side effects of running calls have happened.

        A crash while down only moves the restart.  A draining replica still drains after its restart.
        """
        self._process_due_events(now_s)
        self._restart_at_s = now_s + (
            self.parameters.restart_s if restart_after_s is None else restart_after_s
        )
        self.up = False
        lost_tickets = [call.ticket for call in sorted(self._running_calls)] + [
            call.ticket for call in self._queued_calls
        ]
        self.counters.lost += len(lost_tickets)
        self._undelivered_events.extend(AppCallLost(ticket) for ticket in lost_tickets)
        self._running_calls.clear()
        self._queued_calls.clear()

    def _check_acceptance(self) -> None:
        if not self.up:
            self._refuse("down")
        if self.draining:
            self._refuse("draining")
        if self.running >= self.parameters.concurrency and self.waiting >= self.parameters.max_waiting:
            self._refuse("queue_full", OVERLOAD_RETRY_S)

    def _refuse(self, reason: str, retry_after_s: float | None = None) -> None:
        self.counters.refused += 1
        raise BackendRefused(
            f"the application replica refused the call: {reason}", retry_after_s=retry_after_s, reason=reason
        )

    def _process_due_events(self, now_s: float) -> None:
        while (due_s := self.next_event_s()) is not None and due_s <= now_s:
            self._reporter.take_due_snapshots(due_s, self._load_snapshot)
            if self._restart_at_s is not None and self._restart_at_s <= due_s:
                self._restart_at_s = None
                self.up = True
                self._reporter = self._new_reporter(due_s)
            while self._running_calls and self._running_calls[0].end_s <= due_s:
                self._finish(heapq.heappop(self._running_calls))
            self._start_waiting(due_s)
        self._reporter.take_due_snapshots(now_s, self._load_snapshot)
        self._now_s = max(self._now_s, now_s)

    def _start_waiting(self, now_s: float) -> None:
        while self._queued_calls and self.running < self.parameters.concurrency:
            self._start(self._queued_calls.popleft(), now_s)

    def _start(self, call: _QueuedCall, now_s: float) -> None:
        service_s = self._draw_service_s()
        self.counters.started += 1
        self.counters.total_wait_s += now_s - call.arrived_s
        self.counters.total_busy_s += service_s
        self._run_recorder.record_run(call.request.request_id, self.replica_id, now_s, call.request)
        self._run_recorder.record_effect(call_digest(call.request), repeatable=call.request.repeatable)
        heapq.heappush(self._running_calls, _RunningCall(now_s + service_s, call.ticket, call.request))

    def _finish(self, call: _RunningCall) -> None:
        self.counters.finished += 1
        response = AppResponse(
            request_id=call.request.request_id,
            status=200,
            body=expected_app_body(call.request),
            replica_id=self.replica_id,
        )
        self._undelivered_events.append(AppCallFinished(call.ticket, response))

    def _new_reporter(self, start_s: float) -> LoadReporter:
        parameters = self.parameters
        reporter = LoadReporter(
            self.replica_id, parameters.report_interval_s, parameters.report_lag_s, start_s
        )
        reporter.take_due_snapshots(start_s, self._load_snapshot)
        return reporter

    def _load_snapshot(self) -> LoadSnapshot:
        return LoadSnapshot(
            running=self.running,
            waiting=self.waiting,
            outstanding_tokens=0,
            kv_used_tokens=0,
            kv_capacity_tokens=0,
            decoded_tokens=0,
            versions={},
            leaving=self.draining,
        )

    def _draw_service_s(self) -> float:
        mean_s = self.parameters.service_mean_s * self.slow_factor
        if self.parameters.exponential:
            return self._random.expovariate(1.0 / mean_s)
        variance = math.log(1.0 + self.parameters.service_variation**2)
        return self._random.lognormvariate(math.log(mean_s) - variance / 2, math.sqrt(variance))
