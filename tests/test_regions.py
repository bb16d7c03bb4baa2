"""Region restrictions of routes and tenants, tested over real sockets."""

import asyncio
import contextlib
import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from passgate.clock import monotonic_s
from passgate.eligibility.topology import Topology
from passgate.errors import InvalidConfiguration
from passgate.gateway.routes import ConfigHolder
from passgate.platform.documents import decode_config
from tests import fake_platform
from tests.test_platform_daemon import World, free_address, start_daemon

ZONES = "zones: {a: east, b: west}\n"
SETTLE_S = 0.6
"""Time that is ample for a request to be sent; what has not happened by then counts as excluded."""


class RegionWorld(World):
    """A daemon in ``east``, with replicas there (zone a) and in ``west`` (zone b)."""

    async def start(self, *, ready=True):
        text = fake_platform.settings_text("d1", self.log.address, free_address(), free_address())
        self.daemon, self.task = start_daemon(text + ZONES)
        await self.until(self.daemon.ready)

    def request_ids_run_on(self, replica_id):
        return [run.request_id for run in self.replicas[replica_id].runs]

    async def wait_until_listed(self, replica_id):
        await self.until(lambda: self.daemon.replicas.get(replica_id) is not None)


def in_region_world(test):
    def run():
        async def main():
            world = RegionWorld()
            try:
                await test(world)
            finally:
                await world.close()

        asyncio.run(main())

    run.__name__ = test.__name__
    return run


def restrict(route, *regions):
    return route | {"allowedRegions": list(regions)}


@in_region_world
async def test_a_restricted_request_is_refused_if_its_region_has_no_replica(world):
    world.replica("i-west", "app", zone="b")
    world.configure(1, restrict(fake_platform.safe_route(), "east"))
    await world.start()
    await world.wait_until_listed("i-west")
    answer = await world.call("GET", "/call/x")
    assert answer.status == 503
    assert json.loads(answer.body)["error"]["code"] == "no_replica_in_regions"
    assert world.request_ids_run_on("i-west") == []
    world.configure(2, fake_platform.safe_route())
    await world.until(lambda: world.daemon.config_holder.version == 2)
    assert (await world.call("GET", "/call/x")).status == 200


@in_region_world
async def test_a_restricted_request_is_not_hedged_or_retried_in_another_region(world):
    world.replica("i-east", "app", work_s=0.4)
    world.replica("i-west", "app", zone="b")
    world.configure(1, restrict(fake_platform.safe_route(), "east"))
    await world.start()
    await world.wait_until_listed("i-west")
    assert (await world.call("GET", "/call/x", request_id="slow")).status == 200
    world.replicas["i-east"].faults.lost_response_probability = 1.0
    assert (await world.call("GET", "/call/x", request_id="lost")).status >= 500
    assert world.request_ids_run_on("i-west") == []


@in_region_world
async def test_a_restricted_stream_is_not_resumed_in_another_region(world):
    world.replica("i-east", "app").faults.break_after_events = 2
    world.replica("i-west", "app", zone="b")
    route = fake_platform.batch_route("app", kind="streaming", name="s", resumable=True)
    world.configure(1, restrict(route, "east"))
    await world.start()
    await world.wait_until_listed("i-west")
    await asyncio.wait([asyncio.ensure_future(world.call("POST", "/stream/x", b""))])
    assert world.request_ids_run_on("i-east") and world.request_ids_run_on("i-west") == []


@in_region_world
async def test_a_request_without_a_common_region_of_route_and_tenant_is_refused_at_once(world):
    world.replica("i-east", "app")
    world.replica("i-west", "app", zone="b")
    document = fake_platform.config_document(
        1, [restrict(fake_platform.safe_route(targetLatencyMs=20_000), "east")], ["app"], {"t": ["k"]}
    )
    document["tenants"][0]["allowedRegions"] = ["west"]
    world.log.put("keyed.op", "config", document)
    await world.start()
    start_s = monotonic_s()
    answer = await world.call("GET", "/call/x", Authorization="Bearer k")
    assert monotonic_s() - start_s < 1.0
    assert (answer.status, json.loads(answer.body)["error"]["execution"]) == (503, "not_run")
    assert json.loads(answer.body)["error"]["code"] == "no_region_allowed"
    assert world.request_ids_run_on("i-east") == world.request_ids_run_on("i-west") == []
    exposition = world.daemon.metrics.exposition()
    assert b'passgate_region_refusals_total{code="no_region_allowed"} 1.0' in exposition


@in_region_world
async def test_a_restricted_item_waits_until_its_region_has_a_replica(world):
    world.replica("i-west", "llm", zone="b", models={"m": 1}.items())
    world.configure(1, restrict(fake_platform.batch_route(), "east"))
    await world.start()
    await world.wait_until_listed("i-west")
    assert (await world.submit(["aa1"])).status == 202
    await asyncio.sleep(SETTLE_S)
    assert world.request_ids_run_on("i-west") == []
    world.replica("i-east", "llm", models={"m": 1}.items())
    (row,) = await world.all_results("job1")
    assert row["text"] == fake_platform.complete_output("aa1")
    assert (world.request_ids_run_on("i-west"), world.request_ids_run_on("i-east")) == ([], ["aa1"])
    assert world.replicas["i-east"].runs[0].body == fake_platform.item_body("aa1")


