"""Configuration of routes and the choice of a route by host and longest path prefix.

>>> table = RouteTable(GatewayConfig(version=1, routes=(
...     Route(name="a", host="h", path_prefix="/x/", parts=(RoutePart("s", 1),)),
...     Route(name="b", host="h", path_prefix="/x/y/", parts=(RoutePart("s", 1),)))))
>>> table.match("h", "/x/y/z?q=1").name, table.match("h", "/x/z").name, table.match("h", "/q/")
('b', 'a', None)
"""

from __future__ import annotations

import bisect
import enum
import itertools
import random

import msgspec

from passgate.eligibility.places import Places
from passgate.eligibility.regions import common_regions
from passgate.eligibility.rules import ANY_REQUEST, SendTerms
from passgate.errors import InvalidConfiguration
from passgate.gateway.access import KeyIndex, Tenant

DEFAULT_TIMEOUT_S = 30.0
"""Longest hold of a request whose route names none."""
NO_VERSION = -1
GOLDEN_RATIO = 0.6180339887498949

ITEM_TIME_TO_LIVE_S = 60.0
"""Time after which an item is given up where its route sets none: a step of training waits no longer."""


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"
    BATCH = "batch"
    """The route takes batch jobs."""


class RoutePart(msgspec.Struct, frozen=True):
    """A service and its weight in a route."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """One route of the configuration."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash."""
    parts: tuple[RoutePart, ...]
    kind: RouteKind = RouteKind.SAFE
    timeout_s: float = DEFAULT_TIMEOUT_S
    """Longest time that a request may be held."""
    target_latency_s: float = 1.0
    """Time within which an answer earns its full worth."""
    max_attempts: int = 2
    """Most replicas that one request may be sent to."""
    priority: int = 5
    """Rank; 0 is the most urgent."""
    resumable: bool = False
    item_time_to_live_s: float = ITEM_TIME_TO_LIVE_S
    """Time after which an item of a batch job may be given up."""
    result_deadline_s: float = 60.0
    """Time within which the results of a batch job are due."""
    public: bool = False
    """Whether callers need no key."""
    single_version: bool = False
    """Whether one version of the weights must make the whole of a result."""
    allowed_regions: frozenset[str] = frozenset()
    """Regions that may serve the route's requests and hold their bodies; empty where any may."""

    @property
    def services(self) -> frozenset[str]:
        """Names of the services that may serve this route."""
        return frozenset(part.service for part in self.parts)


class ScalingRule(msgspec.Struct, frozen=True, kw_only=True):
    """How many replicas of a service may be ordered, and what they cost."""

    least: int
    """Fewest replicas in each zone, of both kinds together."""
    most: int
    boot_s: float
    """Time from an order until its replicas serve."""
    spot_price: float = 1.0
    """Price of a spot replica as a share of an ordinary one."""
    zone_prices: dict[str, float] = {}
    """Price of a replica-second by zone; only their ratios matter."""


