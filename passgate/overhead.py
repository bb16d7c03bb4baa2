"""``passgate overhead``: what the path through one daemon costs, beside the direct way.

The same client asks a scripted engine in turn directly and through one daemon,
both in processes of their own on loopback, so that both ways see the same
machine at the same time.  Rates are per core: work divided by the processor time
of the daemon (or, directly, of the engine) and not by the time on the clock.
"""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from passgate.clients import wire
from passgate.clients.calls import HttpCall, SendPolicy
from passgate.clients.curl import HttpClient
from passgate.demo_deployment import Process, write_yaml
from passgate.errors import IncompleteAnswer, PassgateError, PlatformError
from passgate.operator_client import OperatorClient
from passgate.overhead_stand_in import HOLD_SEED, MODEL, TOKENS_PER_CHUNK, StandInAddresses
from passgate.schema import MachineRole
from passgate.server.wire import ApplyObject, CompletionRequest, HealthAnswer
from passgate.state.configuration import PoolSpec

START_TIMEOUT_S = 20.0
POLL_S = 0.05
SHORT_TOKENS = TOKENS_PER_CHUNK
PROMPT = tuple(range(256))
US_PER_S = 1e6
WARM_UP = 50
WIDTH = 16
"""Requests at once while rates are measured."""
IN_FLIGHT = 100_000
"""Requests that the daemon may keep running on the engine: more than are ever held open here."""
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class LatencyRow(msgspec.Struct, frozen=True, kw_only=True):
    """Times of one kind of request, in microseconds."""

    direct_p50_us: float
    direct_p99_us: float
    through_p50_us: float
    through_p99_us: float
    added_p50_us: float
    added_p99_us: float


class OverheadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that one run measured."""

    first_token: LatencyRow
    """Until the first piece of a stream."""
    whole_answer: LatencyRow
    """Until the end of a short stream."""
    requests_per_core_s: float
    """Short requests per second of the daemon's processor time."""
    direct_requests_per_core_s: float
    """The same of the scripted engine's processor time, asked directly."""
    tokens_per_core_s: float
    """Streamed tokens per second of the daemon's processor time."""
    direct_tokens_per_core_s: float
    bytes_per_token: float
    """Bytes of body that the daemon sends for a streamed token."""
    direct_bytes_per_token: float
    memory_per_open_stream_bytes: float
    """Growth of the daemon's resident memory for each open stream."""
    requests: int
    open_streams: int


class _Answer(msgspec.Struct):
    first_s: float
    whole_s: float
    body_bytes: int


