"""Emulator server of the platform's log: appends by POST, reads by long poll.

It serves any :class:`passgate.interfaces.LogClient`.
"""

from __future__ import annotations

from passgate.clients import wire
from passgate.emulator.server_base import EmulatorRequestHandler, EmulatorServer
from passgate.errors import LogAppendUnknown
from passgate.interfaces import LogClient

APPEND_TIMEOUT_S = 60.0
MAX_WAIT_S = 60.0
MAX_LIMIT = 10_000


class LogServer(EmulatorServer):
    """Serves the log as one client of it sees it, on one port.

    The connection of an append with unknown outcome is closed without an answer.  A read is
    cancelled when its caller disconnects.
    """

    def __init__(self, name: str, log_client: LogClient, credential: str | None = None) -> None:
        super().__init__(name, credential)
        self.log_client = log_client

    def routes(self) -> list[tuple]:
        """Return the log's route."""
        return [(r"/v1/streams/([^/]+)/records", _RecordsHandler, {"server": self})]


class _RecordsHandler(EmulatorRequestHandler):
    server: LogServer

    async def post(self, stream: str) -> None:
        call = self.decode_body(wire.AppendCall)
        try:
            offset = await self.server.log_client.append(stream, call.payloads, APPEND_TIMEOUT_S)
        except LogAppendUnknown:
            self.drop_connection()
            return
        self.send_json(wire.AppendAnswer(offset=offset))

    async def get(self, stream: str) -> None:
        await self.run_while_connected(self._read(stream))

    async def _read(self, stream: str) -> None:
        offset = int(self.get_query_argument("offset", "0"))
        limit = min(int(self.get_query_argument("limit", "100")), MAX_LIMIT)
        wait_s = min(float(self.get_query_argument("wait_s", "0")), MAX_WAIT_S)
        batch = await self.server.log_client.read(stream, offset, limit, wait_s)
        self.send_json(wire.ReadAnswer(entries=batch.entries, end_offset=batch.end_offset))
