"""Load of each replica: requests of this daemon, and those of others according to load reports.

This daemon knows its own requests in flight exactly.  The load of others is the latest
report less the share of this daemon's requests at the time that the report describes, so
that nothing is counted twice and nothing sent since then is missed.

>>> tracker = LoadTracker(report_lag_s=0.0)
>>> tracker.record_start("e1", key=1, prompt_tokens=100, expected_tokens=50, model="m", now_s=0.0)
>>> tracker.load("e1").outstanding_tokens
150
>>> tracker.record_output("e1", key=1, new_tokens=10, now_s=1.0)
>>> tracker.load("e1").outstanding_tokens
40
"""

from __future__ import annotations

from collections import deque

import msgspec

from passgate.decimal_numbers import parse_decimal
from passgate.routing.call_latency import CallLatencyEstimator
from passgate.routing.output_length import OVERRUN_GROWTH_FACTOR
from passgate.schema import LoadReport

HISTORY_RESOLUTION_S = 0.05
"""Smallest time between two entries of a replica's history of own requests."""
HISTORY_LENGTH_S = 3.0
"""Time for which the history of own requests is kept."""
REPLICA_SMOOTHING = 0.05
"""Weight of a new observation in a replica's time per output token."""
MEAN_SMOOTHING = 0.01
"""Weight of a new observation in the mean time per output token over all replicas."""
SAME_SPEED_RATIO = 1.3
"""Replicas whose time per token differs from the mean by less than this ratio count as equally fast."""
MAX_REPORT_AGE_S = 15.0
"""Age after which a load report is discarded."""
OTHERS_CALLS_SMOOTHING = 0.1
"""Weight of a new report in the mean number of others' calls on an application replica."""
INITIAL_TIME_PER_TOKEN_S = 0.03
"""Mean time per output token that is assumed before the first observation."""


class _RequestLoad(msgspec.Struct):
    remaining_prompt_tokens: int
    remaining_prefill_tokens: int
    expected_remaining_tokens: int
    received_tokens: int
    kv_tokens: int
    model: str
    last_chunk_s: float | None = None


class ReplicaLoad:
    """Load of one replica; token counts are estimates.

    ``own_...`` counts requests of this daemon, ``others_...`` those of all other clients.
    """

    __slots__ = (
        "own_requests_history",
        "kv_capacity_tokens",
        "own_requests_by_model",
        "others_calls",
        "others_kv_tokens",
        "others_requests",
        "others_tokens",
        "own_kv_tokens",
        "own_prefill_tokens",
        "own_requests",
        "own_tokens",
        "last_report_s",
        "last_report_sequence",
        "reported_waiting",
        "request_by_key",
        "running_limit",
        "time_per_token_s",
        "time_per_token_requests",
        "version_by_model",
        "had_waiting_requests",
    )

    def __init__(self) -> None:
        self.request_by_key: dict[int, _RequestLoad] = {}
        self.own_tokens = 0
        self.own_kv_tokens = 0
        self.own_requests = 0
        self.own_prefill_tokens = 0
        """Uncached prompt tokens of own requests without output so far."""
        self.own_requests_by_model: dict[str, int] = {}
        """Own requests in flight per model."""
        self.own_requests_history: deque[tuple[float, int]] = deque()
        """Times and the number of own requests from then on, oldest first."""
        self.others_tokens = 0
        self.others_kv_tokens = 0
        self.others_requests = 0
        self.others_calls = 0.0
        """Smoothed number of others' calls on an application replica."""
        self.reported_waiting = 0
        self.kv_capacity_tokens = 0
        """0 until a report has been read."""
        self.running_limit = 0
        """Estimated largest batch of the engine; 0 while unknown."""
        self.last_report_s = float("-inf")
        self.last_report_sequence = 0
        self.had_waiting_requests = False
        """Whether the previous report counted requests that wait inside the engine."""
        self.version_by_model: dict[str, int] = {}
        self.time_per_token_s = 0.0
        """Smoothed time per output token of one stream; 0 until observed."""
        self.time_per_token_requests = 0.0
        """Smoothed number of requests on the replica during those observations."""

    @property
    def outstanding_tokens(self) -> int:
        """Expected tokens that remain to be processed, own and others'."""
        return self.own_tokens + self.others_tokens

    @property
    def request_count(self) -> int:
        """Requests running or waiting, own and others'."""
        return self.own_requests + self.others_requests

    @property
    def kv_tokens(self) -> int:
        """Tokens of KV memory that the requests there are expected to hold, own and others'."""
        return self.own_kv_tokens + self.others_kv_tokens

    def own_requests_at(self, at_s: float) -> int:
        """Return the number of own requests at an earlier time; before the history, the oldest entry."""
        count = self.own_requests_history[0][1] if self.own_requests_history else self.own_requests
        for time_s, value in self.own_requests_history:
            if time_s > at_s:
                break
            count = value
        return count


