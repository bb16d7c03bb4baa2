"""The route of a job by the active configuration, and the services at which an item of the job may run.

>>> import msgspec
>>> from passgate.gateway.routes import GatewayConfig
>>> holder = ConfigHolder()
>>> old, new = WeightedService("old", 1), WeightedService("new", 1)
>>> route = Route(name="r", host="h", path_prefix="/j/", parts=(old,), kind=RouteKind.BATCH)
>>> holder.apply_if_newer(GatewayConfig(version=1, routes=(route,)))
True
>>> job_route = JobRoute("h", "/j/1", holder)
>>> choice = ServiceChoice(job_route, WeightedServicePicker(), waiting_since_s=0.0)
>>> choice.services(now_s=0.0)
frozenset({'old'})
>>> moved = msgspec.structs.replace(route, parts=(new, WeightedService("old", 0)))
>>> holder.apply_if_newer(GatewayConfig(version=2, routes=(moved,)))
True
>>> choice.services(now_s=0.0)
frozenset({'new'})
"""

from __future__ import annotations

from passgate.gateway.routes import (
    NO_VERSION,
    ConfigHolder,
    Route,
    RouteKind,
    WeightedService,
    WeightedServicePicker,
)

SPLIT_WAIT_S = 2.0
"""Time without a slot at the service that was picked for an item, after which the item may run at any service
of its route's split.  Shorter than the 5 s after which an item without a replica counts as forgotten."""
UNKNOWN_ROUTE = Route(name="", host="", path_prefix="/", parts=(), kind=RouteKind.BATCH)
"""Stands for the route of a job that no configuration known here has a route for; it has no services."""


class JobRoute:
    """The route of one job, looked up again for each configuration."""

    def __init__(self, host: str, path: str, config_holder: ConfigHolder) -> None:
        """Create the look-up; ``host`` and ``path`` are those of the job's submission."""
        self._host = host
        self._path = path
        self._config_holder = config_holder
        self._version = NO_VERSION
        self._route = UNKNOWN_ROUTE

    @property
    def current(self) -> Route:
        """The job's route by the active configuration; the last known one if that has none for the job."""
        if self._version != self._config_holder.version:
            self._version = self._config_holder.version
            self._route = self._config_holder.find_job_route(self._host, self._path) or UNKNOWN_ROUTE
        return self._route


class ServiceChoice:
    """The services at which one item may run: the one picked by the weights of its route, later any of them.

    Another service is picked when the route's split changes.
    """

    def __init__(self, job_route: JobRoute, picker: WeightedServicePicker, waiting_since_s: float) -> None:
        """Create the choice for an item that has waited for a slot since a loop time."""
        self._job_route = job_route
        self._picker = picker
        self._waiting_since_s = waiting_since_s
        self._parts: tuple[WeightedService, ...] = ()
        self._picked = ""

    @property
    def picked(self) -> str:
        """Service that is picked for the item; empty if its route is unknown."""
        route = self._job_route.current
        if route.parts != self._parts:
            self._parts = route.parts
            self._picked = self._picker.pick(route) if route.parts else ""
        return self._picked

    def restart_wait(self, now_s: float) -> None:
        """Prefer the picked service again, as the item begins to wait for another attempt."""
        self._waiting_since_s = now_s

    def services(self, now_s: float) -> frozenset[str]:
        """Return the services at which the item may run now; empty if its route is unknown."""
        picked = self.picked
        if now_s - self._waiting_since_s < SPLIT_WAIT_S:
            return frozenset({picked} if picked else ())
        return self._job_route.current.active_services