class ColdStart(msgspec.Struct, frozen=True, kw_only=True):
    """What a cold replica of a service bears, after a start or whenever it turns cold."""

    lasts_s: float
    """Time for which a replica is cold after its start."""
    requests_per_s: float
    """Requests that a cold replica bears each second."""


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """One service of the configuration."""

    name: str
    max_connections: int = 100
    """Connections that one of its replicas accepts from all daemons together."""
    scaling: ScalingRule | None = None
    """None where the number of replicas is not the system's to decide."""
    cold_start: ColdStart | None = None
    """None where a cold replica bears what any other does."""


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 33_554_432
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class GatewayConfig(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the whole configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    """Without any, callers need no key."""
    limits: RequestLimits = RequestLimits()


class RouteTable:
    """One configuration, compiled: its routes by host, longest prefix first, and its keys."""

    def __init__(self, config: GatewayConfig, places: Places | None = None) -> None:
        """Compile a configuration; raises InvalidConfiguration.

        Args:
            config: the configuration.
            places: the regions that there are, where they are known.
        """
        self.config = config
        self.keys = KeyIndex(config.tenants)
        self._tenants = {tenant.name: tenant for tenant in config.tenants}
        for holder in (*config.routes, *config.tenants):
            _check_regions(holder, places)
        routed = {part.service for route in config.routes for part in route.parts}
        self.services = frozenset(routed | {service.name for service in config.services})
        """Services that the configuration names."""
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(config.routes, key=lambda route: len(route.path_prefix), reverse=True):
            self._by_host.setdefault(route.host, []).append(route)

    def takes_public_jobs(self, host: str) -> bool:
        """Whether jobs of a host may be submitted, and so read, without a key."""
        return any(route.public and route.kind is RouteKind.BATCH for route in self._by_host.get(host, ()))

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None."""
        plain_path = path.partition("?")[0]
        for route in self._by_host.get(host, ()):
            if plain_path.startswith(route.path_prefix):
                return route
        return None

    def tenant_regions(self, tenant: str | None) -> frozenset[str]:
        """Return the regions that a tenant allows; empty where any may serve it."""
        known = self._tenants.get(tenant or "")
        return known.allowed_regions if known is not None else frozenset()


def _check_regions(holder: Route | Tenant, places: Places | None) -> None:
    """Check the regions that a route or tenant names; raises InvalidConfiguration.

    A name that no zone has is most likely misspelt, and would have all its requests refused.
    """
    known = frozenset(places.regions.values()) if places is not None else frozenset()
    for region in holder.allowed_regions:
        if not region or (known and region not in known):
            raise InvalidConfiguration("an allowed region is not known", holder=holder.name, region=region)


class ConfigHolder:
    """The configuration in force; versions only rise."""

    def __init__(self, places: Places | None = None) -> None:
        """Begin without one; ``places`` tells the regions that a configuration may name."""
        self.table: RouteTable | None = None
        self._places = places

    @property
    def version(self) -> int:
        """Version in force, NO_VERSION before the first."""
        return NO_VERSION if self.table is None else self.table.config.version

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route in force of a host and path, or None."""
        return self.table.match(host, path) if self.table is not None else None

    def item_time_to_live_s(self, host: str, path: str) -> float:
        """Return after which time items are given up, by the route in force or as where none is set."""
        route = self.find_route(host, path)
        return route.item_time_to_live_s if route is not None else ITEM_TIME_TO_LIVE_S

    def terms_for(
        self, host: str, path: str, tenant: str | None, begun: frozenset[str] = frozenset()
    ) -> SendTerms:
        """Return what binds a request by the configuration in force, whenever it was accepted.

        Args:
            host: host of the request.
            path: its path.
            tenant: name of its tenant, if it has one.
            begun: regions that bound it when it was accepted; they hold when no route is in force any more.
        """
        route = self.find_route(host, path)
        of_route = route.allowed_regions if route is not None else begun
        of_tenant = self.table.tenant_regions(tenant) if self.table is not None else frozenset()
        regions = common_regions(of_route, of_tenant)
        return ANY_REQUEST if regions is None else SendTerms(regions=regions)

    def names_service(self, service: str) -> bool:
        """Whether the configuration in force names a service."""
        return self.table is not None and service in self.table.services

    def offer(self, config: GatewayConfig) -> bool:
        """Put a configuration in force unless a newer one is; return whether it was.

        Raises InvalidConfiguration; the version in force stays then.
        """
        if self.table is not None and config.version <= self.table.config.version:
            return False
        self.table = RouteTable(config, self._places)
        return True


class WeightedChoice:
    """Spreads requests over a route's parts so that shares follow the weights closely.

    Each request's place in the range of the weights is the last one moved on by the golden
    ratio, which fills the range evenly from any start.  The start is drawn, so that many
    daemons that see few requests each give light parts their share too.

    >>> choice = WeightedChoice(seed=1)
    >>> route = Route(name="a", host="h", path_prefix="/", parts=(RoutePart("s", 90), RoutePart("t", 10)))
    >>> picked = [choice.pick(route) for _ in range(100)]
    >>> picked.count("s"), picked.count("t")
    (90, 10)
    """

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)
        self._places: dict[str, float] = {}
        """Route to the place of its last request, from 0 to 1."""

    def pick(self, route: Route) -> str:
        """Return the service for the next request."""
        parts = [part for part in route.parts if part.weight > 0] or list(route.parts)
        if len(parts) == 1:
            return parts[0].service
        last = self._places.get(route.name)
        place = self._random.random() if last is None else (last + GOLDEN_RATIO) % 1.0
        self._places[route.name] = place
        ends = list(itertools.accumulate(part.weight for part in parts))
        index = bisect.bisect_right(ends, place * ends[-1])
        return parts[min(index, len(parts) - 1)].service
