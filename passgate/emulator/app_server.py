"""HTTP server of one application replica: accepts any path and echoes ``X-Request-Id``.

``GET /load`` without that header is no forwarded call; it returns the load report.
Requests are passed to a :class:`passgate.interfaces.AppClient` under ``app_address``,
for example to a replica of the emulator.
"""

from __future__ import annotations

from urllib.parse import unquote

from passgate.clients import wire
from passgate.clock import monotonic_s
from passgate.emulator.server_base import EmulatorRequestHandler, EmulatorServer
from passgate.errors import BackendUnreachable
from passgate.interfaces import AppClient
from passgate.schema import AppRequest, AppResponse

WRONG_REQUEST_ID = "crossed"
"""Identifier in a response whose request identifier is falsified by ``ServerFaults.cross_answers``."""


class AppServer(EmulatorServer):
    """One port of one replica of an application service."""

    def __init__(
        self, name: str, app_client: AppClient, app_address: str, credential: str | None = None
    ) -> None:
        super().__init__(name, credential)
        self.app_client = app_client
        self.app_address = app_address

    def routes(self) -> list[tuple]:
        """Return one route that matches every path."""
        return [(r"/.*", _CallHandler, {"server": self})]


class _CallHandler(EmulatorRequestHandler):
    server: AppServer

    async def get(self) -> None:
        is_call = wire.REQUEST_ID_HEADER in self.request.headers
        await (
            self._serve_call()
            if is_call or self.request.path != wire.LOAD_PATH
            else self._serve_load_report()
        )

    async def _serve_call(self) -> None:
        await self.run_while_connected(self._forward(self._to_app_request()))

    post = put = patch = delete = _serve_call

    async def _serve_load_report(self) -> None:
        report = await self.server.app_client.load_report(self.server.app_address)
        self.send_json(wire.AppLoadAnswer.from_report(report))

    async def _forward(self, request: AppRequest) -> None:
        self.server.count_received(request.request_id)
        try:
            response = await self.server.app_client.call(self.server.app_address, request)
        except BackendUnreachable as error:
            self.send_backend_unreachable(error)
            return
        if self.consume_lost_answer():
            self.drop_connection()
            return
        self._send_response(response)

    def _send_response(self, response: AppResponse) -> None:
        self.set_status(response.status)
        self.set_header("Content-Type", response.content_type)
        self.set_header(wire.REPLICA_HEADER, response.replica_id)
        if self.consume_crossed_answer():
            self.set_header(wire.REQUEST_ID_HEADER, WRONG_REQUEST_ID)
        self.finish(response.body)

    def _to_app_request(self) -> AppRequest:
        headers = self.request.headers
        timeout_ms = headers.get(wire.TIMEOUT_HEADER)
        return AppRequest(
            request_id=unquote(headers.get(wire.REQUEST_ID_HEADER, "")),
            caller=unquote(headers.get(wire.CALLER_HEADER, "")),
            pool="",
            method=self.request.method or "",
            path=self.request.uri or "",
            body=self.request.body,
            content_type=headers.get("Content-Type", ""),
            priority_class=unquote(headers.get(wire.PRIORITY_HEADER, "interactive")),
            deadline_s=None if timeout_ms is None else monotonic_s() + int(timeout_ms) / 1000,
            repeatable=wire.NOT_REPEATABLE_HEADER not in headers,
        )
