"""Measures the bytes that reading the machine list takes, whole and unchanged.

    python -m passgate.capacity.machine_list_wire

The real client reads the stand-in's list through a counting relay on loopback; one
JSON line per size tells the bytes of a whole answer and of an unchanged one.
"""

from __future__ import annotations

import asyncio
import contextlib
import time

import fire
import msgspec

from passgate.clients.curl import HttpClient
from passgate.clients.http_platform import HttpMachineList
from passgate.emulator.machine_list import EmulatedMachineList
from passgate.emulator.parameters import MachineListParameters, StoreParameters
from passgate.emulator.platform_server import PlatformServer
from passgate.emulator.weight_store import EmulatedWeightStore
from passgate.schema import MachineInfo, MachineRole

SIZES = (15, 150, 1520)
UNCHANGED_READS = 50
_READ_BYTES = 65_536
_US_PER_S = 1e6


class MachineListWire(msgspec.Struct, frozen=True, kw_only=True):
    """Bytes and processor time of one read, both directions."""

    name: str = "machine_list"
    machines: int
    whole_bytes: int
    unchanged_bytes: float
    unchanged_cpu_us: float
    """Client, relay and stand-in together: more than a daemon spends."""


class _Relay:
    """Passes bytes between one client and the stand-in, and counts them."""

    def __init__(self, target: str) -> None:
        self._host, _, self._port = target.partition(":")
        self.passed = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        there_reader, there_writer = await asyncio.open_connection(self._host, int(self._port))
        for pair in ((reader, there_writer), (there_reader, writer)):
            task = asyncio.ensure_future(self._pass(*pair))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(_READ_BYTES):
                self.passed += len(data)
                writer.write(data)
        writer.close()

    async def close(self) -> None:
        """Wait until the connections have ended."""
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def measure(machines: int) -> MachineListWire:
    """Measure one size of the list."""
    listed = EmulatedMachineList(MachineListParameters())
    for number in range(machines):
        listed.register(_machine(number))
    platform = PlatformServer("platform", listed, EmulatedWeightStore(StoreParameters()))
    relay = _Relay(platform.start())
    server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
    http = HttpClient()
    client = HttpMachineList(http, f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
    await client.machines()
    whole = relay.passed
    before_s = time.process_time()
    for _ in range(UNCHANGED_READS):
        await client.machines()
    cpu_s = time.process_time() - before_s
    unchanged = relay.passed - whole
    http.close()
    server.close()
    await relay.close()
    platform.close()
    return MachineListWire(
        machines=machines,
        whole_bytes=whole,
        unchanged_bytes=round(unchanged / UNCHANGED_READS, 1),
        unchanged_cpu_us=round(cpu_s / UNCHANGED_READS * _US_PER_S, 1),
    )


def _machine(number: int) -> MachineInfo:
    zone = f"zone-{number % 11}"
    return MachineInfo(
        machine_id=f"engine-{number:05d}",
        role=MachineRole.ENGINE,
        address=f"10.{number % 11}.{number // 250}.{number % 250}:8000",
        zone=zone,
        labels={"service": "modelos", "zone": zone},
    )


def main() -> None:
    """Print one JSON line per size."""
    for size in SIZES:
        print(msgspec.json.encode(asyncio.run(measure(size))).decode(), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
