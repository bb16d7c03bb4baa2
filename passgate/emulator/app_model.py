"""Plain model of one application replica: a queue before a few workers, no I/O.

A call is refused before it runs when the queue is full.  Each run is counted
under its request identifier, and its side effect under a digest of its body, so
that "at most once" can be proven over retries under other identifiers.

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
from passgate.emulator.ledger import RunLedger
from passgate.emulator.parameters import AppParameters
from passgate.errors import BackendRefused
from passgate.schema import AppRequest, AppResponse, LoadReport

OVERLOAD_RETRY_S = 0.5
"""``retry_after_s`` of a refusal because the queue is full."""


class AppAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """JSON body of an emulated application's answer."""

    call: str
    """Digest of method, path and body of the call that was answered."""
    accepted: bool


class AppDone(msgspec.Struct, frozen=True):
    """A call's answer."""

    ticket: int
    response: AppResponse


class AppLost(msgspec.Struct, frozen=True):
    """The replica crashed while a call was waiting or running."""

    ticket: int


AppEvent = AppDone | AppLost


class AppCounters(msgspec.Struct):
    """Totals of one replica; they conserve calls."""

    submitted: int = 0
    refused: int = 0
    started: int = 0
    finished: int = 0
    lost: int = 0
    wait_s: float = 0.0
    """Sum over started calls of the time before their start."""
    busy_s: float = 0.0
    """Sum of service times of started calls."""


class _Call(msgspec.Struct):
    ticket: int
    request: AppRequest
    arrived_s: float


class _Run(msgspec.Struct, order=True):
    end_s: float
    ticket: int
    request: AppRequest


def call_digest(request: AppRequest) -> str:
    """Return the digest that answers and side effects of a call carry."""
    text = f"{request.method} {request.path} ".encode() + request.body
    return xxhash.xxh64_hexdigest(text)


def expected_app_body(request: AppRequest) -> bytes:
    """Return the only right answer to a call."""
    digest = call_digest(request)
    return msgspec.json.encode(AppAnswer(call=digest, accepted=int(digest[-1], 16) < 12))


class AppModel:
    """One replica of an application service."""

    def __init__(
        self,
        replica_id: str,
        parameters: AppParameters,
        random: Random,
        now_s: float,
        ledger: RunLedger | None = None,
    ) -> None:
        self.replica_id = replica_id
        self.parameters = parameters
        self.up = True
        self.draining = False
        self.slow_factor = 1.0
        self.counters = AppCounters()
        self._random = random
        self._ledger = ledger if ledger is not None else RunLedger()
        self._now_s = now_s
        self._restart_s: float | None = None
        self._tickets = 0
        self._waiting: deque[_Call] = deque()
        self._runs: list[_Run] = []
        self._outbox: list[AppEvent] = []
        self._reporter = self._new_reporter(now_s)

    @property
    def running(self) -> int:
        """Calls being executed."""
        return len(self._runs)

    @property
    def waiting(self) -> int:
        """Calls in the queue."""
        return len(self._waiting)

    def next_event_s(self) -> float | None:
        """Return when :meth:`advance` has something to do next; None when idle."""
        due = [self._restart_s, self._runs[0].end_s if self._runs else None]
        return min((at_s for at_s in due if at_s is not None), default=None)

    def advance(self, now_s: float) -> list[AppEvent]:
        """Process everything due up to ``now_s`` and return the events since the last call."""
        self._catch_up(now_s)
        events = list(self._outbox)
        self._outbox.clear()
        return events

    def submit(self, request: AppRequest, now_s: float) -> int:
        """Take a call and return its ticket; raises BackendRefused, and then it never runs."""
        self._catch_up(now_s)
        self.counters.submitted += 1
        self._check()
        self._tickets += 1
        self._waiting.append(_Call(self._tickets, request, now_s))
        self._start_waiting(now_s)
        return self._tickets

    def set_draining(self, draining: bool, now_s: float) -> None:
        """Refuse, or take again, new calls; later load reports tell it."""
        self._catch_up(now_s)
        self.draining = draining

    def load_report(self, now_s: float) -> LoadReport:
        """Return the newest report that is old enough to be readable."""
        self._catch_up(now_s)
        return self._reporter.read(now_s)

    def crash(self, now_s: float, restart_after_s: float | None = None) -> None:
        """Lose all calls; side effects of running ones have happened."""
        self._catch_up(now_s)
        self._restart_s = now_s + (self.parameters.restart_s if restart_after_s is None else restart_after_s)
        self.up = False
        lost = [run.ticket for run in sorted(self._runs)] + [call.ticket for call in self._waiting]
        self.counters.lost += len(lost)
        self._outbox.extend(AppLost(ticket) for ticket in lost)
        self._runs.clear()
        self._waiting.clear()

    def _check(self) -> None:
        if not self.up:
            self._refuse("down")
        if self.draining:
            self._refuse("draining")
        if self.running >= self.parameters.concurrency and self.waiting >= self.parameters.max_waiting:
            self._refuse("queue_full", OVERLOAD_RETRY_S)

    def _refuse(self, reason: str, retry_after_s: float | None = None) -> None:
        self.counters.refused += 1
        raise BackendRefused(f"the application refused: {reason}", retry_after_s=retry_after_s, reason=reason)

    def _catch_up(self, now_s: float) -> None:
        while (due_s := self.next_event_s()) is not None and due_s <= now_s:
            self._reporter.catch_up(due_s, self._snapshot)
            if self._restart_s is not None and self._restart_s <= due_s:
                self._restart_s = None
                self.up = True
                self._reporter = self._new_reporter(due_s)
            while self._runs and self._runs[0].end_s <= due_s:
                self._finish(heapq.heappop(self._runs))
            self._start_waiting(due_s)
        self._reporter.catch_up(now_s, self._snapshot)
        self._now_s = max(self._now_s, now_s)

    def _start_waiting(self, now_s: float) -> None:
        while self._waiting and self.running < self.parameters.concurrency:
            self._start(self._waiting.popleft(), now_s)

    def _start(self, call: _Call, now_s: float) -> None:
        service_s = self._service_s()
        self.counters.started += 1
        self.counters.wait_s += now_s - call.arrived_s
        self.counters.busy_s += service_s
        self._ledger.record_run(call.request.request_id, self.replica_id, now_s, call.request)
        self._ledger.record_effect(call_digest(call.request), repeatable=call.request.repeatable)
        heapq.heappush(self._runs, _Run(now_s + service_s, call.ticket, call.request))

    def _finish(self, run: _Run) -> None:
        self.counters.finished += 1
        response = AppResponse(
            request_id=run.request.request_id,
            status=200,
            body=expected_app_body(run.request),
            replica_id=self.replica_id,
        )
        self._outbox.append(AppDone(run.ticket, response))

    def _new_reporter(self, start_s: float) -> LoadReporter:
        parameters = self.parameters
        reporter = LoadReporter(
            self.replica_id, parameters.report_interval_s, parameters.report_lag_s, start_s
        )
        reporter.catch_up(start_s, self._snapshot)
        return reporter

    def _snapshot(self) -> LoadSnapshot:
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

    def _service_s(self) -> float:
        mean_s = self.parameters.service_mean_s * self.slow_factor
        if self.parameters.exponential:
            return self._random.expovariate(1.0 / mean_s)
        variance = math.log(1.0 + self.parameters.service_variation**2)
        return self._random.lognormvariate(math.log(mean_s) - variance / 2, math.sqrt(variance))
