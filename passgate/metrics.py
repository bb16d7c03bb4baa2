"""Prometheus metrics of a daemon of ``passgate serve``, by default in a registry of their own.

>>> metrics = DaemonMetrics()
>>> metrics.requests.labels(port="caller", route="completions", status="200").inc()
>>> b'passgate_requests_total{port="caller",route="completions",status="200"} 1.0' in metrics.exposition()
True
"""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Media type of the text format of Prometheus."""

LATENCY_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    5,
    10,
    30,
    60,
    300,
    1800,
)
"""Upper bounds of the histogram's buckets for request durations."""


class DaemonMetrics:
    """Metrics of one daemon; their names and labels are part of passgate's public interface."""

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        self.registry = registry or CollectorRegistry()
        self.requests = Counter(
            "passgate_requests",
            "Requests answered, by port, route and HTTP status.",
            ("port", "route", "status"),
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "passgate_request_seconds",
            "Time from a request's headers to the end of its answer.",
            ("route",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.errors = Counter(
            "passgate_errors",
            "Answers that carried an error, by code and by whether the request ran.",
            ("route", "code", "execution"),
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "passgate_in_flight_requests", "Requests inside this daemon.", registry=self.registry
        )
        self.output_tokens = Counter(
            "passgate_output_tokens", "Tokens in whole answers.", ("pool",), registry=self.registry
        )
        self.samples_handed_over = Counter(
            "passgate_samples_handed_over",
            "Samples written in answers to trainers, repeats included.",
            registry=self.registry,
        )
        self.disconnects = Counter(
            "passgate_caller_disconnects",
            "Callers that left before their answer was whole.",
            ("route",),
            registry=self.registry,
        )
        self.configuration_revision = Gauge(
            "passgate_configuration_revision",
            "Revision of the configuration in force on this daemon.",
            registry=self.registry,
        )
        self.ready = Gauge("passgate_ready", "1 when this daemon takes requests.", registry=self.registry)
        self.loop_lag_seconds = Gauge(
            "passgate_loop_lag_seconds",
            "How late the last timer of the event loop ran.",
            registry=self.registry,
        )

    def exposition(self) -> bytes:
        """Return all metrics of the registry in the text format of Prometheus."""
        return generate_latest(self.registry)
