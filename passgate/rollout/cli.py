"""The command ``passgate plan``, which shows a rollout's plan and changes nothing.

::

    passgate plan rollout --replicas 1100 --zones 11
    passgate plan rollout --deployment olhar --swap_mode drain
    passgate plan rollout --pool modelos --operator 127.0.0.1:8101 --machine_list 127.0.0.1:9001
"""

from __future__ import annotations

from typing import TypeVar

import msgspec
from rich.console import Console
from rich.table import Table

from passgate.errors import InvalidRequest
from passgate.rollout.plan import (
    PlanRequest,
    PlatformRates,
    RolloutPlan,
    fastest_plan,
    make_plan,
    make_views,
)
from passgate.rollout.swap_modes import swap_mode
from passgate.rollout.types import DistributionSettings, RolloutSettings, RolloutTarget

GIGABYTE = 1e9
MAXIMUM_WAVES_SHOWN = 40

Number = TypeVar("Number", int, float)


class PlanCommands:
    """Show plans without carrying them out."""

    def rollout(
        self,
        pool: str = "",
        operator: str = "",
        machine_list: str = "",
        weight_store: str = "",
        deployment: str = "",
        replicas: int = 0,
        zones: int = 3,
        version: int = 0,
        swap_mode: str = "swap_running",
        capacity_floor: float = 0.75,
        zone_capacity_floor: float = 0.5,
        fan_out: int = 2,
        cut_through: bool = True,
        store_copies: int = 1,
        weight_bytes: float = 2e9,
        store_bytes_per_s: float = 2.5e9,
        engine_link_bytes_per_s: float = 1.25e9,
        swap_pause_s: float = 0.8,
        drain_s: float = 30.0,
        best: bool = False,
        json: bool = False,
        credential_file: str = "",
    ) -> None:
        """Show waves, expected time, store traffic and capacity kept of one rollout.

        Replicas come from a running service (--pool with --operator and --machine_list),
        from an example deployment (--deployment), or are generated (--replicas, --zones).
        The rates are assumptions unless --weight_store gives the size of the weights.

        Args:
            pool: name of the pool to roll out on.
            operator: operators' address of any daemon.
            machine_list: address of the platform's machine list.
            weight_store: address of the weight store, to read the size of the version.
            deployment: name or file of an example deployment.
            replicas: number of generated replicas.
            zones: number of generated zones.
            version: version to roll out; 0 takes the newest that is not withdrawn.
            swap_mode: swap_running, drain, pause or full_drain.
            capacity_floor: minimum share of the replicas that keep serving.
            zone_capacity_floor: the same within each zone.
            fan_out: maximum number of engines that fetch from one engine at once.
            cut_through: engines serve as sources while they are still fetching.
            store_copies: maximum number of fetches from the store.
            weight_bytes: size of the weights.
            store_bytes_per_s: rate limit of the store.
            engine_link_bytes_per_s: rate at which one engine sends.
            swap_pause_s: time for which a swap pauses an engine.
            drain_s: expected time until a draining engine is idle.
            best: try several fan-outs and numbers of store copies and show the fastest.
            json: print the plan as JSON.
            credential_file: file with the operators' credential.
        """
        settings = RolloutSettings(
            capacity_floor=_checked_share(capacity_floor, "capacity_floor"),
            zone_capacity_floor=_checked_share(zone_capacity_floor, "zone_capacity_floor"),
            swap_mode=_checked_mode(swap_mode),
            distribution=DistributionSettings(
                fan_out=_checked_minimum(fan_out, 1, "fan_out"),
                cut_through=cut_through,
                max_store_copies=_checked_minimum(store_copies, 1, "store_copies"),
            ),
        )
        rates = PlatformRates(
            weight_bytes=_checked_minimum(int(weight_bytes), 1, "weight_bytes"),
            store_bytes_per_s=_checked_minimum(store_bytes_per_s, 1, "store_bytes_per_s"),
            engine_link_bytes_per_s=_checked_minimum(engine_link_bytes_per_s, 1, "engine_link_bytes_per_s"),
            swap_pause_s=swap_pause_s,
            drain_s=drain_s,
        )
        if pool:
            request = _service_request(
                pool, operator, machine_list, weight_store, version, settings, rates, credential_file
            )
        elif deployment:
            request = _deployment_request(deployment, settings, rates)
        else:
            request = _synthetic_request(replicas, zones, settings, rates)
        plan = fastest_plan(request, store_copies) if best else make_plan(request)
        print_plan(plan, json)


def print_plan(plan: RolloutPlan, as_json: bool) -> None:
    """Print a plan, as JSON or as a table with a summary."""
    if as_json:
        print(msgspec.json.encode(plan).decode())
        return
    console = Console()
    console.print(wave_table(plan))
    for line in summary(plan):
        console.print(line, highlight=False)


