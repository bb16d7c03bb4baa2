"""Measures what the HTTP clients cost: ``python -m passgate.clients.cost``.

A second process serves scripted answers; only this process is measured.  Each
line is one JSON object of :class:`Cost`.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import fire
import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient

from passgate.clients import wire
from passgate.clients.calls import HttpCall, SendPolicy
from passgate.clients.curl import HttpClient
from passgate.clients.http_engine import HttpEngineClient
from passgate.schema import FinishReason, GenerateChunk, GenerateRequest

WARM_UP_REQUESTS = 100
CHUNK_INTERVAL_S = 0.05
TOKENS_PER_CHUNK = 8
HOLD = 1
"""Seed that makes the scripted server hold the stream after its first piece."""
PACED = 2
"""Seed that makes it send a piece every CHUNK_INTERVAL_S."""


class Cost(msgspec.Struct, frozen=True, kw_only=True):
    """One measurement; microseconds of processor time or bytes of resident memory per unit."""

    name: str
    units: int
    cpu_us: float = 0.0
    memory_bytes: float = 0.0
    units_per_s: float = 0.0


# --- the scripted server, in its own process ------------------------------------------


async def _serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            body = await reader.readexactly(_content_length(head))
            if head.startswith(b"POST /v1/completions"):
                await _send_stream(reader, writer, msgspec.json.decode(body, type=wire.CompletionCall))
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    writer.close()


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":")[1])
    return 0


async def _send_stream(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, call: wire.CompletionCall
) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for start in range(0, call.max_tokens, TOKENS_PER_CHUNK):
        last = start + TOKENS_PER_CHUNK >= call.max_tokens
        chunk = GenerateChunk(
            request_id=call.request_id,
            start=start,
            tokens=tuple(range(start, start + TOKENS_PER_CHUNK)),
            version=1,
            finish_reason=FinishReason.LENGTH if last else None,
        )
        _write_chunk(writer, wire.encode_chunk(chunk))
        if call.seed == HOLD:
            await reader.read()  # until the client closes
            return
        await asyncio.sleep(CHUNK_INTERVAL_S if call.seed == PACED else 0)
    _write_chunk(writer, wire.encode_event(wire.DONE_MARK))
    writer.write(b"0\r\n\r\n")
    await writer.drain()


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))


async def _serve() -> None:
    server = await asyncio.start_server(_serve_connection, "127.0.0.1", 0, backlog=4096)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


@contextlib.asynccontextmanager
async def _scripted_server() -> AsyncIterator[str]:
    command = [sys.executable, "-m", "passgate.clients.cost", "serve"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        assert process.stdout is not None
        yield f"127.0.0.1:{int(process.stdout.readline())}"
    finally:
        process.kill()
        process.wait()


# --- the measurements ---------------------------------------------------------------------


async def _in_parallel(count: int, width: int, work: Callable[[int], Awaitable[object]]) -> None:
    numbers = iter(range(count))

    async def worker() -> None:
        for number in numbers:
            await work(number)

    await asyncio.gather(*(worker() for _ in range(width)))


async def _cpu(name: str, units: int, work: Awaitable[object]) -> Cost:
    gc.collect()
    began_s, began_cpu_s = time.perf_counter(), time.process_time()
    await work
    cpu_s = time.process_time() - began_cpu_s
    elapsed_s = time.perf_counter() - began_s
    return Cost(name=name, units=units, cpu_us=1e6 * cpu_s / units, units_per_s=units / elapsed_s)


async def _requests(http: HttpClient, address: str, send: SendPolicy, count: int, width: int) -> Cost:
    call = HttpCall(method="POST", url=f"http://{address}/", body=b"{}", send=send)
    await _in_parallel(WARM_UP_REQUESTS, width, lambda number: http.fetch(call))
    work = _in_parallel(count, width, lambda number: http.fetch(call))
    return await _cpu(f"request_{send.value}", count, work)


async def _plain_tornado(address: str, count: int, width: int) -> Cost:
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=width)

    async def fetch(number: int) -> None:
        await client.fetch(f"http://{address}/", method="POST", body=b"{}")

    await _in_parallel(WARM_UP_REQUESTS, width, fetch)
    cost = await _cpu("request_plain_tornado", count, _in_parallel(count, width, fetch))
    client.close()
    return cost


def _generate_request(number: int, max_tokens: int, seed: int) -> GenerateRequest:
    return GenerateRequest(
        request_id=f"r{number}",
        caller="cost",
        pool="p",
        model="m",
        prompt=tuple(range(256)),
        max_tokens=max_tokens,
        seed=seed,
    )


async def _streams(http: HttpClient, address: str, name: str, seed: int, streams: int, chunks: int) -> Cost:
    engine = HttpEngineClient(http)

    async def read(number: int) -> None:
        request = _generate_request(number, chunks * TOKENS_PER_CHUNK, seed)
        async for _ in engine.generate(address, request):
            pass

    return await _cpu(name, streams * chunks, _in_parallel(streams, streams, read))


async def _open_streams(http: HttpClient, address: str, count: int) -> Cost:
    engine = HttpEngineClient(http)
    gc.collect()
    before = _resident_bytes()
    streams = [engine.generate(address, _generate_request(number, 800, HOLD)) for number in range(count)]
    await _in_parallel(count, 64, lambda number: anext(streams[number]))
    gc.collect()
    memory_bytes = (_resident_bytes() - before) / count
    for stream in streams:
        await stream.aclose()
    return Cost(name="open_stream", units=count, memory_bytes=memory_bytes)


def _resident_bytes() -> int:
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


async def _measure(requests: int, width: int, streams: int, chunks: int, open_streams: int) -> None:
    async with _scripted_server() as address:
        http = HttpClient()
        _print(await _open_streams(http, address, open_streams))
        _print(await _plain_tornado(address, requests, width))
        for send in SendPolicy:
            _print(await _requests(http, address, send, requests, width))
        _print(await _streams(http, address, "chunk_paced", PACED, streams, chunks))
        _print(await _streams(http, address, "chunk_in_bulk", 0, streams, chunks))
        http.close()


def _print(cost: Cost) -> None:
    print(msgspec.json.encode(cost).decode(), flush=True)


def serve() -> None:
    """Run the scripted server (used by ``measure``)."""
    asyncio.run(_serve())


def measure(
    requests: int = 5000, width: int = 32, streams: int = 100, chunks: int = 100, open_streams: int = 1000
) -> None:
    """Print one JSON line for each cost."""
    asyncio.run(_measure(requests, width, streams, chunks, open_streams))


if __name__ == "__main__":
    fire.Fire({"measure": measure, "serve": serve})
