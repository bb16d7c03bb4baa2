"""Converts between the platform's JSON documents and passgate's types.

Decodes the configuration, discovery entries, target versions, replicas' reports and submitted jobs; encodes
pages of results.
"""

from __future__ import annotations

import base64
import ipaddress
import logging
import math
from typing import Annotated

import msgspec

from passgate.eligibility.replica_info import ReplicaInfo
from passgate.errors import ExecutionStatus, InvalidConfiguration, MalformedBody
from passgate.gateway.access import Caller, Tenant, tenant_scoped_id
from passgate.gateway.routes import (
    ColdStart,
    GatewayConfig,
    RequestLimits,
    Route,
    RouteKind,
    ScalingRule,
    Service,
    WeightedService,
)
from passgate.jobs.reader import ResultPage
from passgate.jobs.records import ItemSpec, JobSpec, RewardSpec
from passgate.platform import names
from passgate.versions.loader import ReplicaReport

logger = logging.getLogger("passgate.platform")

ROUTE_KIND_BY_NAME = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "keyed": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAMING,
    "rollout": RouteKind.BATCH,
}
READY, DRAINING = "ready", "draining"
"""Valid states of a discovery entry; an entry with another state is rejected."""
MAX_SLOTS = 1_000_000
"""Discovery entries with more slots are rejected; a replica usually has 10 to 100."""
MAX_PORT = 65_535
MAX_MS = 2**53
"""Upper limit of start times; JSON parsers that use doubles represent all integers up to here exactly."""

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
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: str
    spot: bool = False
    models: list[_Model] = []
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_MS)] = 0
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
    """Return the configuration that the operator's record holds; raises msgspec.DecodeError."""
    config = msgspec.json.decode(data, type=_Config)
    limits = config.limits
    return GatewayConfig(
        version=config.version,
        routes=tuple(_to_route(route) for route in config.routes),
        services=tuple(_to_service(service) for service in config.services),
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


def _to_service(service: _Service) -> Service:
    return Service(
        name=service.name,
        max_connections=service.maxConns,
        scaling=_to_scaling_rule(service.scaling) if service.scaling is not None else None,
        cold_start=_to_cold_start(service),
    )


def _to_cold_start(service: _Service) -> ColdStart | None:
    """Return the limit on requests to cold replicas; None if the platform states no rate."""
    if service.coldPerS <= 0.0:
        return None
    return ColdStart(lasts_s=service.coldStartS, requests_per_s=service.coldPerS)


def _to_scaling_rule(scaling: _Scaling) -> ScalingRule:
    return ScalingRule(
        least=scaling.min,
        most=scaling.max,
        boot_s=scaling.bootS,
        spot_price=scaling.spotPrice,
        zone_prices=scaling.zonePrices,
    )


def _to_route(route: _Route) -> Route:
    """Convert a route; an unknown kind becomes UNSAFE, whose requests run at most once unless resumable."""
    split = route.trafficSplit or [_Split(service=route.service)]
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.pathPrefix,
        parts=tuple(WeightedService(part.service, part.weight) for part in split),
        kind=ROUTE_KIND_BY_NAME.get(route.kind, RouteKind.UNSAFE),
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
    """Return the replica of a discovery entry; raises msgspec.DecodeError if the entry is not valid.

    Other programs write to the topic, too, so the fields that routing depends on are validated.
    """
    replica = msgspec.json.decode(data, type=_Replica)
    if not replica_id:
        raise msgspec.ValidationError("discovery entry has no replica identifier")
    if replica.state not in (READY, DRAINING):
        raise msgspec.ValidationError(f"unknown replica state {replica.state!r}")
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
        started_unix_ms=replica.born,
        cold_ms=math.ceil(max(replica.coldRemainingMs, 0.0)),
    )


def _check_address(address: str) -> None:
    """Raise msgspec.ValidationError unless ``address`` is ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError as error:
        raise msgspec.ValidationError(f"address has no numeric IP: {address!r}") from error
    if not (port.isascii() and port.isdigit() and 0 < int(port[:6]) <= MAX_PORT):
        raise msgspec.ValidationError(f"address has no port from 1 to 65535: {address!r}")


def decode_version(data: bytes) -> tuple[str, int]:
    """Return the model and the target version that a record names; raises msgspec.DecodeError."""
    named = msgspec.json.decode(data, type=_NamedVersion)
    return named.model, named.version


def zone_of_evacuation_key(key: str) -> str:
    """Return the zone that an evacuation's key names; raises InvalidConfiguration if it names none.

    >>> zone_of_evacuation_key("evacuate/a1")
    'a1'
    """
    zone = key.removeprefix(names.EVACUATION_KEY_PREFIX)
    if not zone:
        raise InvalidConfiguration("the key of an evacuation names no zone", key=key)
    return zone


def decode_report(data: bytes) -> ReplicaReport:
    """Return a replica's report about itself; raises msgspec.DecodeError."""
    report = msgspec.json.decode(data, type=_Report)
    return ReplicaReport(
        orders_taken=report.seq,
        busy=report.busy,
        model_versions={model.name: model.version for model in report.models},
        started_unix_ms=report.born,
    )


def decode_job(job_id: str, host: str, path: str, body: bytes, caller: Caller) -> JobSpec:
    """Return the job that a caller submitted; raises MalformedBody.

    Callers choose ``job_id`` freely, so the job's identifier is ``job_id`` scoped to the caller's tenant.
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
                reward=_to_reward_spec(item.scorer),
            )
            for item in job.requests
        )
    except (msgspec.DecodeError, ValueError) as error:
        raise MalformedBody(f"body is not a batch job: {error}", execution=ExecutionStatus.NOT_RUN) from error
    return JobSpec(
        job_id=tenant_scoped_id(caller.tenant, job_id),
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


def _to_reward_spec(scorer: _Scorer | None) -> RewardSpec | None:
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
    """Return a page of a job's results as the platform's document."""
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
