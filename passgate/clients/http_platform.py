"""MachineList and WeightStore over HTTP, and the calls by which machines and versions are registered."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from http import HTTPStatus
from urllib.parse import quote

import msgspec

from passgate.clients import wire
from passgate.clients.answer_decoding import decode_body
from passgate.clients.curl import HttpClient
from passgate.clients.http_call import HttpAnswer, HttpCall, SendPolicy
from passgate.errors import PassgateError, PlatformError
from passgate.schema import MachineInfo

PLATFORM_TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 64 * 2**20
"""Largest decompressed answer."""
_GZIP_WINDOW_BITS = 16 + zlib.MAX_WBITS
"""Makes zlib expect the gzip format."""


class _PlatformClient:
    """Sends calls to one service of the platform; a failed call raises PlatformError."""

    def __init__(self, http: HttpClient, address: str, credential: str | None = None) -> None:
        self._http = http
        self._base_url = f"http://{address}/v1"
        self._headers = {**wire.authorization_headers(credential), "Accept-Encoding": "gzip"}

    async def _send(
        self, method: str, path: str, body: bytes | None = None, *, entity_tag: str = ""
    ) -> HttpAnswer:
        """Send a call and return the decompressed answer, which has the status 200.

        With an entity tag the call is conditional, and the status may also be 304.
        """
        call = HttpCall(
            method=method,
            url=self._base_url + path,
            body=body,
            headers=self._headers | ({"If-None-Match": entity_tag} if entity_tag else {}),
            send=SendPolicy.REPEAT,
            control=True,
            timeout_s=PLATFORM_TIMEOUT_S,
        )
        try:
            answer = await self._http.fetch(call)
        except PassgateError as error:
            raise PlatformError(str(error), execution=error.execution) from error
        if answer.status != HTTPStatus.OK and not (entity_tag and answer.status == HTTPStatus.NOT_MODIFIED):
            raise PlatformError("the platform refused a call", status=answer.status, path=path)
        return _decompress(answer)


class HttpMachineList(_PlatformClient):
    """Client of the platform's machine list.

    Reads are conditional requests (RFC 9110, section 13.1.2), so an unchanged list is not sent again if the
    platform supports entity tags.
    """

    def __init__(self, http: HttpClient, address: str, credential: str | None = None) -> None:
        super().__init__(http, address, credential)
        self._entity_tag = ""
        self._machines: Sequence[MachineInfo] = ()

    async def machines(self) -> Sequence[MachineInfo]:
        """Return the list; raises PlatformError if it can not be read."""
        answer = await self._send("GET", "/machines", entity_tag=self._entity_tag)
        if answer.status == HTTPStatus.NOT_MODIFIED:
            return self._machines
        self._machines = _decode(answer, wire.MachinesAnswer).machines
        self._entity_tag = answer.headers.get("Etag", "")
        return self._machines

    async def register(self, machine: MachineInfo) -> None:
        """Add a machine to the list, or replace its entry; raises PlatformError."""
        path = f"/machines/{quote(machine.machine_id, safe='')}"
        await self._send("PUT", path, msgspec.json.encode(machine))

    async def leave(self, machine_id: str) -> None:
        """Mark a machine as leaving; raises PlatformError."""
        await self._send("POST", f"/machines/{quote(machine_id, safe='')}/leaving", b"")


class HttpWeightStore(_PlatformClient):
    """Client of the platform's weight store."""

    async def size_bytes(self, model: str, version: int) -> int:
        """Return the size of a version's weights; raises PlatformError, also for an unknown version."""
        answer = await self._send("GET", f"/weights/{quote(model, safe='')}/{version}")
        return _decode(answer, wire.WeightAnswer).size_bytes

    async def publish(self, model: str, version: int, size_bytes: int) -> None:
        """Register a version in the store, as its trainer does; raises PlatformError."""
        body = msgspec.json.encode(wire.WeightAnswer(size_bytes=size_bytes))
        await self._send("PUT", f"/weights/{quote(model, safe='')}/{version}", body)


def _decompress(answer: HttpAnswer) -> HttpAnswer:
    """Return an answer with its gzip body, if it has one, decompressed; raises PlatformError."""
    if answer.headers.get("Content-Encoding", "") != "gzip":
        return answer
    decompressor = zlib.decompressobj(_GZIP_WINDOW_BITS)
    try:
        body = decompressor.decompress(answer.body, MAX_ANSWER_BYTES)
    except zlib.error as error:
        raise PlatformError(f"the platform's answer is not valid gzip: {error}") from error
    if not decompressor.eof:
        raise PlatformError("the platform's answer is truncated or too long", limit_bytes=MAX_ANSWER_BYTES)
    return msgspec.structs.replace(answer, body=body)


def _decode(answer: HttpAnswer, kind: type) -> object:
    try:
        return decode_body(answer, kind)
    except PassgateError as error:
        raise PlatformError(str(error)) from error
