"""Hosts a whole deployment's outside world in one process, on loopback.

``python -m passgate.emulator.standins_server --deployment olhar --addresses-file FILE``
writes one JSON line with every address once all ports listen, serves until
SIGTERM or SIGINT, and takes faults on its administration port.
"""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Sequence
from pathlib import Path

import fire
import msgspec

from passgate.emulator.admin_messages import StandInAddresses
from passgate.emulator.admin_server import AdminServer
from passgate.emulator.app import EmulatedApp
from passgate.emulator.app_server import AppServer
from passgate.emulator.engine import EmulatedEngine
from passgate.emulator.engine_server import EngineServer
from passgate.emulator.log_server import LogServer
from passgate.emulator.network import SAME_PROCESS
from passgate.emulator.parameters import DeploymentParameters, load_deployment
from passgate.emulator.platform_server import ChangeableMachineList, PlatformServer
from passgate.emulator.run_feed import RunFeed
from passgate.emulator.wire import StandInServer
from passgate.emulator.world import EmulatedWorld
from passgate.schema import MachineInfo

RESTART_CHECK_S = 0.05
LOG_PREFIX = "log/"


class StandIns:
    """Servers around one emulated world; made and used inside a running loop.

    Each back end has one port without emulated network and one for each zone,
    with that zone's delays and cuts.  Ports of one back end share faults and counters.
    """

    def __init__(
        self, parameters: DeploymentParameters, seed: int = 1, credential: str | None = None
    ) -> None:
        self.runs = RunFeed()
        self.world = EmulatedWorld(parameters, seed, self.runs)
        self.servers: dict[str, StandInServer] = {}
        """Servers by name: machines by identifier, ``platform``, ``admin``, ``log/ZONE``."""
        self._credential = credential
        self._zone_servers: dict[str, dict[str, StandInServer]] = {}
        self._zone_platforms: dict[str, PlatformServer] = {}
        self._restarts: set[asyncio.Task[None]] = set()
        self.servers.update(self._backends(SAME_PROCESS))
        self.servers["platform"] = self._platform(self.world.machine_list)
        self.servers["admin"] = AdminServer(self, credential)
        for zone in parameters.zones:
            self._add_zone(zone)

    async def start(self) -> StandInAddresses:
        """Listen on free ports and put the real addresses on the machine list."""
        for server in self._all_servers():
            server.start()
        await self._register_addresses()
        return self.addresses()

    def addresses(self) -> StandInAddresses:
        """Return where everything listens."""
        servers = self.servers
        return StandInAddresses(
            deployment=self.world.parameters.name,
            zones=self.world.parameters.zones,
            process_id=os.getpid(),
            admin=servers["admin"].address,
            platform=servers["platform"].address,
            logs={zone: servers[LOG_PREFIX + zone].address for zone in self.world.parameters.zones},
            engines={name: servers[name].address for name in self.world.engines},
            apps={name: servers[name].address for name in self.world.apps},
            zone_platforms={zone: server.address for zone, server in self._zone_platforms.items()},
        )

    def backend(self, machine_id: str) -> EmulatedEngine | EmulatedApp:
        """Return an engine or app; raises KeyError when there is none."""
        return self.world.engines.get(machine_id) or self.world.apps[machine_id]

    def set_draining(self, machine_id: str, draining: bool) -> None:
        """Let an engine or app itself refuse, or take again, new work."""
        backend = self.backend(machine_id)
        if isinstance(backend, EmulatedApp):
            backend.set_draining(draining)
        else:
            backend.model.control.draining = draining

    def crash(self, machine_id: str, restart_after_s: float) -> None:
        """Crash an engine or app: connections are reset and its ports close until the restart."""
        for server in self._ports(machine_id):
            server.crash()
        self.backend(machine_id).crash(restart_after_s)
        task = asyncio.get_running_loop().create_task(self._restart(machine_id, restart_after_s))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    def close(self) -> None:
        """Close all ports and stop the emulation."""
        for task in self._restarts:
            task.cancel()
        for server in self._all_servers():
            server.close()
        self.world.close()

    async def _restart(self, machine_id: str, restart_after_s: float) -> None:
        await asyncio.sleep(restart_after_s)
        while not self.backend(machine_id).up:
            await asyncio.sleep(RESTART_CHECK_S)
        for server in self._ports(machine_id):
            if not server.running:
                server.start()

    def _ports(self, machine_id: str) -> list[StandInServer]:
        return [self.servers[machine_id], *(ports[machine_id] for ports in self._zone_servers.values())]

    def _all_servers(self) -> list[StandInServer]:
        zone_servers = [server for ports in self._zone_servers.values() for server in ports.values()]
        return [*self.servers.values(), *zone_servers, *self._zone_platforms.values()]

    def _backends(self, zone: str) -> dict[str, StandInServer]:
        engine_client = self.world.engine_client(zone)
        app_client = self.world.app_client(zone)
        servers: dict[str, StandInServer] = {}
        for name, engine in self.world.engines.items():
            servers[name] = EngineServer(name, engine_client, engine.address)
        for name, app in self.world.apps.items():
            servers[name] = AppServer(name, app_client, app.address)
        return servers

    def _platform(self, machines: ChangeableMachineList) -> PlatformServer:
        return PlatformServer("platform", machines, self.world.store, self._credential)

    def _add_zone(self, zone: str) -> None:
        log_name = LOG_PREFIX + zone
        self.servers[log_name] = LogServer(log_name, self.world.log_client(zone), self._credential)
        ports = self._backends(zone)
        for name, server in ports.items():
            server.share(self.servers[name])
        self._zone_servers[zone] = ports
        self._zone_platforms[zone] = self._platform(ZoneMachineList(self.world.machine_list, ports))
        self._zone_platforms[zone].share(self.servers["platform"])

    async def _register_addresses(self) -> None:
        for machine in await self.world.machine_list.machines():
            address = self.servers[machine.machine_id].address
            self.world.machine_list.register(msgspec.structs.replace(machine, address=address))
        for name, engine in self.world.engines.items():
            for server in self._ports(name):
                self.world.registry.engines[server.address] = engine  # as a source of weights


