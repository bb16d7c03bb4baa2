"""Serves the platform's machine list and weight store over HTTP.

The models are a :class:`passgate.interfaces.MachineList` and a
:class:`passgate.interfaces.WeightStore` that can also be changed.
"""

from __future__ import annotations

from typing import Protocol

from passgate.clients import wire
from passgate.emulator.wire import StandInHandler, StandInServer
from passgate.interfaces import MachineList, WeightStore
from passgate.schema import MachineInfo


class ChangeableMachineList(MachineList, Protocol):
    """A machine list that machines register with."""

    def put(self, machine: MachineInfo) -> None:
        """Add a machine or replace its entry."""
        ...

    def mark_leaving(self, machine_id: str) -> None:
        """Mark a machine as leaving."""
        ...


class ChangeableWeightStore(WeightStore, Protocol):
    """A weight store that trainers publish to."""

    def publish(self, model: str, version: int, size_bytes: int) -> None:
        """Put a version into the store."""
        ...


class PlatformServer(StandInServer):
    """Machine list and weight store behind one port."""

    compresses = True

    def __init__(
        self,
        name: str,
        machines: ChangeableMachineList,
        weights: ChangeableWeightStore,
        credential: str | None = None,
    ) -> None:
        super().__init__(name, credential)
        self.machines = machines
        self.weights = weights

    def routes(self) -> list[tuple]:
        """Return the platform's routes."""
        arguments = {"server": self}
        return [
            (r"/v1/machines", _MachinesHandler, arguments),
            (r"/v1/machines/([^/]+)", _MachineHandler, arguments),
            (r"/v1/machines/([^/]+)/leaving", _LeavingHandler, arguments),
            (r"/v1/weights/([^/]+)/(\d+)", _WeightHandler, arguments),
        ]


class _PlatformHandler(StandInHandler):
    server: PlatformServer


class _MachinesHandler(_PlatformHandler):
    async def get(self) -> None:
        self.reply(wire.MachinesAnswer(machines=tuple(await self.server.machines.machines())))


class _MachineHandler(_PlatformHandler):
    async def put(self, machine_id: str) -> None:
        machine = self.body_as(MachineInfo)
        self.server.machines.put(machine)
        self.reply(machine)


class _LeavingHandler(_PlatformHandler):
    async def post(self, machine_id: str) -> None:
        self.server.machines.mark_leaving(machine_id)
        self.reply(wire.MachineAnswer(machine_id=machine_id))


class _WeightHandler(_PlatformHandler):
    async def get(self, model: str, version: str) -> None:
        size_bytes = await self.server.weights.size_bytes(model, int(version))
        self.reply(wire.WeightAnswer(size_bytes=size_bytes))

    async def put(self, model: str, version: str) -> None:
        call = self.body_as(wire.WeightAnswer)
        self.server.weights.publish(model, int(version), call.size_bytes)
        self.reply(call)
