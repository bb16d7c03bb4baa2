"""The operator's configuration, and the match of a request to a route by host and longest path prefix.

>>> table = RouteTable(GatewayConfig(version=1, routes=(
...     Route(name="a", host="h", path_prefix="/x/", parts=(WeightedService("s", 1),)),
...     Route(name="b", host="h", path_prefix="/x/y/", parts=(WeightedService("s", 1),)))))
>>> table.match("h", "/x/y/z?q=1").name, table.match("h", "/x/z").name, table.match("h", "/q/")
('b', 'a', None)
"""

from __future__ import annotations

import bisect
import enum
import itertools
import random
from collections.abc import Callable

import msgspec

from passgate.eligibility.regions import intersect_regions
from passgate.eligibility.rules import ANY_REGION_REQUEST, SendContext
from passgate.eligibility.topology import Topology
from passgate.errors import InvalidConfiguration
from passgate.gateway.access import ApiKeyIndex, Tenant

DEFAULT_TIMEOUT_S = 30.0
"""Timeout of a request whose route sets none."""
NO_VERSION = -1
"""Version of the configuration before the first one is applied."""
MAX_DROPPED_ROUTES = 256
"""Maximum number of dropped batch routes that are remembered for their jobs; the latest ones are kept."""
GOLDEN_RATIO_FRACTION = 0.6180339887498949
"""Fractional part of the golden ratio; its multiples modulo 1 are spread evenly over 0 to 1."""

ITEM_TIME_TO_LIVE_S = 60.0
"""Time to live of a batch job's item if no route sets one."""


class RouteKind(enum.Enum):
    """How the requests of a route are forwarded."""

    SAFE = "safe"
    """Plain requests that may be repeated and hedged."""
    UNSAFE = "unsafe"
    """Plain requests that may run at most once."""
    STREAMING = "streaming"
    """Requests that are answered with a stream of events."""
    BATCH = "batch"
    """Submissions of batch jobs."""


class WeightedService(msgspec.Struct, frozen=True):
    """One of the services among which a route's requests are split, and the service's relative weight."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """One route of the configuration."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash."""
    parts: tuple[WeightedService, ...]
    kind: RouteKind = RouteKind.SAFE
    timeout_s: float = DEFAULT_TIMEOUT_S
    """Maximum time from a request's arrival to the end of its answer."""
    target_latency_s: float = 1.0
    """Latency objective; hedging and waiting times are shares or multiples of this time."""
    max_attempts: int = 2
    """Maximum number of attempts of one request; attempts that did not reach a replica don't count."""
    priority: int = 5
    """Priority of streamed requests and, unless the tenant has a priority, of job items; 0 is most urgent."""
    resumable: bool = False
    """Whether a stream that broke off may be continued by another replica; the request may then run again."""
    item_time_to_live_s: float = ITEM_TIME_TO_LIVE_S
    """Time after which an unfinished item of a batch job may be given up."""
    result_deadline_s: float = 60.0
    """Time within which the results of a batch job are due; the gateway does not use it."""
    public: bool = False
    """Whether callers without a valid API key are admitted."""
    single_version: bool = False
    """Whether the whole result of an item must come from one version of the weights."""
    allowed_regions: frozenset[str] = frozenset()
    """Regions that may serve the route's requests and store their bodies; empty if any may."""

    @property
    def services(self) -> frozenset[str]:
        """Names of the services among which the route splits its requests."""
        return frozenset(part.service for part in self.parts)

    @property
    def active_services(self) -> frozenset[str]:
        """Names of the services that get requests: those with a weight, or the last one if none has any."""
        return frozenset(part.service for part in self.parts if part.weight > 0) or frozenset(
            part.service for part in self.parts[-1:]
        )


class ScalingRule(msgspec.Struct, frozen=True, kw_only=True):
    """Limits and prices for the autoscaling of a service."""

    least: int
    """Minimum number of replicas in each zone, on-demand and spot ones together."""
    most: int
    """Maximum number of replicas in each zone, on-demand and spot ones together."""
    boot_s: float
    """Time from an order of replicas until they serve."""
    spot_price: float = 1.0
    """Price of a spot replica relative to an on-demand one."""
    zone_prices: dict[str, float] = {}
    """Price of a replica-second by zone; only the ratios of prices matter."""