class ZoneMachineList:
    """The machine list with the addresses by which one zone reaches the back ends."""

    def __init__(self, machines: ChangeableMachineList, ports: dict[str, StandInServer]) -> None:
        self._machines = machines
        self._ports = ports

    async def machines(self) -> Sequence[MachineInfo]:
        """Return the list; raises PlatformError when it is down."""
        return [self._as_reached(machine) for machine in await self._machines.machines()]

    def put(self, machine: MachineInfo) -> None:
        """Add a machine or replace its entry."""
        self._machines.put(machine)

    def mark_leaving(self, machine_id: str) -> None:
        """Mark a machine as leaving."""
        self._machines.mark_leaving(machine_id)

    def _as_reached(self, machine: MachineInfo) -> MachineInfo:
        port = self._ports.get(machine.machine_id)
        return machine if port is None else msgspec.structs.replace(machine, address=port.address)


async def run_standins(
    parameters: DeploymentParameters,
    addresses_file: str | None = None,
    seed: int = 1,
    credential: str | None = None,
) -> None:
    """Serve a deployment's outside world until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    standins = StandIns(parameters, seed, credential)
    line = msgspec.json.encode(await standins.start()).decode() + "\n"
    print(line, end="", flush=True)
    if addresses_file is not None:
        _write_whole(Path(addresses_file), line)
    await stop.wait()
    standins.close()


def _write_whole(path: Path, text: str) -> None:
    # A reader that polls for the file never sees half of it.
    part = path.with_name(path.name + ".part")
    part.write_text(text)
    part.replace(path)


def main(
    deployment: str,
    addresses_file: str | None = None,
    seed: int = 1,
    credential_file: str | None = None,
) -> None:
    """Serve a deployment (``olhar``, ``huon`` or a parameter file) until it is stopped."""
    credential = None if credential_file is None else Path(credential_file).read_text().strip()
    asyncio.run(run_standins(load_deployment(deployment), addresses_file, seed, credential))


if __name__ == "__main__":
    fire.Fire(main)