def wave_table(plan: RolloutPlan) -> Table:
    """Return the first ``MAXIMUM_WAVES_SHOWN`` waves as a table."""
    table = Table(title=f"{plan.target.model} version {plan.target.version}, {plan.swap_mode}")
    for column in ("order", "begins s", "ends s", "replicas", "from store", "from another zone"):
        table.add_column(column, justify="left" if column == "order" else "right")
    for wave in plan.waves[:MAXIMUM_WAVES_SHOWN]:
        counts = (len(wave.replicas), wave.from_store, wave.from_other_zone)
        table.add_row(wave.kind, f"{wave.begin_s:.2f}", f"{wave.end_s:.2f}", *map(str, counts))
    return table


def summary(plan: RolloutPlan) -> list[str]:
    """Return the plan's totals as lines of text."""
    hidden = len(plan.waves) - MAXIMUM_WAVES_SHOWN
    lines = [f"{hidden} more waves are not shown"] if hidden > 0 else []
    reached = f"{plan.seconds_to_all:.1f} s" if plan.finished else "not within the longest planned time"
    kept = f"{plan.least_serving} of {plan.replicas} (floor {plan.replicas_to_keep})"
    return [
        *lines,
        f"all {plan.replicas} replicas: {reached} after publication, without failures",
        f"least in service: {kept}",
        f"store traffic: {plan.store_bytes / GIGABYTE:.1f} GB in {plan.store_copies} copies",
        f"between engines: {plan.engine_bytes / GIGABYTE:.1f} GB, "
        f"of it between zones {plan.zone_crossing_bytes / GIGABYTE:.1f} GB",
        f"distribution: fan-out {plan.distribution.fan_out}, "
        f"{'cut-through' if plan.distribution.cut_through else 'whole copies'}",
    ]


def _service_request(
    pool: str,
    operator: str,
    machine_list: str,
    weight_store: str,
    version: int,
    settings: RolloutSettings,
    rates: PlatformRates,
    credential_file: str,
) -> PlanRequest:
    from passgate.clients.curl import HttpClient
    from passgate.operator_client import OperatorClient
    from passgate.operator_commands import run_with_client
    from passgate.rollout.live_inputs import ServiceAddresses, read_plan_request
    from passgate.settings import parse_address

    parse_address(str(machine_list), "flags", "machine_list")
    addresses = ServiceAddresses(machine_list=str(machine_list), weight_store=str(weight_store))

    async def read(client: OperatorClient) -> PlanRequest:
        http = HttpClient()
        try:
            return await read_plan_request(http, client, addresses, pool, version, settings, rates)
        finally:
            http.close()

    return run_with_client(operator, credential_file, read)


def _deployment_request(name: str, settings: RolloutSettings, rates: PlatformRates) -> PlanRequest:
    from passgate.emulator.parameters import load_deployment

    parameters = load_deployment(name)
    model = parameters.engines.models[0]
    engine = parameters.engines.engine
    views = make_views(parameters.engines.replicas, len(parameters.zones))
    named = tuple(
        msgspec.structs.replace(view, zone=parameters.zones[int(view.zone[1:])], replica_id=f"engine-{index}")
        for index, view in enumerate(views)
    )
    rates = msgspec.structs.replace(
        rates,
        weight_bytes=model.weight_bytes,
        store_bytes_per_s=parameters.store.bytes_per_s,
        engine_link_bytes_per_s=engine.transfer_bytes_per_s,
        swap_pause_s=engine.swap_pause_s,
        piece_bytes=parameters.store.piece_bytes,
    )
    target = RolloutTarget(model=model.name, version=model.boot_version + 1)
    return PlanRequest(views=named, target=target, settings=settings, rates=rates)


def _synthetic_request(
    replicas: int, zones: int, settings: RolloutSettings, rates: PlatformRates
) -> PlanRequest:
    views = make_views(_checked_minimum(replicas, 1, "replicas"), _checked_minimum(zones, 1, "zones"))
    target = RolloutTarget(model="model", version=2)
    return PlanRequest(views=tuple(views), target=target, settings=settings, rates=rates)


def _checked_share(value: float, name: str) -> float:
    if not isinstance(value, int | float) or not 0 <= value <= 1:
        raise InvalidRequest(f"--{name} must be from 0 to 1", field=name, got=value)
    return float(value)


def _checked_minimum(value: Number, least: float, name: str) -> Number:
    if not isinstance(value, int | float) or value < least:
        raise InvalidRequest(f"--{name} must be at least {least}", field=name, got=value)
    return value


def _checked_mode(name: str) -> str:
    return swap_mode(name).name
