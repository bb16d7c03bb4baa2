"""Load per replica: own work in flight, reconciled with lagging load reports.

The unit of load is the token, not the request.  What this daemon has in flight
is known exactly and at once; what others have there is derived from the latest
report, which is only older knowledge: the part of it that was our own at the
time it describes is taken off, so nothing is counted twice and nothing that was
sent since is forgotten.

>>> tracker = LoadTracker(report_lag_s=0.0)
>>> tracker.begin("e1", key=1, prompt_tokens=100, expected_tokens=50, model="m", now_s=0.0)
>>> tracker.load("e1").outstanding_tokens
150
>>> tracker.progress("e1", key=1, tokens=10, now_s=1.0)
>>> tracker.load("e1").outstanding_tokens
40
"""

from __future__ import annotations

from collections import deque

import msgspec

from passgate.routing.call_latency import CallLatency
from passgate.routing.output_length import OVERRUN_FACTOR
from passgate.schema import LoadReport

HISTORY_STEP_S = 0.05
"""Own counts are remembered at most this often."""
HISTORY_S = 3.0
STEP_SMOOTHING = 0.05
"""Weight of a new observation in a replica's time per token."""
MEAN_SMOOTHING = 0.01
"""Weight of a new observation in the mean over all replicas."""
SAME_SPEED_RATIO = 1.3
"""Replicas whose time per token differs less from the mean of all count as equally fast."""
REPORT_KEPT_S = 15.0
"""A report older than this says nothing about others' load any more."""
OTHERS_CALLS_SMOOTHING = 0.1
"""Weight of a new report in the mean of others' calls on an application replica."""
ASSUMED_TOKEN_S = 0.03
"""Time per output token of a stream while nothing has been observed anywhere."""


class _Request(msgspec.Struct):
    prompt_left: int
    prefill_left: int
    expected_left: int
    received: int
    kv_tokens: int
    model: str
    last_piece_s: float | None = None


class ReplicaLoad:
    """What is known of one replica's load; token counts are estimates."""

    __slots__ = (
        "history",
        "kv_capacity_tokens",
        "models",
        "others_calls",
        "others_kv_tokens",
        "others_requests",
        "others_tokens",
        "own_kv_tokens",
        "own_prefill_tokens",
        "own_requests",
        "own_tokens",
        "report_read_s",
        "report_sequence",
        "reported_waiting",
        "requests",
        "running_limit",
        "token_s",
        "token_s_requests",
        "versions",
        "waited_before",
    )

    def __init__(self) -> None:
        self.requests: dict[int, _Request] = {}
        self.own_tokens = 0
        self.own_kv_tokens = 0
        self.own_requests = 0
        self.own_prefill_tokens = 0
        """Uncached prompt tokens of own requests that have brought no output yet."""
        self.models: dict[str, int] = {}
        """Own requests in flight per model."""
        self.history: deque[tuple[float, int]] = deque()
        self.others_tokens = 0
        self.others_kv_tokens = 0
        self.others_requests = 0
        self.others_calls = 0.0
        """Mean of others' calls on an application replica over its latest reports."""
        self.reported_waiting = 0
        self.kv_capacity_tokens = 0
        """0 while no report was read."""
        self.running_limit = 0
        """Batch size at which the engine last let requests wait; 0 while never seen."""
        self.report_read_s = float("-inf")
        self.report_sequence = 0
        self.waited_before = False
        """Whether requests waited inside the engine in the previous report."""
        self.versions: dict[str, int] = {}
        self.token_s = 0.0
        """Smoothed time per output token of one stream; 0 while never observed."""
        self.token_s_requests = 0.0
        """Smoothed number of requests there when ``token_s`` was observed."""

    @property
    def outstanding_tokens(self) -> int:
        """Tokens still to be processed, own and others'."""
        return self.own_tokens + self.others_tokens

    @property
    def request_count(self) -> int:
        """Requests running or waiting, own and others'."""
        return self.own_requests + self.others_requests

    @property
    def kv_tokens(self) -> int:
        """KV memory committed: what the running requests will hold at their end."""
        return self.own_kv_tokens + self.others_kv_tokens

    def own_count_at(self, at_s: float) -> int:
        """Return how many own requests were in flight at an earlier time."""
        count = self.history[0][1] if self.history else self.own_requests
        for time_s, value in self.history:
            if time_s > at_s:
                break
            count = value
        return count


