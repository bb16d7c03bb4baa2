"""Real daemons as recorded callers reach them: one HTTP request for each attempt.

It differs from :class:`~passgate.caller_client.CallerClient` in that it never
goes on to another daemon by itself, so that each refusal in a history belongs to
exactly one request; callers repeat by themselves.
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
    """A caller's client that notes under which identifier its requests went to back ends."""

    def __init__(
        self,
        http: HttpClient,
        daemons: dict[str, str],
        caller: str,
        record: Callable[[AnyEvent], None],
        answered: dict[str, str],
    ) -> None:
        """Prepare a client.

        Args:
            http: shared HTTP client.
            daemons: callers' address of each daemon, by the daemon's name.
            caller: the caller's name.
            record: takes events.
            answered: takes the caller's identifier of each answered request under the
                identifier that the daemon used towards back ends.
        """
        super().__init__(http, list(daemons.values()), caller)
        self._names = {address: name for name, address in daemons.items()}
        self._record = record
        self._answered = answered
        self._heard: set[str] = set()
        self._chosen = ""

    @property
    def daemon(self) -> str:
        """Name of the daemon that the next call goes to."""
        self._chosen = super().daemon
        return self._names[self._chosen]

    async def _send(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        deadline_s: float | None = None,
    ) -> HttpAnswer:
        address = self._chosen or super().daemon
        self._chosen = ""
        data = body if isinstance(body, bytes) or body is None else msgspec.json.encode(body)
        if data is None and method not in ("GET", "DELETE"):
            data = b""
        headers = headers or {}
        try:
            return await self._send_to(address, method, path, data, headers, deadline_s)
        except (BackendUnreachable, IncompleteAnswer) as error:
            self._note_cut_off(headers.get(CALLER_ID_HEADER, ""), error)
            raise

    def _note_cut_off(self, request_id: str, error: BackendUnreachable | IncompleteAnswer) -> None:
        was_refused = error.execution is ExecutionStatus.NOT_RUN
        if request_id and request_id not in self._heard and not was_refused:
            self._record(RequestCutOff(time_s=monotonic_s(), request_id=request_id))

    def _raise_error(self, answer: HttpAnswer) -> None:
        request_id = answer.headers.get(CALLER_ID_HEADER, "")
        self._heard.add(request_id)
        self._answered[answer.headers.get(DAEMON_ID_HEADER, "")] = request_id
        super()._raise_error(answer)