@in_region_world
async def test_an_item_that_waits_for_its_region_does_not_block_items_without_restriction(world):
    world.replica("i-west", "llm", zone="b", models={"m": 1}.items())
    route, other_route = (
        fake_platform.batch_route(),
        fake_platform.batch_route(name="o", pathPrefix="/other/"),
    )
    world.configure(1, restrict(route, "east"), other_route)
    await world.start()
    await world.wait_until_listed("i-west")
    assert (await world.submit(["aa1"])).status == 202
    body = fake_platform.job_body(["bb1"])
    assert (await world.call("POST", "/other/j", body, request_id="job2")).status == 202
    assert [row["id"] for row in await world.all_results("job2")] == ["bb1"]
    assert world.request_ids_run_on("i-west") == ["bb1"]


@in_region_world
async def test_a_new_restriction_applies_to_an_item_that_is_already_waiting(world):
    world.configure(1, fake_platform.batch_route())
    await world.start()
    assert (await world.submit(["aa1"])).status == 202
    await asyncio.sleep(SETTLE_S / 2)
    world.configure(2, restrict(fake_platform.batch_route(), "east"))
    await world.until(lambda: world.daemon.config_holder.version == 2)
    world.replica("i-west", "llm", zone="b", models={"m": 1}.items())
    await world.wait_until_listed("i-west")
    await asyncio.sleep(SETTLE_S)
    assert world.request_ids_run_on("i-west") == []
    world.replica("i-east", "llm", models={"m": 1}.items())
    assert len(await world.all_results("job1")) == 1
    assert world.request_ids_run_on("i-west") == []


@in_region_world
async def test_a_waiting_item_that_becomes_restricted_does_not_block_items_behind_it(world):
    other_route = fake_platform.batch_route(name="o", pathPrefix="/other/")
    world.configure(1, fake_platform.batch_route(), other_route)
    await world.start()
    assert (await world.submit(["aa1"])).status == 202
    await asyncio.sleep(SETTLE_S / 2)
    body = fake_platform.job_body(["bb1"])
    assert (await world.call("POST", "/other/j", body, request_id="job2")).status == 202
    await asyncio.sleep(SETTLE_S / 2)
    world.configure(2, restrict(fake_platform.batch_route(), "east"), other_route)
    await world.until(lambda: world.daemon.config_holder.version == 2)
    world.replica("i-west", "llm", zone="b", models={"m": 1}.items())
    assert [row["id"] for row in await world.all_results("job2")] == ["bb1"]
    assert world.request_ids_run_on("i-west") == ["bb1"]


@in_region_world
async def test_a_reward_call_is_restricted_by_its_own_route(world):
    world.replica("i-llm", "llm", zone="b", models={"m": 1}.items())
    world.replica("i-east", "app")
    world.replica("i-west", "app", zone="b")
    world.configure(1, restrict(fake_platform.safe_route(), "west"), fake_platform.batch_route())
    await world.start()
    for replica_id in world.replicas:
        await world.wait_until_listed(replica_id)
    assert (await world.submit(["aa1", "aa2", "aa3"], scored=True)).status == 202
    assert len(await world.all_results("job1")) == 3
    assert (len(world.request_ids_run_on("i-east")), len(world.request_ids_run_on("i-west"))) == (0, 3)


@in_region_world
async def test_sends_are_counted_by_region_in_the_metrics(world):
    world.replica("i-west", "app", zone="b")
    world.configure(1, fake_platform.safe_route())
    await world.start()
    await world.wait_until_listed("i-west")
    await world.call("GET", "/call/x")
    sends = b'passgate_region_sends_total{outcome="spilled",region="west"} 1.0'
    assert sends in world.daemon.metrics.exposition()


def version_after_offer(document):
    """Return the active version after a configuration document was offered while version 1 was active."""
    config_holder = ConfigHolder(Topology(zone="a", region_by_zone={"a": "east", "b": "west"}))
    config_holder.apply_if_newer(decode_config(json.dumps(fake_platform.config_document(1, [], [])).encode()))
    with contextlib.suppress(msgspec.DecodeError, InvalidConfiguration):
        config_holder.apply_if_newer(decode_config(json.dumps(document).encode()))
    return config_holder.version


INVALID_REGIONS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(allow_nan=False),
    st.text(),
    st.dictionaries(st.text(), st.text()),
    st.lists(st.one_of(st.integers(), st.none(), st.lists(st.text())), min_size=1),
    st.lists(st.text().filter(lambda name: name not in ("east", "west")), min_size=1),
)


@given(allowed_regions=INVALID_REGIONS, of_tenant=st.booleans())
def test_a_configuration_with_malformed_or_unknown_regions_is_rejected(allowed_regions, of_tenant):
    document = fake_platform.config_document(2, [fake_platform.safe_route()], ["app"], {"t": ["k"]})
    owner = document["tenants" if of_tenant else "routes"][0]
    owner["allowedRegions"] = allowed_regions
    assert version_after_offer(document) == 1


@pytest.mark.parametrize("regions", [[], ["east"], ["west", "east", "east"]])
def test_a_configuration_with_known_regions_is_applied(regions):
    route = fake_platform.safe_route() | {"allowedRegions": regions}
    assert version_after_offer(fake_platform.config_document(2, [route], ["app"])) == 2
