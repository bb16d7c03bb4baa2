"""Emulation of the platform's list of machines, whose readers see changes only after a lag.

>>> machines = EmulatedMachineList(MachineListParameters(lag_s=2.0))
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

import msgspec

from passgate.clock import monotonic_s
from passgate.emulator.parameters import MachineListParameters
from passgate.errors import PlatformError
from passgate.schema import MachineInfo, MachineState


class _PendingChange(msgspec.Struct):
    """New state of a machine and the time from which readers see it."""

    visible_s: float
    machine: MachineInfo


class EmulatedMachineList:
    """Implements ``interfaces.MachineList``; machines that are gone stay listed as such."""

    def __init__(self, parameters: MachineListParameters) -> None:
        self.lag_s = parameters.lag_s
        self.available = True
        self._current: dict[str, MachineInfo] = {}
        self._visible: dict[str, MachineInfo] = {}
        self._pending_changes: deque[_PendingChange] = deque()

    def put_immediately(self, machine: MachineInfo) -> None:
        """Add or replace a machine, visible to readers at once; meant for the start of a run."""
        self._current[machine.machine_id] = machine
        self._visible[machine.machine_id] = machine

    def put(self, machine: MachineInfo) -> None:
        """Add a machine or replace its entry, visible to readers after the lag."""
        self._current[machine.machine_id] = machine
        self._pending_changes.append(_PendingChange(monotonic_s() + self.lag_s, machine))

    def mark_leaving(self, machine_id: str) -> None:
        """Mark a machine as leaving; unknown identifiers are ignored."""
        self._mark(machine_id, MachineState.LEAVING)

    def mark_gone(self, machine_id: str) -> None:
        """Mark a machine as gone; unknown identifiers are ignored."""
        self._mark(machine_id, MachineState.GONE)

    def mark_live(self, machine_id: str) -> None:
        """Mark a machine as live under its next generation; unknown identifiers are ignored."""
        machine = self._current.get(machine_id)
        if machine is not None:
            generation = machine.generation + 1
            self.put(msgspec.structs.replace(machine, state=MachineState.LIVE, generation=generation))

    async def machines(self) -> Sequence[MachineInfo]:
        """Return the list as it was ``lag_s`` ago; raises PlatformError if it is unavailable."""
        if not self.available:
            raise PlatformError("the machine list is unavailable", reason="unavailable")
        now_s = monotonic_s()
        while self._pending_changes and self._pending_changes[0].visible_s <= now_s:
            machine = self._pending_changes.popleft().machine
            self._visible[machine.machine_id] = machine
        return tuple(self._visible.values())

    def _mark(self, machine_id: str, state: MachineState) -> None:
        machine = self._current.get(machine_id)
        if machine is not None:
            self.put(msgspec.structs.replace(machine, state=state))
