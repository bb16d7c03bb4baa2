import asyncio

import pytest

from passgate.caller_client import CallerClient
from passgate.clock import monotonic_s
from passgate.errors import (
    BackendUnreachable,
    DurabilityUnavailable,
    ExecutionStatus,
    NoReplicaAvailable,
    OutcomeUnknown,
    PassgateError,
)
from passgate.records import PromptSpec
from passgate.schema import AppRequest, GenerateRequest, VersionSpan
from passgate.settings import LimitSettings, StopSettings
from passgate.state.lot_types import LotRequest

CLOSED_ADDRESS = "127.0.0.1:1"


def generate_request(request_id="r1", **changes):
    values = {"caller": "c", "pool": "modelos", "model": "m", "prompt": (7,), "max_tokens": 4, **changes}
    return GenerateRequest(request_id=request_id, **values)


def app_request(request_id="r1", **changes):
    values = {"caller": "c", "pool": "linha", "method": "POST", "path": "/v", "body": b"photo", **changes}
    return AppRequest(request_id=request_id, **values)


def test_answers_are_decoded_and_an_unreachable_daemon_is_avoided(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        client = CallerClient(cluster.http, [CLOSED_ADDRESS, daemon.caller_address], "c")
        result = await client.generate(generate_request())
        assert (result.request_id, result.tokens) == ("r1", (65, 66, 67, 68))
        assert result.spans == (VersionSpan(0, 4, 3),)
        response = await client.call_app(app_request(deadline_s=monotonic_s() + 5.0))
        assert (response.request_id, response.body) == ("r1", b"verdict of photo")
        assert cluster.app.requests[0].caller == "c"
        assert client.daemon == daemon.caller_address, "the unreachable one is avoided for a while"

    run_cluster(scenario)


def test_request_refused_by_a_draining_daemon_is_sent_on_but_not_one_that_may_have_run(run_cluster):
    async def scenario(cluster):
        stop = StopSettings(notice_s=0.0, drain_timeout_s=10.0, leave_timeout_s=0.0)
        first = await cluster.start("d1", stop=stop)
        second = await cluster.start("d2")
        await cluster.configure(first)
        await cluster.until(lambda: second.components.configuration.state.get("Pool", "linha"))
        cluster.app.hold = asyncio.Event()
        call = asyncio.ensure_future(cluster.post(first, "/v1/apps/linha/v", b"photo"))
        await cluster.until(lambda: cluster.app.requests)
        stop_task = asyncio.ensure_future(first.stop())
        await cluster.until(lambda: first.context.admission.is_draining)
        client = CallerClient(cluster.http, [first.caller_address, second.caller_address], "c")
        assert (await client.generate(generate_request())).tokens
        cluster.app.failure = BackendUnreachable("answer lost", execution=ExecutionStatus.UNKNOWN)
        with pytest.raises(PassgateError) as caught:
            await client.call_app(app_request(repeatable=False), "key")
        assert caught.value.execution is ExecutionStatus.UNKNOWN
        with pytest.raises(OutcomeUnknown):
            await client.call_app(app_request("r2", repeatable=False), "key")
        assert len(cluster.app.requests) == 2
        cluster.app.hold.set()
        await asyncio.gather(call, stop_task)

    run_cluster(scenario)


def test_refusals_keep_their_type_and_report_the_identifier_of_the_request_not_run(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start(limits=LimitSettings(durability_timeout_s=0.3))
        await cluster.configure(daemon)
        not_run = []
        client = CallerClient(cluster.http, [daemon.caller_address], "c", on_not_run=not_run.append)
        cluster.client_of("d1").down = True
        with pytest.raises(DurabilityUnavailable) as caught:
            await client.call_app(app_request(repeatable=False), "key")
        assert caught.value.execution is ExecutionStatus.NOT_RUN
        assert caught.value.retry_after_s
        assert len(not_run) == 1 and not_run[0].startswith("d1-")
        daemon.components.directory.mark_leaving("a1", "test")
        with pytest.raises(NoReplicaAvailable):
            await client.call_app(app_request("r2"))
        assert cluster.app.requests == []

    run_cluster(scenario)


def test_lot_and_version_calls_over_http(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        client = CallerClient(cluster.http, [daemon.caller_address], "trainer")
        prompts = tuple(PromptSpec(prompt=(index,), max_tokens=2) for index in range(3))
        lot = LotRequest(
            caller="trainer", pool="modelos", model="m", staleness_bound=0, trainer_version=3, prompts=prompts
        )
        await client.open_lot(lot, "l1")
        await client.open_lot(lot, "l1")
        samples, cursor = [], 0
        while len(samples) < 3:
            page = await client.read_lot("l1", cursor, 2, 5.0, 3)
            samples += page.samples
            cursor = page.next_cursor
        assert sorted(sample.index for sample in samples) == [0, 1, 2]
        await client.acknowledge("l1", [samples[0].sample_id])
        await client.publish_version("m", 4)
        stale_page = await client.read_lot("l1", 0, 10, 0.0, 4)
        assert set(stale_page.withdrawn) == {samples[1].sample_id, samples[2].sample_id}
        await client.replace("l1", stale_page.withdrawn, 4)
        cluster.engine.version = 4
        await client.cancel_lot("l1")

    run_cluster(scenario)
