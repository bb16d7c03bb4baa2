"""Bounds on regions over real sockets: where requests go, what is refused, when that changes."""

import asyncio
import contextlib
import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from passgate.clock import monotonic_s
from passgate.eligibility.places import Places
from passgate.errors import InvalidConfiguration
from passgate.gateway.routes import ConfigHolder
from passgate.platform.documents import decode_config
from tests import platform_stand_ins as stand_ins
from tests.test_platform_daemon import World, free_address, start_daemon

ZONES = "zones: {a: east, b: west}\n"
QUIET_S = 0.6
"""Time in which a request that may be sent is sent several times over."""


class RegionWorld(World):
    """A daemon in ``east``, with replicas there (zone a) and in ``west`` (zone b)."""

    async def start(self, *, ready=True):
        text = stand_ins.settings_text("d1", self.log.address, free_address(), free_address())
        self.daemon, self.task = start_daemon(text + ZONES)
        await self.until(self.daemon.ready)

    def runs(self, replica_id):
        return [run.request_id for run in self.replicas[replica_id].runs]

    async def known(self, replica_id):
        await self.until(lambda: self.daemon.replicas.get(replica_id) is not None)


def in_regions(test):
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


def bound(route, *regions):
    return route | {"allowedRegions": list(regions)}


@in_regions
async def test_a_request_waits_for_nobody_elsewhere_when_its_region_has_no_replica(world):
    world.replica("i-west", "app", zone="b")
    world.configure(1, bound(stand_ins.safe_route(), "east"))
    await world.start()
    await world.known("i-west")
    answer = await world.call("GET", "/call/x")
    assert answer.status == 503
    assert json.loads(answer.body)["error"]["code"] == "no_replica_in_regions"
    assert world.runs("i-west") == []
    world.configure(2, stand_ins.safe_route())
    await world.until(lambda: world.daemon.config.version == 2)
    assert (await world.call("GET", "/call/x")).status == 200


@in_regions
async def test_a_failed_or_slow_request_is_not_tried_again_elsewhere(world):
    world.replica("i-east", "app", work_s=0.4)
    world.replica("i-west", "app", zone="b")
    world.configure(1, bound(stand_ins.safe_route(), "east"))
    await world.start()
    await world.known("i-west")
    assert (await world.call("GET", "/call/x", request_id="slow")).status == 200
    world.replicas["i-east"].faults.lost_answers = 1.0
    assert (await world.call("GET", "/call/x", request_id="lost")).status >= 500
    assert world.runs("i-west") == []


@in_regions
async def test_a_stream_that_breaks_off_is_not_resumed_elsewhere(world):
    world.replica("i-east", "app").faults.break_after = 2
    world.replica("i-west", "app", zone="b")
    route = stand_ins.batch_route("app", kind="streaming", name="s", resumable=True)
    world.configure(1, bound(route, "east"))
    await world.start()
    await world.known("i-west")
    await asyncio.wait([asyncio.ensure_future(world.call("POST", "/stream/x", b""))])
    assert world.runs("i-east") and world.runs("i-west") == []


@in_regions
async def test_a_request_that_no_region_may_serve_is_refused_at_once(world):
    world.replica("i-east", "app")
    world.replica("i-west", "app", zone="b")
    document = stand_ins.config_document(
        1, [bound(stand_ins.safe_route(targetLatencyMs=20_000), "east")], ["app"], {"t": ["k"]}
    )
    document["tenants"][0]["allowedRegions"] = ["west"]
    world.log.put("keyed.op", "config", document)
    await world.start()
    began_s = monotonic_s()
    answer = await world.call("GET", "/call/x", Authorization="Bearer k")
    assert monotonic_s() - began_s < 1.0
    assert (answer.status, json.loads(answer.body)["error"]["execution"]) == (503, "not_run")
    assert json.loads(answer.body)["error"]["code"] == "no_region_allowed"
    assert world.runs("i-east") == world.runs("i-west") == []
    exposition = world.daemon.metrics.exposition()
    assert b'passgate_region_refusals_total{code="no_region_allowed"} 1.0' in exposition


@in_regions
async def test_an_item_waits_while_the_replicas_of_its_region_are_gone(world):
    world.replica("i-west", "llm", zone="b", models={"m": 1}.items())
    world.configure(1, bound(stand_ins.batch_route(), "east"))
    await world.start()
    await world.known("i-west")
    assert (await world.submit(["aa1"])).status == 202
    await asyncio.sleep(QUIET_S)
    assert world.runs("i-west") == []
    world.replica("i-east", "llm", models={"m": 1}.items())
    (row,) = await world.all_results("job1")
    assert row["text"] == stand_ins.whole_text("aa1")
    assert (world.runs("i-west"), world.runs("i-east")) == ([], ["aa1"])
    assert world.replicas["i-east"].runs[0].body == stand_ins.item_body("aa1")


