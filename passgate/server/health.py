"""``/healthz``, ``/readyz``, ``/metrics`` and the answer for unknown paths."""

from __future__ import annotations

from passgate import metrics
from passgate.errors import NotFound
from passgate.server.base import ApiHandler, OperatorHandler
from passgate.server.wire import HealthAnswer

NOT_READY_STATUS = 503


class HealthHandler(ApiHandler):
    """Says that the process answers."""

    counted = False

    async def get(self) -> None:
        """Answer 200 while the loop runs."""
        self.answer_json(self.health())

    def health(self) -> HealthAnswer:
        """Return the state of the daemon."""
        return HealthAnswer(
            daemon_id=self.context.settings.daemon_id,
            state=self.context.life.state,
            ready=self.context.ready(),
        )


class ReadyHandler(HealthHandler):
    """Says whether the daemon should be sent requests."""

    async def get(self) -> None:
        """Answer 200 when ready, else 503."""
        health = self.health()
        self.answer_json(health, 200 if health.ready else NOT_READY_STATUS)


class MetricsHandler(OperatorHandler):
    """Metrics in the text format of Prometheus."""

    counted = False

    async def get(self) -> None:
        """Answer all metrics."""
        self.write_common_headers(metrics.CONTENT_TYPE)
        self.finish(self.context.metrics.exposition())


class UnknownPathHandler(ApiHandler):
    """Answers paths that no route knows."""

    counted = False

    def prepare(self) -> None:
        """Refuse, whatever the method."""
        super().prepare()
        raise NotFound("no such path", path=self.request.path[:200])
