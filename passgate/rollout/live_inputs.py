"""What a plan needs of a running service: the pool, its engines, their versions and the store.

Everything is only read; no daemon has to be changed for a plan.
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

READ_AT_ONCE = 32
"""Most load reports read at the same time."""


class ServiceAddresses(msgspec.Struct, frozen=True, kw_only=True):
    """Where to read from besides the operators' port, each ``IP:port``."""

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
    """Return the request of a plan for one pool; version 0 means the newest one.

    Raises:
        NotFound: no such pool, or no usable version of its model.
        PlatformError: the machine list or the store could not be read.
    """
    pool = _pool_spec((await operator.get_object("Pool", pool_name)).spec)
    target = await _target(operator, pool.model, version)
    machines = await HttpMachineList(http, addresses.machine_list).machines()
    views = _views(machines, pool)
    reports = await _reports(HttpEngineClient(http), views)
    running = {view.replica_id: _version_of(report, pool.model) for view, report in reports}
    loaded = tuple(_with_load(view, report) for view, report in reports)
    if addresses.weight_store:
        store = HttpWeightStore(http, addresses.weight_store)
        size = await store.size_bytes(target.model, target.version)
        rates = msgspec.structs.replace(rates, weight_bytes=size)
    return PlanRequest(views=loaded, target=target, running=running, settings=settings, rates=rates)


def _pool_spec(spec: msgspec.Raw) -> PoolSpec:
    return msgspec.json.decode(msgspec.json.encode(spec), type=PoolSpec)


async def _target(operator: OperatorClient, model: str, version: int) -> RolloutTarget:
    listed = (await operator.list_objects("ModelVersion")).objects
    specs = [msgspec.json.decode(msgspec.json.encode(item.spec), type=ModelVersionSpec) for item in listed]
    own = [spec for spec in specs if spec.model == model]
    usable = [spec.version for spec in own if not spec.withdrawn]
    wanted = version or max(usable, default=0)
    if not wanted:
        raise NotFound(f"model {model} has no version that is not withdrawn", model=model)
    withdrawn = frozenset(spec.version for spec in own if spec.withdrawn)
    return RolloutTarget(model=model, version=wanted, withdrawn=withdrawn)


def _views(machines: Iterable[MachineInfo], pool: PoolSpec) -> list[ReplicaView]:
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


async def _reports(
    engine: HttpEngineClient, views: Sequence[ReplicaView]
) -> list[tuple[ReplicaView, LoadReport | None]]:
    limit = asyncio.Semaphore(READ_AT_ONCE)

    async def read(view: ReplicaView) -> LoadReport | None:
        async with limit:
            try:
                return await engine.load_report(view.address)
            except PassgateError:
                return None

    return list(zip(views, await asyncio.gather(*map(read, views)), strict=True))


def _version_of(report: LoadReport | None, model: str) -> int:
    text = "" if report is None else report.versions.get(model, "")
    return int(text) if text.isdecimal() else 0


def _with_load(view: ReplicaView, report: LoadReport | None) -> ReplicaView:
    if report is None:
        return view
    return msgspec.structs.replace(view, outstanding_tokens=report.outstanding_tokens)