class ColdStart(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity of a service's cold replicas, which have just started or become cold later."""

    lasts_s: float
    """Longest time for which a replica stays cold."""
    requests_per_s: float
    """Rate of requests that one cold replica can take."""


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """One service of the configuration."""

    name: str
    max_connections: int = 100
    """Connections that one replica accepts from all daemons together; the gateway does not use it."""
    scaling: ScalingRule | None = None
    """None if the gateway does not order replicas of the service."""
    cold_start: ColdStart | None = None
    """None if a cold replica can take as many requests as a warm one."""


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of callers' requests and connections; only ``max_body_bytes`` has an effect."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 33_554_432
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class GatewayConfig(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the operator's complete configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    """If empty, callers need no API key."""
    limits: RequestLimits = RequestLimits()


class RouteTable:
    """A configuration prepared for look-ups of routes and API keys."""

    def __init__(self, config: GatewayConfig, topology: Topology | None = None) -> None:
        """Compile a configuration; raises InvalidConfiguration.

        Args:
            config: the configuration.
            topology: zones and regions of the deployment; allowed regions are checked if it names any.
        """
        self.config = config
        self.api_key_index = ApiKeyIndex(config.tenants)
        self._tenant_by_name = {tenant.name: tenant for tenant in config.tenants}
        for owner in (*config.routes, *config.tenants):
            _validate_regions(owner, topology)
        routed = {part.service for route in config.routes for part in route.parts}
        self.services = frozenset(routed | {service.name for service in config.services})
        """Names of all services that are configured or used by a route."""
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(config.routes, key=lambda route: len(route.path_prefix), reverse=True):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def accepts_public_jobs(self, host: str) -> bool:
        """Whether a host has a public batch route, so that callers without an API key may have jobs there."""
        return any(
            route.public and route.kind is RouteKind.BATCH for route in self._routes_by_host.get(host, ())
        )

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix, or None; the query is ignored."""
        plain_path = path.partition("?")[0]
        for route in self._routes_by_host.get(host, ()):
            if plain_path.startswith(route.path_prefix):
                return route
        return None

    def allowed_tenant_regions(self, tenant: str | None) -> frozenset[str]:
        """Return the allowed regions of a tenant; empty if any region is allowed or the tenant is unknown."""
        found = self._tenant_by_name.get(tenant or "")
        return found.allowed_regions if found is not None else frozenset()


def _validate_regions(owner: Route | Tenant, topology: Topology | None) -> None:
    """Raise InvalidConfiguration if an allowed region of a route or tenant is empty or not in the topology.

    A misspelt region could otherwise make the gateway refuse all requests of the route or tenant.
    """
    known_regions = frozenset(topology.region_by_zone.values()) if topology is not None else frozenset()
    for region in owner.allowed_regions:
        if not region or (known_regions and region not in known_regions):
            raise InvalidConfiguration("an allowed region is not known", holder=owner.name, region=region)


def never_expires() -> bool:
    """Return False: the configuration may be used whatever its age."""
    return False


class ConfigHolder:
    """Holds the active configuration; its version never decreases."""

    def __init__(self, topology: Topology | None = None) -> None:
        """Start without a configuration; ``topology`` is passed to each :class:`RouteTable`."""
        self.table: RouteTable | None = None
        self.is_expired: Callable[[], bool] = never_expires
        """Returns whether the configuration is too old to be used for a send; the daemon sets it."""
        self._topology = topology
        self._dropped_batch_routes: dict[tuple[str, str], Route] = {}
        """Batch routes of earlier configurations that the active one does not have, by host and prefix."""

    @property
    def version(self) -> int:
        """Version of the active configuration; NO_VERSION before the first one."""
        return NO_VERSION if self.table is None else self.table.config.version

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the active configuration's route for a host and path, or None."""
        return self.table.match(host, path) if self.table is not None else None

    def find_job_route(self, host: str, path: str) -> Route | None:
        """Return the batch route for a job; None if no configuration that was active here has one.

        If the active configuration has none, the last one that had it counts: an accepted job is still owed
        when the operator removes its route or changes the route's kind.
        """
        route = self.find_route(host, path)
        if route is not None and route.kind is RouteKind.BATCH:
            return route
        dropped = [
            route
            for route in self._dropped_batch_routes.values()
            if route.host == host and path.startswith(route.path_prefix)
        ]
        return max(dropped, key=lambda route: len(route.path_prefix), default=None)

    def item_time_to_live_s(self, host: str, path: str) -> float:
        """Return the time to live of job items by the route for a host and path; the default without one."""
        route = self.find_route(host, path)
        return route.item_time_to_live_s if route is not None else ITEM_TIME_TO_LIVE_S

    def send_context_for(
        self, host: str, path: str, tenant: str | None, accepted_regions: frozenset[str] = frozenset()
    ) -> SendContext:
        """Return the context with the regions that may serve a request by the active configuration.

        The active configuration counts also for a request that was accepted under an earlier one.

        Args:
            host: host of the request.
            path: path of the request.
            tenant: name of the request's tenant, if it has one.
            accepted_regions: the route's allowed regions when the request was accepted; used if the active
                configuration has no route for the request.
        """
        route = self.find_route(host, path)
        route_regions = route.allowed_regions if route is not None else accepted_regions
        tenant_regions = self.table.allowed_tenant_regions(tenant) if self.table is not None else frozenset()
        regions = intersect_regions(route_regions, tenant_regions)
        return ANY_REGION_REQUEST if regions is None else SendContext(allowed_regions=regions)

    def requires_single_version(self, service: str) -> bool:
        """Whether the active configuration sends a service items whose output one version must make."""
        routes = self.table.config.routes if self.table is not None else ()
        return any(route.single_version and service in route.active_services for route in routes)

    def has_service(self, service: str) -> bool:
        """Whether the active configuration lists a service, or a route uses it."""
        return self.table is not None and service in self.table.services

    def apply_if_newer(self, config: GatewayConfig) -> bool:
        """Make a configuration the active one if its version is higher; return whether that was done.

        Raises InvalidConfiguration, in which case the active configuration stays.
        """
        if self.table is not None and config.version <= self.table.config.version:
            return False
        table = RouteTable(config, self._topology)
        self._remember_dropped_routes(config)
        self.table = table
        return True

    def _remember_dropped_routes(self, config: GatewayConfig) -> None:
        """Remember the batch routes that a new configuration drops, for the jobs accepted on them."""
        dropped = dict(self._dropped_batch_routes)
        for route in self.table.config.routes if self.table is not None else ():
            if route.kind is RouteKind.BATCH:
                dropped[route.host, route.path_prefix] = route
        for route in config.routes:
            if route.kind is RouteKind.BATCH:
                dropped.pop((route.host, route.path_prefix), None)
        self._dropped_batch_routes = dict(list(dropped.items())[-MAX_DROPPED_ROUTES:])


class WeightedServicePicker:
    """Splits the requests of each route among its services in proportion to their weights.

    The weights divide the range from 0 to 1 among the services.  Successive requests get positions in this
    range that differ by the golden ratio's fraction, which covers the range evenly.  The first position is
    random, so that services of little weight get their share even if each daemon has few requests.

    >>> picker = WeightedServicePicker(seed=1)
    >>> services = (WeightedService("s", 90), WeightedService("t", 10))
    >>> route = Route(name="a", host="h", path_prefix="/", parts=services)
    >>> picked = [picker.pick(route) for _ in range(100)]
    >>> picked.count("s"), picked.count("t")
    (90, 10)
    """

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)
        self._last_position_by_route: dict[str, float] = {}
        """Position of the last request, from 0 to 1, by the name of the route."""

    def pick(self, route: Route) -> str:
        """Return the service for the route's next request.

        Services of weight 0 get no requests; if all weights are 0, the last service gets all requests.
        """
        parts = [part for part in route.parts if part.weight > 0] or list(route.parts)
        if len(parts) == 1:
            return parts[0].service
        last = self._last_position_by_route.get(route.name)
        position = self._random.random() if last is None else (last + GOLDEN_RATIO_FRACTION) % 1.0
        self._last_position_by_route[route.name] = position
        upper_bounds = list(itertools.accumulate(part.weight for part in parts))
        index = bisect.bisect_right(upper_bounds, position * upper_bounds[-1])
        return parts[min(index, len(parts) - 1)].service
