"""Client of recorded callers, which sends one HTTP request for each call.

Unlike :class:`~passgate.caller_client.CallerClient` it never repeats a call at another
daemon, so that each refusal in a history belongs to exactly one request.  Callers
repeat calls themselves.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from passgate.caller_client import CallerClient
from passgate.check.events import AnyEvent, RequestCutOff
from passgate.clients.curl import HttpClient
from passgate.clients.http_call import HttpAnswer
from passgate.clock import monotonic_s
from passgate.errors import BackendUnreachable, ExecutionStatus, IncompleteAnswer

CALLER_ID_HEADER = "X-Request-Id"
DAEMON_ID_HEADER = "X-Passgate-Request-Id"


class RecordingClient(CallerClient):
    """Client that records cut-off requests, and passgate's identifiers of answered requests."""

    def __init__(
        self,
        http: HttpClient,
        address_by_daemon: dict[str, str],
        caller: str,
        record: Callable[[AnyEvent], None],
        caller_id_by_passgate_id: dict[str, str],
    ) -> None:
        """Prepare a client.

        Args:
            http: shared HTTP client.
            daemons: address for callers by the daemon's name.
            caller: the caller's name.
            record: called with each event.
            answered: mapping that receives the identifiers of answered
                requests; its keys are the identifiers that daemons use towards back ends.
        """
        super().__init__(http, list(address_by_daemon.values()), caller)
        self._daemon_by_address = {address: name for name, address in address_by_daemon.items()}
        self._record = record
        self._caller_id_by_passgate_id = caller_id_by_passgate_id
        self._answered_ids: set[str] = set()
        self._next_address = ""

    @property
    def daemon(self) -> str:
        """Name of the daemon that the next call is sent to; reading it selects that daemon."""
        self._next_address = super().daemon
        return self._daemon_by_address[self._next_address]

    async def _send(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        deadline_s: float | None = None,
    ) -> HttpAnswer:
        address = self._next_address or super().daemon
        self._next_address = ""
        data = body if isinstance(body, bytes) or body is None else msgspec.json.encode(body)
        if data is None and method not in ("GET", "DELETE"):
            data = b""
        headers = headers or {}
        try:
            return await self._send_to(address, method, path, data, headers, deadline_s)
        except (BackendUnreachable, IncompleteAnswer) as error:
            self._record_cut_off(headers.get(CALLER_ID_HEADER, ""), error)
            raise

    def _record_cut_off(self, request_id: str, error: BackendUnreachable | IncompleteAnswer) -> None:
        was_refused = error.execution is ExecutionStatus.NOT_RUN
        if request_id and request_id not in self._answered_ids and not was_refused:
            self._record(RequestCutOff(time_s=monotonic_s(), request_id=request_id))

    def _raise_error(self, answer: HttpAnswer) -> None:
        request_id = answer.headers.get(CALLER_ID_HEADER, "")
        self._answered_ids.add(request_id)
        self._caller_id_by_passgate_id[answer.headers.get(DAEMON_ID_HEADER, "")] = request_id
        super()._raise_error(answer)
