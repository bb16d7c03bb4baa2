"""Translates the platform's documents: configuration, replicas, versions, jobs."""

from __future__ import annotations

import base64
import ipaddress
import logging
import math
from typing import Annotated

import msgspec

from passgate.eligibility.replica_info import ReplicaInfo
from passgate.errors import ExecutionStatus, InvalidConfiguration, MalformedBody
from passgate.gateway.access import Caller, Tenant, scoped_id
from passgate.gateway.routes import (
    ColdStart,
    GatewayConfig,
    RequestLimits,
    Route,
    RouteKind,
    RoutePart,
    ScalingRule,
    Service,
)
from passgate.jobs.reader import ResultPage
from passgate.jobs.records import ItemSpec, JobSpec, RewardSpec
from passgate.platform import names
from passgate.versions.loader import ReplicaReport

logger = logging.getLogger("passgate.platform")

KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "keyed": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAMING,
    "rollout": RouteKind.BATCH,
}
READY, DRAINING = "ready", "draining"
"""States of a replica that names itself; any other state names no replica to use."""
MOST_SLOTS = 1_000_000
"""Slots from which on an entry is taken for a mistake; replicas work on some 10 to 100 requests at once."""
HIGHEST_PORT = 65_535
"""Highest port of TCP."""
MOST_MS = 2**53
"""Milliseconds that every reader of JSON holds exactly."""

# ruff: noqa: N815  (field names are the platform's)


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    pathPrefix: str
    kind: str = "safe"
    service: str = ""
    trafficSplit: list[_Split] = []
    timeoutMs: float = 30_000
    targetLatencyMs: float = 1_000
    maxAttempts: int = 2
    priority: int = 5
    resumable: bool = False
    queueTtlS: float = 60.0
    resultDeadlineMs: float = 60_000
    singleVersion: bool = False
    public: bool = False
    allowedRegions: list[str] = []


class _Scaling(msgspec.Struct, frozen=True):
    min: int
    max: int
    bootS: float
    spotPrice: float = 1.0
    zonePrices: dict[str, float] = {}


class _Service(msgspec.Struct, frozen=True):
    name: str
    maxConns: int = 100
    scaling: _Scaling | None = None
    coldStartS: float = 0.0
    coldPerS: float = 0.0


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    apiKeys: list[str] = []
    priority: int | None = None
    allowedRegions: list[str] = []


class _Limits(msgspec.Struct, frozen=True):
    maxHeaderBytes: int = 16_384
    maxBodyBytes: int = 33_554_432
    headerTimeoutMs: float = 3_000
    idleTimeoutMs: float = 15_000


class _Config(msgspec.Struct, frozen=True):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] = []


class _Model(msgspec.Struct, frozen=True):
    name: str
    version: int = 1


class _Replica(msgspec.Struct, frozen=True):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: Annotated[str, msgspec.Meta(min_length=1)]
    slots: Annotated[int, msgspec.Meta(ge=1, le=MOST_SLOTS)]
    state: str
    spot: bool = False
    models: list[_Model] = []
    born: Annotated[int, msgspec.Meta(ge=0, le=MOST_MS)] = 0
    coldRemainingMs: float = 0.0


class _NamedVersion(msgspec.Struct, frozen=True):
    model: str
    version: int


class _Report(msgspec.Struct, frozen=True):
    seq: int = 0
    busy: bool = False
    models: list[_Model] = []
    born: int = 0


class _Scorer(msgspec.Struct, frozen=True):
    id: str
    host: str
    path: str
    body: str = ""


class _Item(msgspec.Struct, frozen=True):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ""
    tokens: int = 0
    group: str = ""
    scorer: _Scorer | None = None


class _Job(msgspec.Struct, frozen=True):
    requests: list[_Item]
    step: int = 0
    model: str = ""
    minVersion: int = 0
    desired: int = 0


def decode_config(data: bytes) -> GatewayConfig:
    """Return the configuration of ``op/config``; raises msgspec.DecodeError."""
    config = msgspec.json.decode(data, type=_Config)
    limits = config.limits
    return GatewayConfig(
        version=config.version,
        routes=tuple(_route(route) for route in config.routes),
        services=tuple(_service(service) for service in config.services),
        tenants=tuple(
            Tenant(
                name=tenant.name,
                api_keys=tuple(tenant.apiKeys),
                priority=tenant.priority,
                allowed_regions=frozenset(tenant.allowedRegions),
            )
            for tenant in config.tenants
        ),
        limits=RequestLimits(
            max_header_bytes=limits.maxHeaderBytes,
            max_body_bytes=limits.maxBodyBytes,
            header_timeout_s=limits.headerTimeoutMs / 1000,
            idle_timeout_s=limits.idleTimeoutMs / 1000,
        ),
    )


def _service(service: _Service) -> Service:
    return Service(
        name=service.name,
        max_connections=service.maxConns,
        scaling=_scaling(service.scaling) if service.scaling is not None else None,
        cold_start=_cold_start(service),
    )


def _cold_start(service: _Service) -> ColdStart | None:
    """Return what a cold replica bears; None where the platform tells no rate."""
    if service.coldPerS <= 0.0:
        return None
    return ColdStart(lasts_s=service.coldStartS, requests_per_s=service.coldPerS)


