"""Application model driven on the running loop's time."""

from __future__ import annotations

import asyncio

from passgate.clock import monotonic_s
from passgate.emulator.app_model import AppDone, AppEvent, AppModel
from passgate.schema import AppRequest, AppResponse, LoadReport


class EmulatedApp:
    """One application replica at one address."""

    def __init__(self, model: AppModel, address: str, zone: str) -> None:
        self.model = model
        self.address = address
        self.zone = zone
        self._answers: dict[int, asyncio.Future[AppResponse | None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def replica_id(self) -> str:
        """Identifier of the replica."""
        return self.model.replica_id

    @property
    def up(self) -> bool:
        """Whether the process runs; otherwise connections are refused."""
        return self.model.up

    def submit(self, request: AppRequest) -> asyncio.Future[AppResponse | None]:
        """Take a call; its future yields None when the replica crashes.

        Raises BackendRefused, and then the call never runs.
        """
        self._pump()
        ticket = self.model.submit(request, monotonic_s())
        answer: asyncio.Future[AppResponse | None] = asyncio.get_running_loop().create_future()
        self._answers[ticket] = answer
        self._pump()
        return answer

    def load_report(self) -> LoadReport:
        """Return the newest readable load report."""
        report = self.model.load_report(monotonic_s())
        self._pump()
        return report

    def set_draining(self, draining: bool) -> None:
        """Refuse, or take again, new calls; later load reports tell it."""
        self.model.set_draining(draining, monotonic_s())
        self._pump()

    def set_slow_factor(self, factor: float) -> None:
        """Make the service times of later starts ``factor`` times as long as normal."""
        self.model.slow_factor = factor

    def crash(self, restart_after_s: float | None = None) -> None:
        """Lose all calls; the replica restarts after a while."""
        self.model.crash(monotonic_s(), restart_after_s)
        self._pump()

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _pump(self, now_s: float | None = None) -> None:
        for event in self.model.advance(monotonic_s() if now_s is None else now_s):
            self._dispatch(event)
        self._arm()

    def _arm(self) -> None:
        due_s = self.model.next_event_s()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due_s is not None:
            self._timer = asyncio.get_running_loop().call_at(due_s, self._on_timer, due_s)

    def _on_timer(self, due_s: float) -> None:
        self._timer = None
        self._pump(max(due_s, monotonic_s()))

    def _dispatch(self, event: AppEvent) -> None:
        answer = self._answers.pop(event.ticket)
        if not answer.done():
            answer.set_result(event.response if isinstance(event, AppDone) else None)
