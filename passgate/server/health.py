"""Handlers of ``/healthz``, ``/readyz``, ``/metrics`` and unknown paths."""

from __future__ import annotations

from passgate import metrics
from passgate.errors import NotFound
from passgate.server.base_handlers import ApiHandler, OperatorHandler
from passgate.server.wire import HealthAnswer

NOT_READY_STATUS = 503


class HealthHandler(ApiHandler):
    """``/healthz``: liveness of the process."""

    uses_admission = False

    async def get(self) -> None:
        """Answer 200 with the state of the daemon."""
        self.answer_json(self.get_health())

    def get_health(self) -> HealthAnswer:
        """Return the lifecycle state and readiness of the daemon."""
        return HealthAnswer(
            daemon_id=self.context.settings.daemon_id,
            state=self.context.lifecycle.state,
            ready=self.context.is_ready(),
        )


class ReadyHandler(HealthHandler):
    """``/readyz``: readiness for requests."""

    async def get(self) -> None:
        """Answer 200 when the daemon is ready, else 503."""
        health = self.get_health()
        self.answer_json(health, 200 if health.ready else NOT_READY_STATUS)


class MetricsHandler(OperatorHandler):
    """``/metrics``: metrics in the text format of Prometheus."""

    uses_admission = False

    async def get(self) -> None:
        """Answer with all metrics."""
        self.write_common_headers(metrics.CONTENT_TYPE)
        self.finish(self.context.metrics.exposition())


class UnknownPathHandler(ApiHandler):
    """Answers requests whose path matches no route."""

    uses_admission = False

    def prepare(self) -> None:
        """Raise NotFound for every method."""
        super().prepare()
        raise NotFound("no such path", path=self.request.path[:200])
