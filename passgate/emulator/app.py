"""Runs an :class:`AppModel` on the clock and timers of the running event loop."""

from __future__ import annotations

import asyncio

from passgate.clock import monotonic_s
from passgate.emulator.app_model import AppCallFinished, AppEvent, AppModel
from passgate.schema import AppRequest, AppResponse, LoadReport


class EmulatedApp:
    """One application replica, reachable at one address."""

    def __init__(self, model: AppModel, address: str, zone: str) -> None:
        self.model = model
        self.address = address
        self.zone = zone
        self._response_by_ticket: dict[int, asyncio.Future[AppResponse | None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def replica_id(self) -> str:
        """The replica's identifier."""
        return self.model.replica_id

    @property
    def up(self) -> bool:
        """Whether the process runs; while it does not, clients must refuse connections to it."""
        return self.model.up

    def submit(self, request: AppRequest) -> asyncio.Future[AppResponse | None]:
        """Queue a call and return its future response, which is None if the replica crashes first.

        Raises:
            BackendRefused: the replica does not accept the call; it never runs.
        """
        self._advance_model()
        ticket = self.model.submit(request, monotonic_s())
        response: asyncio.Future[AppResponse | None] = asyncio.get_running_loop().create_future()
        self._response_by_ticket[ticket] = response
        self._advance_model()
        return response

    def load_report(self) -> LoadReport:
        """Return the newest load report that is at least as old as the configured report lag."""
        report = self.model.load_report(monotonic_s())
        self._advance_model()
        return report

    def set_draining(self, draining: bool) -> None:
        """Start or stop refusing new calls; later load reports have the new state in ``leaving``."""
        self.model.set_draining(draining, monotonic_s())
        self._advance_model()

    def set_slow_factor(self, factor: float) -> None:
        """Multiply the normal service time of calls that start from now on by ``factor``."""
        self.model.slow_factor = factor

    def crash(self, restart_after_s: float | None = None) -> None:
        """Lose all calls and restart after ``restart_after_s`` (default: the configured time)."""
        self.model.crash(monotonic_s(), restart_after_s)
        self._advance_model()

    def close(self) -> None:
        """Cancel the timer, so that the model no longer advances by itself."""
        if self._timer is not None:
            self._timer.cancel()

    def _advance_model(self, now_s: float | None = None) -> None:
        for event in self.model.advance(monotonic_s() if now_s is None else now_s):
            self._resolve_call(event)
        self._schedule_timer()

    def _schedule_timer(self) -> None:
        due_s = self.model.next_event_s()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due_s is not None:
            self._timer = asyncio.get_running_loop().call_at(due_s, self._on_timer, due_s)

    def _on_timer(self, due_s: float) -> None:
        self._timer = None
        self._advance_model(max(due_s, monotonic_s()))

    def _resolve_call(self, event: AppEvent) -> None:
        response = self._response_by_ticket.pop(event.ticket)
        if not response.done():
            response.set_result(event.response if isinstance(event, AppCallFinished) else None)
