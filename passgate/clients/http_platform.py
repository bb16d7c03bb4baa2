"""MachineList and WeightStore over HTTP, and the calls that change them."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from http import HTTPStatus
from urllib.parse import quote

import msgspec

from passgate.clients import wire
from passgate.clients.calls import HttpAnswer, HttpCall, SendPolicy
from passgate.clients.curl import HttpClient
from passgate.clients.replies import decode_body
from passgate.errors import PassgateError, PlatformError
from passgate.schema import MachineInfo

PLATFORM_TIMEOUT_S = 5.0
LONGEST_ANSWER_BYTES = 64 * 2**20
"""Most bytes of a decompressed answer."""
_GZIP_WINDOW = 16 + zlib.MAX_WBITS


class _PlatformClient:
    """Sends calls to one platform service and maps every failure to PlatformError."""

    def __init__(self, http: HttpClient, address: str, credential: str | None = None) -> None:
        self._http = http
        self._base = f"http://{address}/v1"
        self._headers = {**wire.authorization(credential), "Accept-Encoding": "gzip"}

    async def _send(
        self, method: str, path: str, body: bytes | None = None, *, known_tag: str = ""
    ) -> HttpAnswer:
        """Send one call; with ``known_tag`` the answer may be 304, without a body."""
        call = HttpCall(
            method=method,
            url=self._base + path,
            body=body,
            headers=self._headers | ({"If-None-Match": known_tag} if known_tag else {}),
            send=SendPolicy.REPEAT,
            control=True,
            timeout_s=PLATFORM_TIMEOUT_S,
        )
        try:
            answer = await self._http.fetch(call)
        except PassgateError as error:
            raise PlatformError(str(error), execution=error.execution) from error
        if answer.status != HTTPStatus.OK and not (known_tag and answer.status == HTTPStatus.NOT_MODIFIED):
            raise PlatformError("platform refused", status=answer.status, path=path)
        return _decompressed(answer)


class HttpMachineList(_PlatformClient):
    """The platform's machine list.

    A list that has not changed is not sent again: the read is conditional (RFC 9110,
    section 13.1.2).  A platform without entity tags sends the whole list each time.
    """

    def __init__(self, http: HttpClient, address: str, credential: str | None = None) -> None:
        super().__init__(http, address, credential)
        self._tag = ""
        self._machines: Sequence[MachineInfo] = ()

    async def machines(self) -> Sequence[MachineInfo]:
        """Return the list; raises PlatformError when it can not be read."""
        answer = await self._send("GET", "/machines", known_tag=self._tag)
        if answer.status == HTTPStatus.NOT_MODIFIED:
            return self._machines
        self._machines = _decode(answer, wire.MachinesAnswer).machines
        self._tag = answer.headers.get("Etag", "")
        return self._machines

    async def register(self, machine: MachineInfo) -> None:
        """Put one machine on the list, or replace its entry; raises PlatformError."""
        path = f"/machines/{quote(machine.machine_id, safe='')}"
        await self._send("PUT", path, msgspec.json.encode(machine))

    async def leave(self, machine_id: str) -> None:
        """Mark one machine as leaving; raises PlatformError."""
        await self._send("POST", f"/machines/{quote(machine_id, safe='')}/leaving", b"")


class HttpWeightStore(_PlatformClient):
    """The platform's weight store."""

    async def size_bytes(self, model: str, version: int) -> int:
        """Return the size of one version; raises PlatformError when absent."""
        answer = await self._send("GET", f"/weights/{quote(model, safe='')}/{version}")
        return _decode(answer, wire.WeightAnswer).size_bytes

    async def publish(self, model: str, version: int, size_bytes: int) -> None:
        """Put a version into the store, as its trainer does; raises PlatformError."""
        body = msgspec.json.encode(wire.WeightAnswer(size_bytes=size_bytes))
        await self._send("PUT", f"/weights/{quote(model, safe='')}/{version}", body)


def _decompressed(answer: HttpAnswer) -> HttpAnswer:
    """Undo the compression of a long answer; a list of machines shrinks to a fraction."""
    if answer.headers.get("Content-Encoding", "") != "gzip":
        return answer
    unpacking = zlib.decompressobj(_GZIP_WINDOW)
    try:
        body = unpacking.decompress(answer.body, LONGEST_ANSWER_BYTES)
    except zlib.error as error:
        raise PlatformError(f"bad compression: {error}") from error
    if not unpacking.eof:
        raise PlatformError("answer is cut off or too long", limit_bytes=LONGEST_ANSWER_BYTES)
    return msgspec.structs.replace(answer, body=body)


def _decode(answer: HttpAnswer, kind: type) -> object:
    try:
        return decode_body(answer, kind)
    except PassgateError as error:
        raise PlatformError(str(error)) from error
