"""Prometheus metrics of one gateway daemon, mostly derived from the events of the daemon's decision log.

Labels never hold names of routes, callers or replicas, so that the number of time series stays bounded.

>>> metrics = GatewayMetrics()
>>> metrics.observe(JobEnded(job_id="j", listed=1, total=1))
>>> b'passgate_decisions_total{event="job_ended"} 1.0' in metrics.exposition()
True
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from passgate.decisions import (
    ColdReplicasChanged,
    ConfigurationApplied,
    DiscoveryEntryRejected,
    Event,
    ForwardEnded,
    ItemFailed,
    ItemResultRecorded,
    JobAccepted,
    JobAcceptFailed,
    JobEnded,
    PermitCountsReported,
)
from passgate.eligibility.rules import Exclusion
from passgate.errors import NoRegionAllowed, NoReplicaInRegions

REQUEST_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12)
"""Bucket bounds of the duration of a request or a job's submission: from the work of a request, some 10 ms,
over its target latency of 0.2 s to its deadline."""
ITEM_BUCKETS_S = (0.25, 0.5, 1, 2, 4, 6, 8, 12, 20, 40)
"""Bucket bounds of the duration of a batch job's item: from a short output to the time to live of items;
training steps are due after some 7 s."""

REGION_REFUSAL_CODES = frozenset({NoRegionAllowed.code, NoReplicaInRegions.code})
"""Error codes of refusals that are due to a region restriction."""

__all__ = ["GatewayMetrics", "JobEnded"]


class GatewayMetrics:
    """Metrics of a daemon, in a registry of their own; the daemon sets the public gauges itself."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._decisions = Counter(
            "passgate_decisions", "Decisions by name of the event.", ("event",), registry=self.registry
        )
        self._forward_seconds = Histogram(
            "passgate_forward_seconds",
            "Time from a request's arrival to its answer, by status.",
            ("status",),
            buckets=REQUEST_BUCKETS_S,
            registry=self.registry,
        )
        self._item_seconds = Histogram(
            "passgate_item_seconds",
            "Time from an item's start at this daemon to its result, by state.",
            ("state",),
            buckets=ITEM_BUCKETS_S,
            registry=self.registry,
        )
        self._item_attempt_failures = Counter(
            "passgate_item_attempt_failures",
            "Attempts of items that ended without the whole output, by code.",
            ("code",),
            registry=self.registry,
        )
        self._job_accept_seconds = Histogram(
            "passgate_job_accept_seconds",
            "Time to put a batch job on the log.",
            buckets=REQUEST_BUCKETS_S,
            registry=self.registry,
        )
        self._configuration_version = Gauge(
            "passgate_configuration_version", "Configuration in force.", registry=self.registry
        )
        self._log_calls = Counter(
            "passgate_log_calls",
            "Calls to the log, by call, topic or group, and outcome.",
            ("call", "subject", "outcome"),
            registry=self.registry,
        )
        self._region_sends = Counter(
            "passgate_region_sends",
            "Requests sent to replicas, by the replicas' region: kept at home, or spilled to another.",
            ("region", "outcome"),
            registry=self.registry,
        )
        self._region_refusals = Counter(
            "passgate_region_refusals",
            "Requests and jobs refused as no region, or no replica in the allowed regions, may serve them.",
            ("code",),
            registry=self.registry,
        )
        self.log_age_seconds = Gauge(
            "passgate_log_age_seconds",
            "Time since the jobs' topic was last known to be read to its end.",
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "passgate_in_flight_requests", "Requests that are being answered.", registry=self.registry
        )
        self.jobs_owned = Gauge(
            "passgate_jobs_owned", "Jobs whose items this daemon runs.", registry=self.registry
        )
        self.job_view_age_seconds = Gauge(
            "passgate_job_view_age_seconds",
            "Age of the oldest view of a partition by which this daemon runs jobs; 0 if it runs none.",
            registry=self.registry,
        )
        self.late_usage_requests = Gauge(
            "passgate_usage_late_requests",
            "Requests counted after their window was committed, so that no report names them.",
            registry=self.registry,
        )
        self.evacuated_zones = Gauge(
            "passgate_evacuated_zones", "Zones to which nothing is sent.", registry=self.registry
        )
        self.evacuation_age_seconds = Gauge(
            "passgate_evacuation_age_seconds",
            "Time since it was last known that no zone more or less is evacuated.",
            registry=self.registry,
        )
        self._unusable_entries = Counter(
            "passgate_unusable_entries",
            "Entries of discovery that name no replica to use.",
            registry=self.registry,
        )
        self.is_leader = Gauge("passgate_leads", "1 while this daemon gives orders.", registry=self.registry)

        self._cold_replicas = Gauge(
            "passgate_cold_replicas", "Replicas that count as cold here.", registry=self.registry
        )
        self._cold_permits = Counter(
            "passgate_cold_permits",
            "Permits to send to cold replicas, by what became of them.",
            ("outcome",),
            registry=self.registry,
        )

    def register_exclusions(self, counts: Mapping[Exclusion, int]) -> None:
        """Export how often send rules excluded replicas; ``counts`` is read again at each exposition."""
        self.registry.register(_ExclusionCollector(counts))

    def count_log_call(self, call: str, subject: str, outcome: str) -> None:
        """Count a call to the log; ``subject`` is the topic or group that the call is about."""
        self._log_calls.labels(call, subject, outcome).inc()

    def count_region_send(self, region: str, spilled: bool) -> None:
        """Count a request sent to a replica of a region; ``spilled`` if that is not the local region."""
        self._region_sends.labels(region, "spilled" if spilled else "kept").inc()

    def observe(self, event: Event) -> None:
        """Update the metrics from an event of the decision log."""
        self._decisions.labels(event.name).inc()
        if isinstance(event, ForwardEnded | JobAcceptFailed) and event.reason in REGION_REFUSAL_CODES:
            self._region_refusals.labels(event.reason).inc()
        match event:
            case ForwardEnded(status=status, elapsed_ms=elapsed_ms):
                self._forward_seconds.labels(str(status)).observe(elapsed_ms / 1000)
            case ItemResultRecorded(state=state, elapsed_ms=elapsed_ms):
                self._item_seconds.labels(state).observe(elapsed_ms / 1000)
            case ItemFailed(reason=reason):
                self._item_attempt_failures.labels(reason.partition(":")[0]).inc()
            case JobAccepted(elapsed_ms=elapsed_ms):
                self._job_accept_seconds.observe(elapsed_ms / 1000)
            case ConfigurationApplied(version=version):
                self._configuration_version.set(version)
            case DiscoveryEntryRejected(entries=entries):
                self._unusable_entries.inc(entries)
            case ColdReplicasChanged(cold=cold):
                self._cold_replicas.set(cold)
            case PermitCountsReported():
                self._count_permits(event)

    def _count_permits(self, event: PermitCountsReported) -> None:
        counts = {
            "given": event.given,
            "refused": event.refused,
            "got": event.got,
            "used": event.used,
            "expired": event.expired,
            "wanting": event.wanting,
            "unanswered": event.unanswered,
        }
        for outcome, count in counts.items():
            self._cold_permits.labels(outcome).inc(count)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)


class _ExclusionCollector(Collector):
    """Exports exclusion counts that :class:`passgate.eligibility.rules.SendRules` maintains.

    Reading them only at an exposition keeps the cost of a Prometheus counter out of each send.
    """

    def __init__(self, counts: Mapping[Exclusion, int]) -> None:
        self._counts = counts

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield one counter family, labelled by rule, kind of send, and stage (choice or send)."""
        family = CounterMetricFamily(
            "passgate_kept_back",
            "Replicas passed over in choices, and sends stopped, by the rule that forbade it.",
            labels=("rule", "kind", "step"),
        )
        for exclusion, count in self._counts.items():
            labels = (exclusion.rule, exclusion.kind.value, exclusion.stage.value)
            family.add_metric(labels, count)
        yield family
