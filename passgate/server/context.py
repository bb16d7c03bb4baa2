"""State that all request handlers of one daemon share."""

from __future__ import annotations

import logging
from random import Random
from typing import TYPE_CHECKING

import msgspec

from passgate.metrics import DaemonMetrics
from passgate.server.admission import RequestAdmissionController
from passgate.settings import Settings

if TYPE_CHECKING:
    from passgate.routing.dispatcher import Dispatcher
    from passgate.server.cluster_status import ClusterStatus
    from passgate.state.claims import ClaimService
    from passgate.state.configuration import ConfigurationService
    from passgate.state.lots import LotService
    from passgate.statecharts import Machine

REQUEST_ID_BYTES = 8


class Services(msgspec.Struct, kw_only=True):
    """The services of a daemon that request handlers call."""

    configuration: ConfigurationService
    dispatcher: Dispatcher
    claims: ClaimService
    lots: LotService
    cluster_status: ClusterStatus


class ServerContext:
    """Settings, services, lifecycle, metrics and admission control of one daemon."""

    def __init__(
        self,
        settings: Settings,
        services: Services,
        lifecycle: Machine,
        metrics: DaemonMetrics,
        logger: logging.Logger,
        random: Random,
    ) -> None:
        self.settings = settings
        self.services = services
        self.lifecycle = lifecycle
        self.metrics = metrics
        self.logger = logger
        self.random = random
        self.admission = RequestAdmissionController(
            settings.limits.max_in_flight, settings.stop.retry_after_s, settings.limits.write_timeout_s
        )

    def new_request_id(self) -> str:
        """Return a new random identifier; unlike a caller's X-Request-Id it is unique among all requests."""
        return f"{self.settings.daemon_id}-{self.random.randbytes(REQUEST_ID_BYTES).hex()}"

    def is_ready(self) -> bool:
        """Return whether load balancers should send requests to this daemon."""
        return self.lifecycle.within("serving")
