"""A request that no replica can serve is rejected at once, and one that may still be served waits shortly."""

import asyncio

import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.eligibility.cold_replicas import ColdLimit
from passgate.eligibility.evacuation import EvacuationRule
from passgate.eligibility.regions import RegionRule
from passgate.eligibility.topology import Topology
from passgate.errors import BackendRefused, ExecutionStatus, PassgateError
from passgate.gateway.forwarder import REPLICA_WAIT_SHARE
from passgate.gateway.routes import RouteKind
from tests.gateway_world import SERVICE, TARGET_LATENCY_S, ZONE, GatewayWorld, Script

WAIT_S = REPLICA_WAIT_SHARE * TARGET_LATENCY_S
CALLER_INTERVAL_S = 0.05
CALLER_COUNT = 40
OBJECTIVE_S = 0.5


def list_nothing(world):
    pass


def list_another_service(world):
    world.add_replica("r1", service="other")


def list_draining(world):
    world.add_replica("r1", draining=True)


def list_evacuated(world):
    world.replicas.send_rules.add(EvacuationRule({ZONE}))
    world.add_replica("r1")


def list_other_region(world):
    topology = Topology(zone="b1", region_by_zone={ZONE: "a", "b1": "b"})
    world.replicas.send_rules.add(RegionRule(topology, lambda region, is_remote: None))
    world.add_replica("r1")


def list_ejected(world):
    world.add_replica("r1")
    world.replicas.record_unreachable(world.replicas.get("r1").incarnation, monotonic_s())


@pytest.mark.parametrize(
    "list_replicas",
    [list_nothing, list_another_service, list_draining, list_evacuated, list_other_region, list_ejected],
)
def test_a_request_that_no_listed_replica_can_serve_is_rejected_at_once(list_replicas):
    async def main():
        world = GatewayWorld()
        list_replicas(world)
        allowed = frozenset({"b"}) if list_replicas is list_other_region else frozenset()
        route = world.configure(allowed_regions=allowed)
        with pytest.raises(PassgateError) as caught:
            await world.forward(route)
        assert caught.value.http_status == 503
        assert caught.value.execution is ExecutionStatus.NOT_RUN
        assert monotonic_s() == 0.0

    run_virtual(main())


def test_a_request_that_its_only_replica_refused_is_rejected_at_once():
    async def main():
        world = GatewayWorld()
        refusal = BackendRefused("full", execution=ExecutionStatus.NOT_RUN, status=503)
        world.add_replica("r1", Script(answer_s=0.01, error=refusal))
        with pytest.raises(PassgateError) as caught:
            await world.forward(world.configure(kind=RouteKind.UNSAFE))
        assert caught.value.http_status == 503
        assert monotonic_s() <= 0.02

    run_virtual(main())


def hold_off(world):
    world.add_replica("r1")
    world.replicas.health.hold_off(world.replicas.get("r1").incarnation, monotonic_s() + WAIT_S / 2)


def make_cold(world):
    world.replicas.cold_replicas.limit_of = {SERVICE: ColdLimit(max_duration_s=9.0, max_requests_per_s=9)}.get
    world.add_replica("r1", cold_ms=9000)
    world.replicas.apply_entry(world.replicas.get("r1").info, monotonic_s())
    loop = asyncio.get_running_loop()
    loop.call_later(
        WAIT_S / 2, lambda: world.replicas.permit_pool.add({"r1": 1}, monotonic_s(), monotonic_s())
    )


@pytest.mark.parametrize("list_replicas", [hold_off, make_cold])
def test_a_request_waits_for_a_replica_that_becomes_usable_in_time(list_replicas):
    async def main():
        world = GatewayWorld()
        list_replicas(world)
        answer = await world.forward(world.configure())
        assert answer.status == 200
        assert monotonic_s() == pytest.approx(WAIT_S / 2 + 0.02, abs=0.025)

    run_virtual(main())


def test_callers_of_a_daemon_without_replicas_are_served_elsewhere_within_their_objective():
    """Each caller asks the daemon without replicas first and another one after its ``Retry-After``."""

    async def call(worlds, route):
        started_s = monotonic_s()
        for world in worlds:
            try:
                await world.forward(route)
                return monotonic_s() - started_s
            except PassgateError as error:
                await asyncio.sleep(error.retry_after_s)
        return float("inf")

    async def main():
        empty, serving = GatewayWorld(), GatewayWorld()
        serving.add_replica("r1", slots=CALLER_COUNT)
        route = empty.configure()
        serving.configure()
        calls = []
        for _ in range(CALLER_COUNT):
            calls.append(asyncio.create_task(call((empty, serving), route)))
            await asyncio.sleep(CALLER_INTERVAL_S)
        assert max(await asyncio.gather(*calls)) <= OBJECTIVE_S

    run_virtual(main())
