import asyncio
import contextlib

import pytest

from passgate.clients.curl import HttpClient
from passgate.clients.http_engine import HttpEngineClient
from passgate.emulator.engine_server import EngineServer
from passgate.errors import BackendRefused, BackendUnreachable, ExecutionStatus, IncompleteAnswer
from passgate.schema import FinishReason, GenerateChunk, GenerateRequest, LoadReport


def generate_request(request_id="r1", **changes):
    fields = {"caller": "t", "pool": "p", "model": "m", "prompt": (1, 2), "max_tokens": 6}
    return GenerateRequest(request_id=request_id, **{**fields, **changes})


class FakeEngine:
    """Streams two tokens a piece; `hold` stops it before the second piece."""

    def __init__(self):
        self.closed = asyncio.Event()
        self.hold = False
        self.refuse = False

    async def generate(self, address, request):
        try:
            for start in range(len(request.resume_tokens), request.max_tokens, 2):
                if self.refuse:
                    raise BackendRefused("full", retry_after_s=3.0)
                if self.hold and start:
                    await asyncio.Event().wait()
                last = start + 2 >= request.max_tokens
                yield GenerateChunk(
                    request_id=request.request_id,
                    start=start,
                    tokens=(start, start + 1),
                    version=7,
                    finish_reason=FinishReason.LENGTH if last else None,
                )
        finally:
            self.closed.set()

    async def load_report(self, address):
        return LoadReport(
            replica_id=address,
            sequence=1,
            running=0,
            waiting=0,
            outstanding_tokens=0,
            kv_used_tokens=0,
            kv_capacity_tokens=1,
            tokens_per_s=0.0,
        )


@contextlib.asynccontextmanager
async def served_engine():
    server = EngineServer("engine", FakeEngine(), "e1")
    address = server.start()
    http = HttpClient()
    try:
        yield server, HttpEngineClient(http), address
    finally:
        server.crash()
        http.close()


def test_stream_arrives_whole_over_loopback():
    async def main():
        async with served_engine() as (server, client, address):
            chunks = [chunk async for chunk in client.generate(address, generate_request())]
            assert [token for chunk in chunks for token in chunk.tokens] == [0, 1, 2, 3, 4, 5]
            assert {chunk.version for chunk in chunks} == {7}
            assert chunks[-1].finish_reason is FinishReason.LENGTH
            assert server.counters.received == {"r1": 1}
            assert (await client.load_report(address)).replica_id == "e1"

    asyncio.run(main())


def test_resumed_stream_goes_on_after_the_given_tokens():
    async def main():
        async with served_engine() as (_, client, address):
            request = generate_request(resume_tokens=(0, 1))
            chunks = [chunk async for chunk in client.generate(address, request)]
            assert chunks[0].start == 2

    asyncio.run(main())


def test_refusal_is_not_run_with_its_retry_after():
    async def main():
        async with served_engine() as (server, client, address):
            server.model.refuse = True
            with pytest.raises(BackendRefused) as caught:
                await anext(client.generate(address, generate_request()))
            assert caught.value.execution is ExecutionStatus.NOT_RUN
            assert caught.value.retry_after_s == 3.0

    asyncio.run(main())


def test_closing_the_iterator_cancels_on_the_engine():
    async def main():
        async with served_engine() as (server, client, address):
            server.model.hold = True
            stream = client.generate(address, generate_request())
            await anext(stream)
            await stream.aclose()
            await asyncio.wait_for(server.model.closed.wait(), 5)

    asyncio.run(main())


def test_crash_in_mid_stream_has_run_and_a_dead_port_is_not_run():
    async def main():
        async with served_engine() as (server, client, address):
            server.model.hold = True
            stream = client.generate(address, generate_request())
            await anext(stream)
            server.crash()
            with pytest.raises((BackendUnreachable, IncompleteAnswer)) as caught:
                await anext(stream)
            assert caught.value.execution is ExecutionStatus.RAN
            with pytest.raises(BackendUnreachable) as caught:
                await anext(client.generate(address, generate_request("r2")))
            assert caught.value.execution is ExecutionStatus.NOT_RUN

    asyncio.run(main())


def test_cut_stream_never_looks_whole():
    async def main():
        async with served_engine() as (server, client, address):
            server.faults.cut_streams = 1
            seen = []
            with pytest.raises((BackendUnreachable, IncompleteAnswer)):
                async for chunk in client.generate(address, generate_request()):
                    seen.append(chunk)
            assert all(chunk.finish_reason is None for chunk in seen)

    asyncio.run(main())


def test_lost_answer_is_unknown():
    async def main():
        async with served_engine() as (server, client, address):
            server.faults.lose_answers = 1
            with pytest.raises(BackendUnreachable) as caught:
                await anext(client.generate(address, generate_request()))
            assert caught.value.execution is ExecutionStatus.UNKNOWN
            assert server.counters.received == {"r1": 1}

    asyncio.run(main())
