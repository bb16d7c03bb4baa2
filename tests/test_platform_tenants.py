"""Tenants of one daemon over sockets: authentication, headers to replicas, isolation, revoked keys."""

import asyncio
import base64
import json

import msgspec

from passgate.daemon.http_client import make_http_client
from passgate.jobs.records import decode_batch
from passgate.platform.log_client import PlatformLog
from passgate.platform.program import make_daemon
from passgate.platform.settings import parse_settings
from tests import fake_platform
from tests.test_platform_daemon import World, in_world

KEYS_BY_TENANT = {"orchard": ["key-o1", "key-o2"], "mill": ["key-m1"]}
ORCHARD = {"Authorization": "Bearer key-o1"}
ORCHARD_SECOND_KEY = {"Authorization": "Bearer key-o2"}
MILL = {"Authorization": "Bearer key-m1"}


async def submit_job(world, key, item_ids, job_id="job1", **fields):
    body = fake_platform.job_body(item_ids, **fields)
    return await world.call("POST", "/stream/j", body, request_id=job_id, **key)


async def read_results(world, key, job_id="job1", after=0):
    return await world.call("GET", f"/-/lots/{job_id}?afterRev={after}", **{"X-Wait-Ms": "500"}, **key)


async def read_all_results(world, key, job_id="job1"):
    rows = []
    async with asyncio.timeout(8.0):
        while True:
            answer = await read_results(world, key, job_id, len(rows))
            assert answer.status == 200
            page = json.loads(answer.body)
            rows += page["results"]
            if len(rows) == page["total"]:
                return rows


@in_world
async def test_replica_receives_the_tenant_but_not_the_key(world: World):
    app = world.replica("i-1", "app")
    world.configure(1, fake_platform.safe_route(), tenants=KEYS_BY_TENANT)
    await world.start()
    answer = await world.call("POST", "/call/x", b"", **ORCHARD, **{"x-tenant": "mill", "X-Other": "kept"})
    assert answer.status == 200
    (run,) = app.runs
    assert (run.tenants, run.credentials) == (["orchard"], [])


@in_world
async def test_requests_without_a_valid_key_are_refused_and_run_nothing(world):
    app = world.replica("i-1", "app")
    world.configure(1, fake_platform.safe_route(), fake_platform.batch_route(), tenants=KEYS_BY_TENANT)
    await world.start()
    for headers in ({}, {"Authorization": "Bearer no"}, {"Authorization": "key-o1"}):
        for method, path in (
            ("POST", "/call/x"),
            ("POST", "/stream/j"),
            ("GET", "/-/lots/job1"),
            ("DELETE", "/-/lots/job1"),
            ("GET", "/-/items/job1?id=a1"),
        ):
            answer = await world.call(method, path, b"" if method == "POST" else None, **headers)
            assert (answer.status, answer.headers["WWW-Authenticate"]) == (401, "Bearer")
    assert (await world.call("GET", "/nowhere/x")).status == 404
    assert app.runs == []


@in_world
async def test_public_route_needs_no_key_and_ignores_a_tenant_header(world):
    app = world.replica("i-1", "app")
    world.configure(1, fake_platform.safe_route(public=True), tenants=KEYS_BY_TENANT)
    await world.start()
    assert (await world.call("POST", "/call/x", b"", **{"X-Tenant": "mill"})).status == 200
    assert app.runs[0].tenants == []


@in_world
async def test_job_is_visible_only_to_the_tenant_that_submitted_it(world):
    llm = world.replica("i-1", "llm", models=[("m", 1)])
    world.configure(1, fake_platform.batch_route(), tenants=KEYS_BY_TENANT)
    await world.start()
    assert (await submit_job(world, ORCHARD, ["a1", "a2"])).status == 202
    assert len(await read_all_results(world, ORCHARD_SECOND_KEY)) == 2
    assert (await read_results(world, MILL)).status == 404
    assert (await world.call("GET", "/-/items/job1?id=a1", **MILL)).status == 404
    assert (await world.call("DELETE", "/-/lots/job1", **MILL)).status == 404
    assert (await world.call("GET", "/-/items/job1?id=a1", **ORCHARD)).body == b"body a1"
    assert {tuple(run.tenants) for run in llm.runs} == {("orchard",)}


@in_world
async def test_tenants_with_the_same_job_and_item_identifiers_share_no_results(world):
    llm = world.replica("i-1", "llm", models=[("m", 1)])
    world.configure(1, fake_platform.batch_route(), tenants=KEYS_BY_TENANT)
    await world.start()
    assert (await submit_job(world, ORCHARD, ["a1"])).status == 202
    await read_all_results(world, ORCHARD)
    assert (await submit_job(world, MILL, ["a1"])).status == 202
    assert len(await read_all_results(world, MILL)) == 1
    assert [run.tenants for run in llm.runs] == [["orchard"], ["mill"]]


@in_world
async def test_item_headers_can_not_set_tenant_or_credential(world):
    llm = world.replica("i-1", "llm", models=[("m", 1)])
    world.configure(1, fake_platform.batch_route(), tenants=KEYS_BY_TENANT)
    await world.start()
    document = json.loads(fake_platform.job_body(["a1"]))
    document["requests"][0]["headers"] |= {"X-Tenant": "mill", "Authorization": "Bearer key-m1"}
    answer = await world.call(
        "POST", "/stream/j", json.dumps(document).encode(), request_id="job1", **ORCHARD
    )
    assert answer.status == 202
    await read_all_results(world, ORCHARD)
    assert [(run.tenants, run.credentials) for run in llm.runs] == [(["orchard"], [])]