class _Way:
    """One of the two ways to the engine."""

    def __init__(self, http: HttpClient, address: str, process_id: int, through: bool) -> None:
        self._http = http
        self._url = f"http://{address}/v1/completions"
        self._process_id = process_id
        self._through = through
        self._count = 0

    def _call(self, max_tokens: int, seed: int) -> HttpCall:
        self._count += 1
        if self._through:
            body = msgspec.json.encode(
                CompletionRequest(
                    model=MODEL, prompt=list(PROMPT), max_tokens=max_tokens, seed=seed, stream=True
                )
            )
        else:
            call = wire.CompletionCall(
                model=MODEL,
                prompt=PROMPT,
                max_tokens=max_tokens,
                request_id=f"direct-{self._count}",
                stream=True,
                return_token_ids=True,
                seed=seed,
            )
            body = msgspec.json.encode(call)
        headers = {"Content-Type": "application/json"}
        return HttpCall(method="POST", url=self._url, body=body, headers=headers, send=SendPolicy.ONCE)

    async def ask(self, max_tokens: int) -> _Answer:
        """Read one stream to its end."""
        started_s = time.perf_counter()
        transfer = self._http.start(self._call(max_tokens, 0))
        body = await transfer.read()
        first_s = time.perf_counter() - started_s
        size, last = len(body), body
        while body := await transfer.read():
            size, last = size + len(body), body
        if wire.DONE_MARK not in last:
            raise IncompleteAnswer("the stream has no end mark")
        return _Answer(first_s, time.perf_counter() - started_s, size)

    async def open(self) -> AsyncIterator[None]:
        """Open a stream that the engine holds after its first piece; close it on the second step."""
        transfer = self._http.start(self._call(SHORT_TOKENS * 2, HOLD_SEED))
        await transfer.read()
        yield
        transfer.abort()

    def cpu_s(self) -> float:
        """Return the processor time used so far by the process at the end of this way."""
        fields = Path(f"/proc/{self._process_id}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def resident_bytes(self) -> int:
        """Return the resident memory of that process."""
        pages = int(Path(f"/proc/{self._process_id}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")


async def _in_parallel(count: int, work: Callable[[], Awaitable[object]]) -> None:
    numbers = iter(range(count))

    async def worker() -> None:
        for _ in numbers:
            await work()

    await asyncio.gather(*(worker() for _ in range(WIDTH)))


async def _latencies(direct: _Way, through: _Way, requests: int) -> tuple[LatencyRow, LatencyRow]:
    """Ask both ways in turn, one request at a time."""
    answers: tuple[list[_Answer], list[_Answer]] = ([], [])
    for number in range(WARM_UP + requests):
        for way, found in zip((direct, through), answers, strict=True):
            answer = await way.ask(SHORT_TOKENS)
            if number >= WARM_UP:
                found.append(answer)
    first = _row(*([answer.first_s for answer in found] for found in answers))
    whole = _row(*([answer.whole_s for answer in found] for found in answers))
    return first, whole


def _row(direct_s: list[float], through_s: list[float]) -> LatencyRow:
    direct = [_percentile_us(direct_s, share) for share in (0.5, 0.99)]
    through = [_percentile_us(through_s, share) for share in (0.5, 0.99)]
    return LatencyRow(
        direct_p50_us=direct[0],
        direct_p99_us=direct[1],
        through_p50_us=through[0],
        through_p99_us=through[1],
        added_p50_us=round(through[0] - direct[0], 1),
        added_p99_us=round(through[1] - direct[1], 1),
    )


def _percentile_us(values_s: list[float], share: float) -> float:
    ordered = sorted(values_s)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))] * US_PER_S, 1)


async def _per_core(way: _Way, units: int, count: int, work: Callable[[], Awaitable[object]]) -> float:
    before_s = way.cpu_s()
    await _in_parallel(count, work)
    return round(units * count / max(way.cpu_s() - before_s, 1 / CLOCK_TICKS), 1)


async def _memory_per_stream(way: _Way, count: int) -> float:
    before = way.resident_bytes()
    streams = [way.open() for _ in range(count)]
    for start in range(0, count, WIDTH):
        await asyncio.gather(*(anext(stream) for stream in streams[start : start + WIDTH]))
    memory = (way.resident_bytes() - before) / count
    for stream in streams:
        await anext(stream, None)
    return round(memory, 1)


class _Setting:
    """Stand-in and daemon as processes."""

    def __init__(self, http: HttpClient, directory: Path) -> None:
        self._http = http
        self._directory = directory
        self._processes: list[Process] = []

    async def start(self) -> tuple[_Way, _Way]:
        """Return the direct way and the one through the daemon."""
        stand_in = await self._start_process("stand-in", ["-m", "passgate.overhead_stand_in"])
        addresses = await self._line(stand_in, StandInAddresses)
        settings_file = self._directory / "daemon.yaml"
        settings = {
            "daemon_id": "overhead",
            "zone": "here",
            "log_address": addresses.log,
            "machine_list_address": addresses.platform,
        }
        write_yaml(settings_file, settings)
        arguments = ["-m", "passgate", "serve", "--settings", str(settings_file)]
        daemon = await self._start_process("daemon", arguments)
        started = await self._line(daemon, _StartedLine)
        await self._configure(started.operators)
        direct = _Way(self._http, addresses.engine, stand_in.process_id, through=False)
        through = _Way(self._http, started.callers, daemon.process_id, through=True)
        await self._until_routed(through)
        return direct, through

    async def stop(self) -> None:
        """End both processes."""
        for process in self._processes:
            await process.kill()

    async def _start_process(self, name: str, arguments: list[str]) -> Process:
        process = Process(name, arguments, self._directory / f"{name}.log")
        await process.start()
        self._processes.append(process)
        return process

    async def _line(self, process: Process, kind: type) -> object:
        """Return the process's first line of output that has the form of ``kind``."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                for line in process.output().splitlines():
                    try:
                        return msgspec.json.decode(line, type=kind)
                    except msgspec.MsgspecError:
                        continue
                if not process.running:
                    raise PlatformError(f"{process.name} ended: {process.output()}")
                await asyncio.sleep(POLL_S)

    async def _configure(self, operators: str) -> None:
        call = HttpCall(method="GET", url=f"http://{operators}/readyz", send=SendPolicy.REPEAT)
        while not msgspec.json.decode((await self._http.fetch(call)).body, type=HealthAnswer).ready:
            await asyncio.sleep(POLL_S)
        spec = PoolSpec(
            selector="service=engines", role=MachineRole.ENGINE, model=MODEL, maximum_in_flight=IN_FLIGHT
        )
        item = ApplyObject(kind="Pool", name="engines", spec=msgspec.Raw(msgspec.json.encode(spec)))
        await OperatorClient(self._http, operators).apply((item,))

    async def _until_routed(self, way: _Way) -> None:
        """Wait until the daemon has read the machine list."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    await way.ask(SHORT_TOKENS)
                    return
                except PassgateError:
                    await asyncio.sleep(POLL_S)