def _scaling(scaling: _Scaling) -> ScalingRule:
    return ScalingRule(
        least=scaling.min,
        most=scaling.max,
        boot_s=scaling.bootS,
        spot_price=scaling.spotPrice,
        zone_prices=scaling.zonePrices,
    )


def _route(route: _Route) -> Route:
    split = route.trafficSplit or [_Split(service=route.service)]
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.pathPrefix,
        parts=tuple(RoutePart(part.service, part.weight) for part in split),
        kind=KINDS.get(route.kind, RouteKind.UNSAFE),
        timeout_s=route.timeoutMs / 1000,
        target_latency_s=route.targetLatencyMs / 1000,
        max_attempts=max(route.maxAttempts, 1),
        priority=route.priority,
        resumable=route.resumable,
        item_time_to_live_s=route.queueTtlS,
        result_deadline_s=route.resultDeadlineMs / 1000,
        single_version=route.singleVersion,
        public=route.public,
        allowed_regions=frozenset(route.allowedRegions),
    )


def decode_replica(replica_id: str, data: bytes) -> ReplicaInfo:
    """Return the replica of a discovery entry; raises msgspec.DecodeError if it names none to use.

    Entries may come from other writers: each field that requests depend on has to be there, of its
    type, and of a known state.
    """
    replica = msgspec.json.decode(data, type=_Replica)
    if not replica_id:
        raise msgspec.ValidationError("an entry without identifier")
    if replica.state not in (READY, DRAINING):
        raise msgspec.ValidationError(f"unknown state {replica.state!r}")
    _check_address(replica.address)
    return ReplicaInfo(
        replica_id=replica_id,
        service=replica.service,
        address=replica.address,
        zone=replica.zone,
        slots=replica.slots,
        draining=replica.state == DRAINING,
        spot=replica.spot,
        model_versions={model.name: model.version for model in replica.models},
        born_unix_ms=replica.born,
        cold_ms=math.ceil(max(replica.coldRemainingMs, 0.0)),
    )


def _check_address(address: str) -> None:
    """Raise msgspec.ValidationError unless an address is ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError as error:
        raise msgspec.ValidationError(f"no address: {address!r}") from error
    if not (port.isascii() and port.isdigit() and 0 < int(port[:6]) <= HIGHEST_PORT):
        raise msgspec.ValidationError(f"no port: {address!r}")


def decode_version(data: bytes) -> tuple[str, int]:
    """Return the model and the version that a trainer named."""
    named = msgspec.json.decode(data, type=_NamedVersion)
    return named.model, named.version


def evacuated_zone(key: str) -> str:
    """Return the zone that a key of the operator's topic evacuates; raises InvalidConfiguration.

    >>> evacuated_zone("evacuate/a1")
    'a1'
    """
    zone = key.removeprefix(names.EVACUATION_KEY_PREFIX)
    if not zone:
        raise InvalidConfiguration("an evacuation names no zone", key=key)
    return zone


def decode_report(data: bytes) -> ReplicaReport:
    """Return a replica's report of itself."""
    report = msgspec.json.decode(data, type=_Report)
    return ReplicaReport(
        orders_taken=report.seq,
        busy=report.busy,
        model_versions={model.name: model.version for model in report.models},
        born_unix_ms=report.born,
    )


def decode_job(job_id: str, host: str, path: str, body: bytes, caller: Caller) -> JobSpec:
    """Return the job of a submitted body; raises MalformedBody.

    Its identifier is scoped by the caller's tenant, as callers choose identifiers freely.
    """
    try:
        job = msgspec.json.decode(body, type=_Job)
        items = tuple(
            ItemSpec(
                id=item.id,
                path=item.path,
                headers=item.headers,
                body=base64.b64decode(item.body),
                tokens=item.tokens,
                group=item.group,
                reward=_reward(item.scorer),
            )
            for item in job.requests
        )
    except (msgspec.DecodeError, ValueError) as error:
        raise MalformedBody(f"no batch job: {error}", execution=ExecutionStatus.NOT_RUN) from error
    return JobSpec(
        job_id=scoped_id(caller.tenant, job_id),
        tenant=caller.tenant,
        priority=caller.priority,
        host=host,
        path=path,
        items=items,
        step=job.step,
        model=job.model,
        min_version=job.minVersion,
        desired=job.desired,
    )


def _reward(scorer: _Scorer | None) -> RewardSpec | None:
    if scorer is None:
        return None
    return RewardSpec(id=scorer.id, host=scorer.host, path=scorer.path, body=base64.b64decode(scorer.body))


class _Result(msgspec.Struct, omit_defaults=True):
    id: str
    state: str
    text: str
    versions: tuple[int, ...]
    score: str | None = None


class _Results(msgspec.Struct):
    total: int
    nextToken: int
    results: list[_Result]


def results_document(page: ResultPage) -> _Results:
    """Return a page of results in the platform's form."""
    return _Results(
        total=page.total,
        nextToken=page.next_position,
        results=[
            _Result(
                id=row.item_id,
                state=row.state.value,
                text=row.text,
                versions=row.versions,
                score=row.score.stamp if row.score is not None else None,
            )
            for row in page.results
        ],
    )