class LoadTracker:
    """Loads of all replicas that this daemon uses."""

    def __init__(self, report_lag_s: float, batch_slope: float = 0.0) -> None:
        self.calls = CallLatency()
        self._batch_slope = batch_slope
        self._report_lag_s = report_lag_s
        self._loads: dict[str, ReplicaLoad] = {}
        self._mean_token_s = ASSUMED_TOKEN_S

    def load(self, replica_id: str) -> ReplicaLoad:
        """Return the load of a replica, empty when nothing is known."""
        load = self._loads.get(replica_id)
        if load is None:
            load = self._loads[replica_id] = ReplicaLoad()
        return load

    def token_s(self, replica_id: str) -> float:
        """Return the expected time per output token of one stream on a replica."""
        load = self._loads.get(replica_id)
        if load is None:
            return self._mean_token_s
        return self._alone_token_s(load) * (1.0 + self._batch_slope * load.request_count)

    def _alone_token_s(self, load: ReplicaLoad) -> float:
        """Return the time per token without other requests; small differences are noise."""
        if load.token_s <= 0.0:
            return self._mean_token_s
        alone_s = load.token_s / (1.0 + self._batch_slope * load.token_s_requests)
        ratio = alone_s / self._mean_token_s
        return self._mean_token_s if 1.0 / SAME_SPEED_RATIO < ratio < SAME_SPEED_RATIO else alone_s

    def retain(self, replica_ids: set[str]) -> None:
        """Forget replicas that no longer exist and have nothing of ours in flight."""
        for replica_id in self._loads.keys() - replica_ids:
            if not self._loads[replica_id].own_requests:
                del self._loads[replica_id]
        self.calls.retain(replica_ids)

    # --- own work -------------------------------------------------------------------

    def begin(
        self,
        replica_id: str,
        key: int,
        prompt_tokens: int,
        expected_tokens: int,
        model: str,
        now_s: float,
        cached_tokens: int = 0,
    ) -> None:
        """A request is sent to a replica that probably caches the first ``cached_tokens``."""
        load = self.load(replica_id)
        kv_tokens = prompt_tokens + expected_tokens
        prefill = max(0, prompt_tokens - cached_tokens)
        load.requests[key] = _Request(prompt_tokens, prefill, expected_tokens, 0, kv_tokens, model)
        load.own_prefill_tokens += prefill
        load.own_tokens += kv_tokens
        load.own_kv_tokens += kv_tokens
        load.models[model] = load.models.get(model, 0) + 1
        self._count(load, 1, now_s)

    def has_output(self, replica_id: str, key: int) -> bool:
        """Whether a piece of the request has arrived already."""
        request = self.load(replica_id).requests.get(key)
        return request is not None and request.received > 0

    def progress(self, replica_id: str, key: int, tokens: int, now_s: float) -> None:
        """A piece of output arrived."""
        load = self.load(replica_id)
        request = load.requests.get(key)
        if request is None:
            return
        self._observe_rate(load, request, tokens, now_s)
        request.received += tokens
        left = request.expected_left - tokens
        if left <= 0:
            grown = max(1, round(request.received * (OVERRUN_FACTOR - 1.0)))
            load.own_kv_tokens += grown - left
            request.kv_tokens += grown - left
            left = grown
        load.own_tokens += left - request.expected_left - request.prompt_left
        request.expected_left = left
        request.prompt_left = 0
        load.own_prefill_tokens -= request.prefill_left
        request.prefill_left = 0

    def end(self, replica_id: str, key: int, now_s: float) -> None:
        """A request ended or was cancelled; unknown keys are ignored."""
        load = self.load(replica_id)
        request = load.requests.pop(key, None)
        if request is None:
            return
        load.own_tokens -= request.prompt_left + request.expected_left
        load.own_kv_tokens -= request.kv_tokens
        load.own_prefill_tokens -= request.prefill_left
        load.models[request.model] -= 1
        if not load.models[request.model]:
            del load.models[request.model]
        self._count(load, -1, now_s)

    # --- reports ------------------------------------------------------------------------

    def apply_report(self, report: LoadReport, now_s: float) -> None:
        """Take a load report read at ``now_s``; it describes an earlier moment."""
        load = self.load(report.replica_id)
        if report.sequence == load.report_sequence:
            return
        load.report_sequence = report.sequence
        load.report_read_s = now_s
        load.reported_waiting = report.waiting
        load.kv_capacity_tokens = report.kv_capacity_tokens
        load.versions = _versions(report)
        self._learn_limit(load, report)
        self._learn_others(load, report, now_s - self._report_lag_s)
        if report.running and report.tokens_per_s > 0.0 and not load.requests:
            self._smooth(load, report.running / report.tokens_per_s)

    def apply_call_report(self, report: LoadReport, now_s: float) -> None:
        """Take an application's report read at ``now_s``.

        The calls that it counts are over by now; only the mean over many reports
        tells of others' calls that last, such as those of callers past passgate.
        """
        load = self.load(report.replica_id)
        if report.sequence == load.report_sequence:
            return
        load.report_sequence = report.sequence
        load.report_read_s = now_s
        others = report.running + report.waiting - load.own_count_at(now_s - self._report_lag_s)
        load.others_calls += OTHERS_CALLS_SMOOTHING * (others - load.others_calls)

    def observe_version(self, replica_id: str, model: str, version: int) -> None:
        """A piece of output named the version that the replica uses now."""
        self.load(replica_id).versions[model] = version

    def expire_reports(self, now_s: float) -> None:
        """Forget others' load where no report could be read for long."""
        for load in self._loads.values():
            if now_s - load.report_read_s > REPORT_KEPT_S:
                load.others_tokens = load.others_kv_tokens = load.others_requests = 0
                load.reported_waiting = 0
                load.others_calls = 0.0

    def _learn_limit(self, load: ReplicaLoad, report: LoadReport) -> None:
        """A batch is full when requests wait over two reports; one may show just arrived ones."""
        if report.waiting > 0 and load.waited_before and report.running > 0:
            load.running_limit = report.running
        elif load.running_limit and report.running >= load.running_limit:
            load.running_limit = report.running + 1
        load.waited_before = report.waiting > 0

    def _learn_others(self, load: ReplicaLoad, report: LoadReport, taken_s: float) -> None:
        total = report.running + report.waiting
        others = max(0, total - load.own_count_at(taken_s))
        share = others / total if total else 0.0
        load.others_requests = others
        load.others_tokens = round(report.outstanding_tokens * share)
        load.others_kv_tokens = round(report.kv_used_tokens * share)

    # --- internals ------------------------------------------------------------------------

    def _count(self, load: ReplicaLoad, change: int, now_s: float) -> None:
        load.own_requests += change
        history = load.history
        if history and now_s - history[-1][0] < HISTORY_STEP_S:
            history[-1] = (history[-1][0], load.own_requests)
        else:
            history.append((now_s, load.own_requests))
        while len(history) > 1 and history[1][0] < now_s - HISTORY_S:
            history.popleft()

    def _observe_rate(self, load: ReplicaLoad, request: _Request, tokens: int, now_s: float) -> None:
        if request.last_piece_s is not None and tokens > 0:
            self._smooth(load, (now_s - request.last_piece_s) / tokens)
        request.last_piece_s = now_s

    def _smooth(self, load: ReplicaLoad, token_s: float) -> None:
        if load.token_s <= 0.0:
            load.token_s = token_s
            load.token_s_requests = load.request_count
        else:
            load.token_s += STEP_SMOOTHING * (token_s - load.token_s)
            load.token_s_requests += STEP_SMOOTHING * (load.request_count - load.token_s_requests)
        alone_s = token_s / (1.0 + self._batch_slope * load.request_count)
        self._mean_token_s += MEAN_SMOOTHING * (alone_s - self._mean_token_s)


def _versions(report: LoadReport) -> dict[str, int]:
    return {model: int(text) for model, text in report.versions.items() if text.isdigit()}