@in_world
async def test_revoked_key_is_refused_while_its_jobs_continue(world):
    app = world.replica("i-1", "app")
    world.replica("i-2", "llm", models=[("m", 1)], event_s=0.1)
    routes = (fake_platform.safe_route(), fake_platform.batch_route())
    world.configure(1, *routes, tenants=KEYS_BY_TENANT)
    await world.start()
    assert (await submit_job(world, ORCHARD, ["a1", "a2"])).status == 202
    world.configure(2, *routes, tenants=KEYS_BY_TENANT | {"orchard": ["key-o2"]})
    await world.until(lambda: world.daemon.config_holder.version == 2)
    assert (await world.call("POST", "/call/x", b"", **ORCHARD)).status == 401
    assert app.runs == []
    assert (await read_results(world, ORCHARD)).status == 401
    assert len(await read_all_results(world, ORCHARD_SECOND_KEY)) == 2


@in_world
async def test_key_revoked_while_its_request_waits_starts_no_run(world):
    app = world.replica("i-1", "app")
    app.faults.refusing = True
    route = fake_platform.safe_route(targetLatencyMs=5000, timeoutMs=5000)
    world.configure(1, route, tenants=KEYS_BY_TENANT)
    await world.start()
    waiting = asyncio.create_task(world.call("POST", "/call/x", b"", deadline_ms=5000, **ORCHARD))
    await asyncio.sleep(0.1)
    world.configure(2, route, tenants={"mill": ["key-m1"]})
    await world.until(lambda: world.daemon.config_holder.version == 2)
    app.faults.refusing = False
    world.replica("i-2", "app")
    answer = await waiting
    assert answer.status in (401, 503)
    assert app.runs == [] and world.replicas["i-2"].runs == []


@in_world
async def test_unknown_key_is_refused_as_retryable_while_the_configuration_may_be_stale(world):
    world.replica("i-1", "app")
    world.configure(1, fake_platform.safe_route(), tenants=KEYS_BY_TENANT)
    await world.start()
    world.log.faults.silent = True
    await world.until(lambda: world.daemon.configuration_may_be_stale)
    answer = await world.call("POST", "/call/x", b"", Authorization="Bearer added-meanwhile")
    assert answer.status == 503
    assert (await world.call("POST", "/call/x", b"", **ORCHARD)).status == 200


@in_world
async def test_fail_closed_daemon_refuses_requests_once_its_configuration_is_too_old(world):
    app = world.replica("i-1", "app")
    world.configure(1, fake_platform.safe_route(), tenants=KEYS_BY_TENANT)
    await world.start()
    settings = world.daemon.settings
    world.daemon.settings = msgspec.structs.replace(settings, fail_closed=True, configuration_age_s=0.5)
    assert (await world.call("POST", "/call/x", b"", **ORCHARD)).status in (200, 503)
    world.log.faults.silent = True
    await asyncio.sleep(2.0)
    runs = len(app.runs)
    assert (await world.call("POST", "/call/x", b"", **ORCHARD)).status == 503
    assert len(app.runs) == runs


@in_world
async def test_no_api_key_is_written_to_logs_metrics_or_topics(world):
    lines = bytearray()
    world.replica("i-1", "app")
    world.replica("i-2", "llm", models=[("m", 1)])
    world.configure(1, fake_platform.safe_route(), fake_platform.batch_route(), tenants=KEYS_BY_TENANT)
    await world.start()
    world.daemon.decisions._write = lambda data: lines.extend(data) or len(data)
    await world.call("POST", "/call/x", b"", **ORCHARD)
    await world.call("POST", "/call/x", b"", Authorization="Bearer key-wrong")
    await submit_job(world, MILL, ["a1"])
    await read_all_results(world, MILL)
    world.daemon.decisions.flush()
    appended = b"".join(
        msgspec.json.encode(decode_batch(record))
        for (topic, _), partition in world.log.partitions.items()
        if not topic.startswith("keyed.")
        for record in partition.records
    )
    written = bytes(lines) + world.daemon.metrics.exposition() + appended
    keys = [key for tenant_keys in KEYS_BY_TENANT.values() for key in tenant_keys] + ["key-wrong"]
    assert b"forward_ended" in lines and b"job1" in appended
    assert [key for key in keys if key.encode() in written or base64.b64encode(key.encode()) in written] == []


def test_usage_is_counted_only_if_the_platform_asks_for_usage_reports():
    async def check_both_duties():
        text = fake_platform.settings_text(
            "d1", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", usage_address="127.0.0.1:4"
        )
        for duty, counts_usage in (("usage", True), ("autoscale", False)):
            settings = parse_settings(text.replace('["usage"]', f'["{duty}"]'))
            http = make_http_client()
            daemon = make_daemon(settings, http, PlatformLog(http, settings.log_address))
            assert (daemon.forwarder._usage is not None) == counts_usage
            http.close()

    asyncio.run(check_both_duties())