class _StartedLine(msgspec.Struct):
    callers: str
    operators: str


async def _measure(
    requests: int, streams: int, stream_tokens: int, open_streams: int, directory: Path
) -> OverheadReport:
    http = HttpClient()
    setting = _Setting(http, directory)
    try:
        direct, through = await setting.start()
        first, whole = await _latencies(direct, through, requests)
        long_direct = await direct.ask(stream_tokens)
        long_through = await through.ask(stream_tokens)
        ways = (direct, through)
        short = [await _per_core(way, 1, requests, lambda w=way: w.ask(SHORT_TOKENS)) for way in ways]
        tokens = [
            await _per_core(way, stream_tokens, streams, lambda w=way: w.ask(stream_tokens)) for way in ways
        ]
        return OverheadReport(
            first_token=first,
            whole_answer=whole,
            requests_per_core_s=short[1],
            direct_requests_per_core_s=short[0],
            tokens_per_core_s=tokens[1],
            direct_tokens_per_core_s=tokens[0],
            bytes_per_token=round(long_through.body_bytes / stream_tokens, 2),
            direct_bytes_per_token=round(long_direct.body_bytes / stream_tokens, 2),
            memory_per_open_stream_bytes=await _memory_per_stream(through, open_streams),
            requests=requests,
            open_streams=open_streams,
        )
    finally:
        await setting.stop()
        http.close()


def _table(report: OverheadReport) -> Table:
    table = Table("measure", "direct", "through one daemon", "added", title="overhead of the path")
    for name, row in (("first token", report.first_token), ("whole short answer", report.whole_answer)):
        table.add_row(
            f"{name}, median µs", *map(str, (row.direct_p50_us, row.through_p50_us, row.added_p50_us))
        )
        table.add_row(f"{name}, p99 µs", *map(str, (row.direct_p99_us, row.through_p99_us, row.added_p99_us)))
    pairs = (
        ("requests/s per core", report.direct_requests_per_core_s, report.requests_per_core_s),
        ("streamed tokens/s per core", report.direct_tokens_per_core_s, report.tokens_per_core_s),
        ("body bytes per token", report.direct_bytes_per_token, report.bytes_per_token),
    )
    for name, direct, through in pairs:
        table.add_row(name, str(direct), str(through), "")
    table.add_row("memory per open stream, bytes", "", str(report.memory_per_open_stream_bytes), "")
    return table


def overhead(
    requests: int = 500, streams: int = 100, stream_tokens: int = 800, open_streams: int = 300
) -> None:
    """Measure the path through one daemon beside the direct way; prints a table and a JSON line.

    Args:
        requests: short requests, for latency and again for rates.
        streams: long streams, for tokens.
        stream_tokens: tokens of a long stream.
        open_streams: streams held open at once, for memory.
    """
    with tempfile.TemporaryDirectory(prefix="passgate-overhead-") as directory:
        report = asyncio.run(_measure(requests, streams, stream_tokens, open_streams, Path(directory)))
    Console().print(_table(report))
    print(msgspec.json.encode(report).decode())