@in_regions
async def test_a_waiting_item_of_one_region_holds_up_no_item_of_another(world):
    world.replica("i-west", "llm", zone="b", models={"m": 1}.items())
    waiting, other = stand_ins.batch_route(), stand_ins.batch_route(name="o", pathPrefix="/other/")
    world.configure(1, bound(waiting, "east"), other)
    await world.start()
    await world.known("i-west")
    assert (await world.submit(["aa1"])).status == 202
    body = stand_ins.job_body(["bb1"])
    assert (await world.call("POST", "/other/j", body, request_id="job2")).status == 202
    assert [row["id"] for row in await world.all_results("job2")] == ["bb1"]
    assert world.runs("i-west") == ["bb1"]


@in_regions
async def test_bounds_that_are_tightened_bind_an_item_that_waits(world):
    world.configure(1, stand_ins.batch_route())
    await world.start()
    assert (await world.submit(["aa1"])).status == 202
    await asyncio.sleep(QUIET_S / 2)
    world.configure(2, bound(stand_ins.batch_route(), "east"))
    await world.until(lambda: world.daemon.config.version == 2)
    world.replica("i-west", "llm", zone="b", models={"m": 1}.items())
    await world.known("i-west")
    await asyncio.sleep(QUIET_S)
    assert world.runs("i-west") == []
    world.replica("i-east", "llm", models={"m": 1}.items())
    assert len(await world.all_results("job1")) == 1
    assert world.runs("i-west") == []


@in_regions
async def test_an_item_whose_bounds_are_tightened_holds_up_no_item_behind_it(world):
    other = stand_ins.batch_route(name="o", pathPrefix="/other/")
    world.configure(1, stand_ins.batch_route(), other)
    await world.start()
    assert (await world.submit(["aa1"])).status == 202
    await asyncio.sleep(QUIET_S / 2)
    body = stand_ins.job_body(["bb1"])
    assert (await world.call("POST", "/other/j", body, request_id="job2")).status == 202
    await asyncio.sleep(QUIET_S / 2)
    world.configure(2, bound(stand_ins.batch_route(), "east"), other)
    await world.until(lambda: world.daemon.config.version == 2)
    world.replica("i-west", "llm", zone="b", models={"m": 1}.items())
    assert [row["id"] for row in await world.all_results("job2")] == ["bb1"]
    assert world.runs("i-west") == ["bb1"]


@in_regions
async def test_a_reward_call_is_bound_by_its_own_route(world):
    world.replica("i-llm", "llm", zone="b", models={"m": 1}.items())
    world.replica("i-east", "app")
    world.replica("i-west", "app", zone="b")
    world.configure(1, bound(stand_ins.safe_route(), "west"), stand_ins.batch_route())
    await world.start()
    for replica_id in world.replicas:
        await world.known(replica_id)
    assert (await world.submit(["aa1", "aa2", "aa3"], scored=True)).status == 202
    assert len(await world.all_results("job1")) == 3
    assert (len(world.runs("i-east")), len(world.runs("i-west"))) == (0, 3)


@in_regions
async def test_requests_are_counted_by_region(world):
    world.replica("i-west", "app", zone="b")
    world.configure(1, stand_ins.safe_route())
    await world.start()
    await world.known("i-west")
    await world.call("GET", "/call/x")
    sends = b'passgate_region_sends_total{outcome="spilled",region="west"} 1.0'
    assert sends in world.daemon.metrics.exposition()


def offered(document):
    """Return the version in force after a document was offered where version 1 was in force."""
    holder = ConfigHolder(Places(zone="a", regions={"a": "east", "b": "west"}))
    holder.offer(decode_config(json.dumps(stand_ins.config_document(1, [], [])).encode()))
    with contextlib.suppress(msgspec.DecodeError, InvalidConfiguration):
        holder.offer(decode_config(json.dumps(document).encode()))
    return holder.version


NO_REGIONS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(allow_nan=False),
    st.text(),
    st.dictionaries(st.text(), st.text()),
    st.lists(st.one_of(st.integers(), st.none(), st.lists(st.text())), min_size=1),
    st.lists(st.text().filter(lambda name: name not in ("east", "west")), min_size=1),
)


@given(told=NO_REGIONS, of_tenant=st.booleans())
def test_regions_that_can_not_be_read_or_are_not_known_leave_the_version_in_force(told, of_tenant):
    document = stand_ins.config_document(2, [stand_ins.safe_route()], ["app"], {"t": ["k"]})
    holder = document["tenants" if of_tenant else "routes"][0]
    holder["allowedRegions"] = told
    assert offered(document) == 1


@pytest.mark.parametrize("regions", [[], ["east"], ["west", "east", "east"]])
def test_known_regions_are_put_in_force(regions):
    route = stand_ins.safe_route() | {"allowedRegions": regions}
    assert offered(stand_ins.config_document(2, [route], ["app"])) == 2
