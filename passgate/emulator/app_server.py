"""Serves an application model over HTTP: any method and path, ``X-Request-Id`` echoed.

``GET /load`` without that header is not a forwarded call and answers the load report.

The model is any :class:`passgate.interfaces.AppClient`, addressed by ``model_address``.
"""

from __future__ import annotations

from urllib.parse import unquote

from passgate.clients import wire
from passgate.clock import monotonic_s
from passgate.emulator.wire import StandInHandler, StandInServer
from passgate.errors import BackendUnreachable
from passgate.interfaces import AppClient
from passgate.schema import AppRequest, AppResponse

CROSSED_REQUEST_ID = "crossed"


class AppServer(StandInServer):
    """One replica of an application service behind one port."""

    def __init__(
        self, name: str, model: AppClient, model_address: str, credential: str | None = None
    ) -> None:
        super().__init__(name, credential)
        self.model = model
        self.model_address = model_address

    def routes(self) -> list[tuple]:
        """Return the only route, which takes every path."""
        return [(r"/.*", _CallHandler, {"server": self})]


class _CallHandler(StandInHandler):
    server: AppServer

    async def get(self) -> None:
        is_call = wire.REQUEST_ID_HEADER in self.request.headers
        await (self._serve_call() if is_call or self.request.path != wire.LOAD_PATH else self._load())

    async def _serve_call(self) -> None:
        await self.while_connected(self._call(self._app_request()))

    post = put = patch = delete = _serve_call

    async def _load(self) -> None:
        report = await self.server.model.load_report(self.server.model_address)
        self.reply(wire.AppLoadAnswer.from_report(report))

    async def _call(self, request: AppRequest) -> None:
        self.server.count_received(request.request_id)
        try:
            response = await self.server.model.call(self.server.model_address, request)
        except BackendUnreachable as error:
            self.send_unreachable(error)
            return
        if self.takes_lost_answer():
            self.drop_connection()
            return
        self._answer(response)

    def _answer(self, response: AppResponse) -> None:
        self.set_status(response.status)
        self.set_header("Content-Type", response.content_type)
        self.set_header(wire.REPLICA_HEADER, response.replica_id)
        if self.takes_crossed_answer():
            self.set_header(wire.REQUEST_ID_HEADER, CROSSED_REQUEST_ID)
        self.finish(response.body)

    def _app_request(self) -> AppRequest:
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
