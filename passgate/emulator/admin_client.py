"""HTTP client of the emulator's administration server."""

from __future__ import annotations

from urllib.parse import quote

import msgspec

from passgate.clients import wire
from passgate.clients.answer_decoding import decode_body, decode_error
from passgate.clients.curl import HttpClient
from passgate.clients.http_call import HttpAnswer, HttpCall, SendPolicy
from passgate.emulator.admin_messages import (
    EmulatorAddresses,
    EmulatorState,
    FaultCommand,
    FaultKind,
    RunStart,
    RunStarts,
)
from passgate.errors import PlatformError

ADMIN_TIMEOUT_S = 10.0


class EmulatorAdminClient:
    """Injects faults into running emulator servers and reads their addresses and counters.

    Each method raises PlatformError if the answer's status is not 200.
    """

    def __init__(self, http: HttpClient, address: str, credential: str | None = None) -> None:
        self._http = http
        self._base_url = f"http://{address}/admin"
        self._headers = wire.authorization_headers(credential)

    async def addresses(self) -> EmulatorAddresses:
        """Return the addresses of all emulator servers."""
        return decode_body(await self._send("GET", "/addresses"), EmulatorAddresses)

    async def state(self, prefix: str = "") -> EmulatorState:
        """Return the counters of all emulator servers, by request only for identifiers with ``prefix``."""
        return decode_body(await self._send("GET", f"/state?prefix={quote(prefix)}"), EmulatorState)

    async def runs(self, after: int = 0) -> tuple[RunStart, ...]:
        """Return all starts of requests on back ends except the first ``after``."""
        return decode_body(await self._send("GET", f"/runs?after={after}"), RunStarts).runs

    async def inject(self, kind: FaultKind, target: str = "", value: float = 1.0, argument: str = "") -> None:
        """Inject one fault; see :class:`FaultKind` for the meaning of the arguments."""
        command = FaultCommand(kind=kind, target=target, value=value, argument=argument)
        await self._send("POST", "/faults", msgspec.json.encode(command))

    async def _send(self, method: str, path: str, body: bytes | None = None) -> HttpAnswer:
        call = HttpCall(
            method=method,
            url=self._base_url + path,
            body=body,
            headers=self._headers,
            send=SendPolicy.ONCE if body else SendPolicy.REPEAT,
            timeout_s=ADMIN_TIMEOUT_S,
        )
        answer = await self._http.fetch(call)
        if answer.status != 200:
            error = decode_error(answer)
            message = (
                "the administration request failed without an error body" if error is None else error.message
            )
            raise PlatformError(message, status=answer.status)
        return answer
