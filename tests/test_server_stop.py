import asyncio

from passgate.server.admission import RequestAdmissionController
from passgate.settings import StopSettings

COMPLETIONS = "/v1/completions"
BODY = {"model": "m", "prompt": "hello", "max_tokens": 6}


def test_graceful_shutdown_interrupts_no_request(run_cluster):
    async def scenario(cluster):
        stop_settings = StopSettings(notice_s=0.3, leave_timeout_s=0.0)
        daemon = await cluster.start(stop=stop_settings)
        await cluster.configure(daemon)
        address = daemon.caller_address
        cluster.engine.hold = asyncio.Event()
        cluster.app.hold = asyncio.Event()
        stream_body = {**BODY, "stream": True}
        stream = asyncio.ensure_future(cluster.call(address, "POST", COMPLETIONS, stream_body))
        call = asyncio.ensure_future(cluster.call(address, "POST", "/v1/apps/linha/v", b"photo"))
        await cluster.until(lambda: daemon.context.admission.in_flight == 2)

        stopping = asyncio.ensure_future(daemon.stop())
        await cluster.until(lambda: daemon.lifecycle.state == "announcing")
        assert (await cluster.call(daemon.operator_address, "GET", "/readyz")).status == 503
        late_call = asyncio.ensure_future(cluster.call(address, "POST", COMPLETIONS, BODY))
        await cluster.until(lambda: len(cluster.engine.requests) == 2)

        await cluster.until(lambda: daemon.lifecycle.state == "finishing")
        refused = await cluster.call(address, "POST", COMPLETIONS, BODY)
        assert (refused.status, refused.error["code"]) == (503, "draining")
        assert refused.error["execution"] == "not_run" and "Retry-After" in refused.headers
        assert refused.headers["Connection"] == "close"
        assert not stopping.done()
        cluster.engine.hold.set()
        cluster.app.hold.set()
        assert (await stream).events[-1] == "[DONE]"
        assert (await call).status == 207
        assert (await late_call).status == 200
        assert await stopping is True
        assert daemon.lifecycle.state == "stopped"

    run_cluster(scenario)


def test_shutdown_waits_for_keyed_work_whose_caller_disconnected(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        cluster.app.hold = asyncio.Event()
        headers = {"Idempotency-Key": "k"}
        call = asyncio.ensure_future(cluster.post(daemon, "/v1/apps/linha/v", b"photo", headers))
        await cluster.until(lambda: cluster.app.requests)
        call.cancel()
        stopping = asyncio.ensure_future(daemon.stop())
        await cluster.until(lambda: daemon.lifecycle.state == "finishing")
        assert not stopping.done()
        cluster.app.hold.set()
        assert await stopping is True
        second = await cluster.start("d2")
        answer = await cluster.post(second, "/v1/apps/linha/v", b"photo", headers)
        assert answer.body == b"verdict of photo"
        assert len(cluster.app.requests) == 1

    run_cluster(scenario)


def test_a_shutdown_that_interrupts_a_request_reports_it(run_cluster):
    async def scenario(cluster):
        stop = StopSettings(notice_s=0.0, drain_timeout_s=0.2, leave_timeout_s=0.0)
        daemon = await cluster.start(stop=stop)
        await cluster.configure(daemon)
        cluster.app.hold = asyncio.Event()
        call = asyncio.ensure_future(cluster.post(daemon, "/v1/apps/linha/v", b"photo"))
        await cluster.until(lambda: cluster.app.requests)
        assert await daemon.stop() is False
        await asyncio.gather(call, return_exceptions=True)

    run_cluster(scenario)


class _FakeStream:
    def __init__(self):
        self.sending = True
        self.is_closed = False

    def writing(self):
        return self.sending

    def closed(self):
        return self.is_closed

    def close(self):
        self.is_closed = True


def test_unsent_bytes_delay_the_idle_state_until_the_write_timeout():
    asyncio.run(_release_with_unsent_bytes())


async def _release_with_unsent_bytes():
    admission = RequestAdmissionController(max_in_flight=10, retry_after_s=1.0, write_timeout_s=0.05)
    stream = _FakeStream()
    admission.admit()
    admission.release(stream)
    assert admission.in_flight == 0
    assert not admission.is_idle()
    stream.sending = False
    assert admission.is_idle()
    unread_stream = _FakeStream()
    admission.admit()
    admission.release(unread_stream)
    assert await admission.wait_idle(5.0)
    assert unread_stream.is_closed


def test_shutdown_of_a_starting_daemon_is_immediate(run_cluster):
    async def scenario(cluster):
        cluster.client_of("d1").down = True
        daemon = await cluster.start("d1", wait=False)
        assert await daemon.stop() is True
        assert daemon.lifecycle.state == "stopped"

    run_cluster(scenario)


def test_shutdown_releases_lots_that_another_daemon_finishes(run_cluster):
    async def scenario(cluster):
        first = await cluster.start("d1")
        await cluster.configure(first)
        second = await cluster.start("d2")
        cluster.engine.hold = asyncio.Event()
        prompts = [{"prompt": [index], "max_tokens": 4} for index in range(4)]
        lot = {"lot_id": "l1", "model": "m", "staleness_bound": 1, "trainer_version": 3, "prompts": prompts}
        assert (await cluster.post(first, "/v1/lots", lot)).status == 201
        await cluster.until(lambda: cluster.engine.requests)
        stopping = asyncio.ensure_future(first.stop())
        await cluster.until(lambda: first.lifecycle.state == "finishing")
        cluster.engine.hold.set()
        assert await stopping is True
        page = await cluster.get(second, "/v1/lots/l1/samples?wait_s=5&limit=4")
        samples = page.json["samples"]
        while len(samples) < 4:
            path = f"/v1/lots/l1/samples?wait_s=5&limit=4&cursor={page.json['next_cursor']}"
            page = await cluster.get(second, path)
            samples += page.json["samples"]
        assert sorted(sample["index"] for sample in samples) == [0, 1, 2, 3]

    run_cluster(scenario)
