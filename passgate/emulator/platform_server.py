"""Emulator server of the platform's machine list and weight store.

It serves any :class:`passgate.interfaces.MachineList` and :class:`passgate.interfaces.WeightStore` that
can also be written to.
"""

from __future__ import annotations

from typing import Protocol

from passgate.clients import wire
from passgate.emulator.server_base import EmulatorRequestHandler, EmulatorServer
from passgate.interfaces import MachineList, WeightStore
from passgate.schema import MachineInfo


class WritableMachineList(MachineList, Protocol):
    """Machine list that can be changed through the server."""

    def put(self, machine: MachineInfo) -> None:
        """Add a machine or replace its entry."""
        ...

    def mark_leaving(self, machine_id: str) -> None:
        """Mark a machine as leaving."""
        ...


class WritableWeightStore(WeightStore, Protocol):
    """Weight store that trainers publish to through the server."""

    def publish(self, model: str, version: int, size_bytes: int) -> None:
        """Add a version of a model with the size of its weights; no weights are stored."""
        ...


class PlatformServer(EmulatorServer):
    """Serves the machine list and the weight store on one port, compressed for clients that accept gzip."""

    compresses = True

    def __init__(
        self,
        name: str,
        machine_list: WritableMachineList,
        weight_store: WritableWeightStore,
        credential: str | None = None,
    ) -> None:
        super().__init__(name, credential)
        self.machine_list = machine_list
        self.weight_store = weight_store

    def routes(self) -> list[tuple]:
        """Return the platform's routes."""
        arguments = {"server": self}
        return [
            (r"/v1/machines", _MachinesHandler, arguments),
            (r"/v1/machines/([^/]+)", _MachineHandler, arguments),
            (r"/v1/machines/([^/]+)/leaving", _LeavingHandler, arguments),
            (r"/v1/weights/([^/]+)/(\d+)", _WeightHandler, arguments),
        ]


class _PlatformHandler(EmulatorRequestHandler):
    server: PlatformServer


class _MachinesHandler(_PlatformHandler):
    async def get(self) -> None:
        self.send_json(wire.MachinesAnswer(machines=tuple(await self.server.machine_list.machines())))


class _MachineHandler(_PlatformHandler):
    async def put(self, machine_id: str) -> None:
        machine = self.decode_body(MachineInfo)
        self.server.machine_list.put(machine)
        self.send_json(machine)


class _LeavingHandler(_PlatformHandler):
    async def post(self, machine_id: str) -> None:
        self.server.machine_list.mark_leaving(machine_id)
        self.send_json(wire.MachineAnswer(machine_id=machine_id))


class _WeightHandler(_PlatformHandler):
    async def get(self, model: str, version: str) -> None:
        size_bytes = await self.server.weight_store.size_bytes(model, int(version))
        self.send_json(wire.WeightAnswer(size_bytes=size_bytes))

    async def put(self, model: str, version: str) -> None:
        call = self.decode_body(wire.WeightAnswer)
        self.server.weight_store.publish(model, int(version), call.size_bytes)
        self.send_json(call)