class LoadTracker:
    """Load of each replica that this daemon uses."""

    def __init__(self, report_lag_s: float, slowdown_per_request: float = 0.0) -> None:
        self.call_latencies = CallLatencyEstimator()
        self._slowdown_per_request = slowdown_per_request
        self._report_lag_s = report_lag_s
        self._load_by_replica: dict[str, ReplicaLoad] = {}
        self._mean_time_per_token_s = INITIAL_TIME_PER_TOKEN_S

    def load(self, replica_id: str) -> ReplicaLoad:
        """Return the load of a replica; a new, empty one when it is not known."""
        load = self._load_by_replica.get(replica_id)
        if load is None:
            load = self._load_by_replica[replica_id] = ReplicaLoad()
        return load

    def time_per_token_s(self, replica_id: str) -> float:
        """Return the expected time per output token of one stream on a replica."""
        load = self._load_by_replica.get(replica_id)
        if load is None:
            return self._mean_time_per_token_s
        return self._unloaded_time_per_token_s(load) * (1.0 + self._slowdown_per_request * load.request_count)

    def _unloaded_time_per_token_s(self, load: ReplicaLoad) -> float:
        """Return the time per token on an idle replica; the mean if it differs only slightly from it."""
        if load.time_per_token_s <= 0.0:
            return self._mean_time_per_token_s
        unloaded_s = load.time_per_token_s / (1.0 + self._slowdown_per_request * load.time_per_token_requests)
        ratio = unloaded_s / self._mean_time_per_token_s
        return (
            self._mean_time_per_token_s if 1.0 / SAME_SPEED_RATIO < ratio < SAME_SPEED_RATIO else unloaded_s
        )

    def retain(self, replica_ids: set[str]) -> None:
        """Discard replicas that are not in ``replica_ids`` and have no own requests."""
        for replica_id in self._load_by_replica.keys() - replica_ids:
            if not self._load_by_replica[replica_id].own_requests:
                del self._load_by_replica[replica_id]
        self.call_latencies.retain(replica_ids)

    # --- own requests -------------------------------------------------------------------

    def record_start(
        self,
        replica_id: str,
        key: int,
        prompt_tokens: int,
        expected_tokens: int,
        model: str,
        now_s: float,
        cached_tokens: int = 0,
    ) -> None:
        """Record that a request is sent; the replica probably caches its first ``cached_tokens``."""
        load = self.load(replica_id)
        kv_tokens = prompt_tokens + expected_tokens
        prefill_tokens = max(0, prompt_tokens - cached_tokens)
        load.request_by_key[key] = _RequestLoad(
            prompt_tokens, prefill_tokens, expected_tokens, 0, kv_tokens, model
        )
        load.own_prefill_tokens += prefill_tokens
        load.own_tokens += kv_tokens
        load.own_kv_tokens += kv_tokens
        load.own_requests_by_model[model] = load.own_requests_by_model.get(model, 0) + 1
        self._change_own_requests(load, 1, now_s)

    def has_output(self, replica_id: str, key: int) -> bool:
        """Whether output tokens of the request have been recorded."""
        request = self.load(replica_id).request_by_key.get(key)
        return request is not None and request.received_tokens > 0

    def record_output(self, replica_id: str, key: int, new_tokens: int, now_s: float) -> None:
        """Record ``new_tokens`` more output tokens; ignored for an unknown request."""
        load = self.load(replica_id)
        request = load.request_by_key.get(key)
        if request is None:
            return
        self._record_time_per_token(load, request, new_tokens, now_s)
        request.received_tokens += new_tokens
        remaining_tokens = request.expected_remaining_tokens - new_tokens
        if remaining_tokens <= 0:
            growth = max(1, round(request.received_tokens * (OVERRUN_GROWTH_FACTOR - 1.0)))
            load.own_kv_tokens += growth - remaining_tokens
            request.kv_tokens += growth - remaining_tokens
            remaining_tokens = growth
        load.own_tokens += (
            remaining_tokens - request.expected_remaining_tokens - request.remaining_prompt_tokens
        )
        request.expected_remaining_tokens = remaining_tokens
        request.remaining_prompt_tokens = 0
        load.own_prefill_tokens -= request.remaining_prefill_tokens
        request.remaining_prefill_tokens = 0

    def record_end(self, replica_id: str, key: int, now_s: float) -> None:
        """Record that a request ended or was cancelled; ignored for an unknown request."""
        load = self.load(replica_id)
        request = load.request_by_key.pop(key, None)
        if request is None:
            return
        load.own_tokens -= request.remaining_prompt_tokens + request.expected_remaining_tokens
        load.own_kv_tokens -= request.kv_tokens
        load.own_prefill_tokens -= request.remaining_prefill_tokens
        load.own_requests_by_model[request.model] -= 1
        if not load.own_requests_by_model[request.model]:
            del load.own_requests_by_model[request.model]
        self._change_own_requests(load, -1, now_s)

    # --- reports ------------------------------------------------------------------------

    def apply_report(self, report: LoadReport, now_s: float) -> None:
        """Apply an engine's load report read at ``now_s``, which describes a time ``report_lag_s`` earlier.

        A report with the sequence of the last one is ignored.
        """
        load = self.load(report.replica_id)
        if report.sequence == load.last_report_sequence:
            return
        load.last_report_sequence = report.sequence
        load.last_report_s = now_s
        load.reported_waiting = report.waiting
        load.kv_capacity_tokens = report.kv_capacity_tokens
        load.version_by_model = _numeric_version_by_model(report)
        self._update_running_limit(load, report)
        self._update_others_load(load, report, now_s - self._report_lag_s)
        if report.running and report.tokens_per_s > 0.0 and not load.request_by_key:
            self._update_time_per_token(load, report.running / report.tokens_per_s)

    def apply_call_report(self, report: LoadReport, now_s: float) -> None:
        """Apply an application's load report read at ``now_s``; ignored if it has the last one's sequence.

        Calls are short, so one report shows little about the present.  The mean over many
        reports shows lasting load of other clients, such as callers that bypass passgate.
        """
        load = self.load(report.replica_id)
        if report.sequence == load.last_report_sequence:
            return
        load.last_report_sequence = report.sequence
        load.last_report_s = now_s
        others = report.running + report.waiting - load.own_requests_at(now_s - self._report_lag_s)
        load.others_calls += OTHERS_CALLS_SMOOTHING * (others - load.others_calls)

    def record_version(self, replica_id: str, model: str, version: int) -> None:
        """Record the weight version that a chunk of the replica's output stated."""
        self.load(replica_id).version_by_model[model] = version

    def discard_old_reports(self, now_s: float) -> None:
        """Reset others' load where no report has been read for ``MAX_REPORT_AGE_S``."""
        for load in self._load_by_replica.values():
            if now_s - load.last_report_s > MAX_REPORT_AGE_S:
                load.others_tokens = load.others_kv_tokens = load.others_requests = 0
                load.reported_waiting = 0
                load.others_calls = 0.0

    def _update_running_limit(self, load: ReplicaLoad, report: LoadReport) -> None:
        """Update the estimate of the engine's largest batch.

        Requests that wait in two successive reports show a full batch; in only one report,
        they may have just arrived.
        """
        if report.waiting > 0 and load.had_waiting_requests and report.running > 0:
            load.running_limit = report.running
        elif load.running_limit and report.running >= load.running_limit:
            load.running_limit = report.running + 1
        load.had_waiting_requests = report.waiting > 0

    def _update_others_load(self, load: ReplicaLoad, report: LoadReport, described_s: float) -> None:
        total = report.running + report.waiting
        others = max(0, total - load.own_requests_at(described_s))
        share = others / total if total else 0.0
        load.others_requests = others
        load.others_tokens = round(report.outstanding_tokens * share)
        load.others_kv_tokens = round(report.kv_used_tokens * share)

    # --- internals ------------------------------------------------------------------------

    def _change_own_requests(self, load: ReplicaLoad, change: int, now_s: float) -> None:
        load.own_requests += change
        history = load.own_requests_history
        if history and now_s - history[-1][0] < HISTORY_RESOLUTION_S:
            history[-1] = (history[-1][0], load.own_requests)
        else:
            history.append((now_s, load.own_requests))
        while len(history) > 1 and history[1][0] < now_s - HISTORY_LENGTH_S:
            history.popleft()

    def _record_time_per_token(
        self, load: ReplicaLoad, request: _RequestLoad, tokens: int, now_s: float
    ) -> None:
        if request.last_chunk_s is not None and tokens > 0:
            self._update_time_per_token(load, (now_s - request.last_chunk_s) / tokens)
        request.last_chunk_s = now_s

    def _update_time_per_token(self, load: ReplicaLoad, time_per_token_s: float) -> None:
        if load.time_per_token_s <= 0.0:
            load.time_per_token_s = time_per_token_s
            load.time_per_token_requests = load.request_count
        else:
            load.time_per_token_s += REPLICA_SMOOTHING * (time_per_token_s - load.time_per_token_s)
            load.time_per_token_requests += REPLICA_SMOOTHING * (
                load.request_count - load.time_per_token_requests
            )
        unloaded_s = time_per_token_s / (1.0 + self._slowdown_per_request * load.request_count)
        self._mean_time_per_token_s += MEAN_SMOOTHING * (unloaded_s - self._mean_time_per_token_s)


def _numeric_version_by_model(report: LoadReport) -> dict[str, int]:
    versions = {model: parse_decimal(text) for model, text in report.versions.items()}
    return {model: version for model, version in versions.items() if version is not None}
