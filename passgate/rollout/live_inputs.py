"""Reads the inputs of a plan from a running service, without changing anything there.

The pool and its model versions come from the operators' port, the engines from the
machine list, running versions and load from the engines' load reports, and the size
of the weights from the weight store.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence

import msgspec

from passgate.clients.curl import HttpClient
from passgate.clients.http_engine import HttpEngineClient
from passgate.clients.http_platform import HttpMachineList, HttpWeightStore
from passgate.errors import NotFound, PassgateError
from passgate.operator_client import OperatorClient
from passgate.rollout.plan import PlanRequest, PlatformRates
from passgate.rollout.types import ReplicaView, RolloutSettings, RolloutTarget
from passgate.schema import LoadReport, MachineInfo, MachineRole, MachineState
from passgate.selectors import Selector
from passgate.state.specs import ModelVersionSpec, PoolSpec

CONCURRENT_READS = 32
"""Load reports that are read at the same time."""


class ServiceAddresses(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses (``IP:port``) that are read besides the operators' port."""

    machine_list: str
    weight_store: str = ""


async def read_plan_request(
    http: HttpClient,
    operator: OperatorClient,
    addresses: ServiceAddresses,
    pool_name: str,
    version: int,
    settings: RolloutSettings,
    rates: PlatformRates,
) -> PlanRequest:
    """Return the plan request of one pool; version 0 selects the newest usable version.

    An engine whose load report can not be read counts as running version 0.  The size of
    the weights is read only when ``addresses`` names a weight store.

    Raises:
        NotFound: the pool does not exist, or its model has no version that is not withdrawn.
        PlatformError: the machine list or the weight store could not be read.
    """
    pool = _pool_spec((await operator.get_object("Pool", pool_name)).spec)
    target = await _read_target(operator, pool.model, version)
    machines = await HttpMachineList(http, addresses.machine_list).machines()
    views = _engine_views(machines, pool)
    reports = await _read_reports(HttpEngineClient(http), views)
    version_by_replica = {view.replica_id: _reported_version(report, pool.model) for view, report in reports}
    views_with_load = tuple(_with_load(view, report) for view, report in reports)
    if addresses.weight_store:
        store = HttpWeightStore(http, addresses.weight_store)
        size = await store.size_bytes(target.model, target.version)
        rates = msgspec.structs.replace(rates, weight_bytes=size)
    return PlanRequest(
        views=views_with_load,
        target=target,
        version_by_replica=version_by_replica,
        settings=settings,
        rates=rates,
    )


def _pool_spec(spec: msgspec.Raw) -> PoolSpec:
    return msgspec.json.decode(msgspec.json.encode(spec), type=PoolSpec)


async def _read_target(operator: OperatorClient, model: str, version: int) -> RolloutTarget:
    objects = (await operator.list_objects("ModelVersion")).objects
    specs = [msgspec.json.decode(msgspec.json.encode(item.spec), type=ModelVersionSpec) for item in objects]
    model_specs = [spec for spec in specs if spec.model == model]
    usable_versions = [spec.version for spec in model_specs if not spec.withdrawn]
    target_version = version or max(usable_versions, default=0)
    if not target_version:
        raise NotFound(f"model {model} has no version that is not withdrawn", model=model)
    withdrawn = frozenset(spec.version for spec in model_specs if spec.withdrawn)
    return RolloutTarget(model=model, version=target_version, withdrawn=withdrawn)


def _engine_views(machines: Iterable[MachineInfo], pool: PoolSpec) -> list[ReplicaView]:
    selector = Selector.parse(pool.selector)
    return [
        ReplicaView(
            replica_id=machine.machine_id,
            address=machine.address,
            zone=machine.zone,
            generation=machine.generation,
        )
        for machine in machines
        if machine.role is MachineRole.ENGINE
        and machine.state is MachineState.LIVE
        and selector.matches(machine.labels)
    ]


async def _read_reports(
    engine: HttpEngineClient, views: Sequence[ReplicaView]
) -> list[tuple[ReplicaView, LoadReport | None]]:
    limit = asyncio.Semaphore(CONCURRENT_READS)

    async def read(view: ReplicaView) -> LoadReport | None:
        async with limit:
            try:
                return await engine.load_report(view.address)
            except PassgateError:
                return None

    return list(zip(views, await asyncio.gather(*map(read, views)), strict=True))


def _reported_version(report: LoadReport | None, model: str) -> int:
    text = "" if report is None else report.versions.get(model, "")
    return int(text) if text.isdecimal() else 0


def _with_load(view: ReplicaView, report: LoadReport | None) -> ReplicaView:
    if report is None:
        return view
    return msgspec.structs.replace(view, outstanding_tokens=report.outstanding_tokens)
