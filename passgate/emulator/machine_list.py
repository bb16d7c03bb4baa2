"""The platform's lagging list of live and leaving machines.

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


class _Change(msgspec.Struct):
    visible_s: float
    machine: MachineInfo


class EmulatedMachineList:
    """Implements ``interfaces.MachineList``; changes become readable after the lag."""

    def __init__(self, parameters: MachineListParameters) -> None:
        self.lag_s = parameters.lag_s
        self.available = True
        self._current: dict[str, MachineInfo] = {}
        self._visible: dict[str, MachineInfo] = {}
        self._pending: deque[_Change] = deque()

    def register(self, machine: MachineInfo) -> None:
        """Add a machine that readers see at once, for the start of a world."""
        self._current[machine.machine_id] = machine
        self._visible[machine.machine_id] = machine

    def put(self, machine: MachineInfo) -> None:
        """Add a machine or replace its entry."""
        self._current[machine.machine_id] = machine
        self._pending.append(_Change(monotonic_s() + self.lag_s, machine))

    def mark_leaving(self, machine_id: str) -> None:
        """Mark a machine as leaving; unknown identifiers are ignored."""
        self._mark(machine_id, MachineState.LEAVING)

    def mark_gone(self, machine_id: str) -> None:
        """Mark a machine as gone; unknown identifiers are ignored."""
        self._mark(machine_id, MachineState.GONE)

    def mark_live(self, machine_id: str) -> None:
        """Put a machine back under a new generation; unknown identifiers are ignored."""
        machine = self._current.get(machine_id)
        if machine is not None:
            generation = machine.generation + 1
            self.put(msgspec.structs.replace(machine, state=MachineState.LIVE, generation=generation))

    async def machines(self) -> Sequence[MachineInfo]:
        """Return the list as it was ``lag_s`` ago; raises PlatformError when it is down."""
        if not self.available:
            raise PlatformError("the machine list is down", reason="unavailable")
        now_s = monotonic_s()
        while self._pending and self._pending[0].visible_s <= now_s:
            machine = self._pending.popleft().machine
            self._visible[machine.machine_id] = machine
        return tuple(self._visible.values())

    def _mark(self, machine_id: str, state: MachineState) -> None:
        machine = self._current.get(machine_id)
        if machine is not None:
            self.put(msgspec.structs.replace(machine, state=state))
