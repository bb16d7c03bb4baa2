"""Measures the bytes that one load report takes on the wire, payload of TCP only.

    python -m passgate.capacity.load_report_wire

A counting server on loopback answers the real engine client with a report of the
usual size; one JSON line tells the mean bytes of a request and of an answer.
"""

from __future__ import annotations

import asyncio

import fire
import msgspec

from passgate.clients.curl import HttpClient
from passgate.clients.http_engine import HttpEngineClient
from passgate.schema import LoadReport

REPORTS = 200
_REPORT = LoadReport(
    replica_id="engine-01099",
    sequence=123_456,
    running=32,
    waiting=4,
    outstanding_tokens=12_345,
    kv_used_tokens=54_321,
    kv_capacity_tokens=96_000,
    tokens_per_s=1_909.5,
    versions={"defect-notes": "1234", "finish-grades": "1234"},
)
_END_OF_HEADERS = b"\r\n\r\n"


class ReportWire(msgspec.Struct, frozen=True, kw_only=True):
    """Mean bytes per load report."""

    name: str = "load_report"
    request_bytes: float
    answer_bytes: float
    reports: int


class _CountingServer:
    def __init__(self) -> None:
        self.received = 0
        self.sent = 0
        self.ended = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        body = msgspec.json.encode(_REPORT)
        head = (
            "HTTP/1.1 200 OK\r\nServer: TornadoServer/6.6\r\nContent-Type: application/json\r\n"
            f"Date: Wed, 02 Dec 2026 08:00:00 GMT\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode()
        try:
            while True:
                self.received += len(await reader.readuntil(_END_OF_HEADERS))
                writer.write(head + body)
                self.sent += len(head) + len(body)
        except asyncio.IncompleteReadError:
            writer.close()
            self.ended.set()


async def measure(reports: int = REPORTS) -> ReportWire:
    """Read reports over loopback and return their mean size."""
    counting = _CountingServer()
    server = await asyncio.start_server(counting.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    http = HttpClient()
    engine = HttpEngineClient(http)
    for _ in range(reports):
        await engine.load_report(f"127.0.0.1:{port}")
    http.close()
    server.close()
    await counting.ended.wait()
    return ReportWire(
        request_bytes=counting.received / reports, answer_bytes=counting.sent / reports, reports=reports
    )


def main() -> None:
    """Print the measurement."""
    print(msgspec.json.encode(asyncio.run(measure())).decode())


if __name__ == "__main__":
    fire.Fire(main)
