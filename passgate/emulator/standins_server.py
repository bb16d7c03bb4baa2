"""Runs all emulator servers of one deployment in one process, on the loopback interface.

``python -m passgate.emulator.standins_server --deployment olhar --addresses-file FILE`` writes one JSON line
with all addresses (:class:`EmulatorAddresses`) to standard output and to FILE once all ports listen, serves
until SIGTERM or SIGINT, and accepts faults on its administration port.
"""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Sequence
from pathlib import Path

import fire
import msgspec

from passgate.emulator.admin_messages import EmulatorAddresses
from passgate.emulator.admin_server import AdminServer
from passgate.emulator.app import EmulatedApp
from passgate.emulator.app_server import AppServer
from passgate.emulator.engine import EmulatedEngine
from passgate.emulator.engine_server import EngineServer
from passgate.emulator.log_server import LogServer
from passgate.emulator.network import SAME_PROCESS
from passgate.emulator.parameters import DeploymentParameters, load_deployment
from passgate.emulator.platform_server import PlatformServer, WritableMachineList
from passgate.emulator.run_feed import RunFeed
from passgate.emulator.server_base import EmulatorServer
from passgate.emulator.world import EmulatedWorld
from passgate.schema import MachineInfo

RESTART_POLL_S = 0.05
LOG_PREFIX = "log/"
"""Prefix of the names of the zones' log servers."""


class EmulatorServers:
    """The HTTP servers of one emulated deployment; must be created and used inside a running event loop.

    Each engine and app has one port without an emulated network and one for each zone, with the delays and
    partitions between that zone and its own.  All ports of one of them share faults and counters.
    """

    def __init__(
        self, parameters: DeploymentParameters, seed: int = 1, credential: str | None = None
    ) -> None:
        self.run_feed = RunFeed()
        self.world = EmulatedWorld(parameters, seed, self.run_feed)
        self.servers: dict[str, EmulatorServer] = {}
        """Servers by name: machines by identifier, ``platform``, ``admin``, ``log/ZONE``."""
        self._credential = credential
        self._backend_servers_by_zone: dict[str, dict[str, EmulatorServer]] = {}
        self._platform_server_by_zone: dict[str, PlatformServer] = {}
        self._restart_tasks: set[asyncio.Task[None]] = set()
        self.servers.update(self._make_backend_servers(SAME_PROCESS))
        self.servers["platform"] = self._make_platform_server(self.world.machine_list)
        self.servers["admin"] = AdminServer(self, credential)
        for zone in parameters.zones:
            self._add_zone(zone)

    async def start(self) -> EmulatorAddresses:
        """Listen on free ports, put their addresses on the machine list and return them."""
        for server in self._all_servers():
            server.start()
        await self._register_addresses()
        return self.addresses()

    def addresses(self) -> EmulatorAddresses:
        """Return the addresses of all servers; valid after :meth:`start`."""
        servers = self.servers
        return EmulatorAddresses(
            deployment=self.world.parameters.name,
            zones=self.world.parameters.zones,
            process_id=os.getpid(),
            admin=servers["admin"].address,
            platform=servers["platform"].address,
            logs={zone: servers[LOG_PREFIX + zone].address for zone in self.world.parameters.zones},
            engines={name: servers[name].address for name in self.world.engines},
            apps={name: servers[name].address for name in self.world.apps},
            zone_platforms={zone: server.address for zone, server in self._platform_server_by_zone.items()},
        )

    def backend(self, machine_id: str) -> EmulatedEngine | EmulatedApp:
        """Return an engine or app by its machine identifier; raises KeyError if there is none."""
        return self.world.engines.get(machine_id) or self.world.apps[machine_id]

    def set_draining(self, machine_id: str, draining: bool) -> None:
        """Make an engine or app refuse new requests, or accept them again."""
        backend = self.backend(machine_id)
        if isinstance(backend, EmulatedApp):
            backend.set_draining(draining)
        else:
            backend.model.control.draining = draining

    def crash(self, machine_id: str, restart_after_s: float) -> None:
        """Crash an engine or app: reset its connections and close its ports until the restart."""
        for server in self._servers_of(machine_id):
            server.crash()
        self.backend(machine_id).crash(restart_after_s)
        task = asyncio.get_running_loop().create_task(self._restart(machine_id, restart_after_s))
        self._restart_tasks.add(task)
        task.add_done_callback(self._restart_tasks.discard)

    def close(self) -> None:
        """Close all ports and stop the emulation."""
        for task in self._restart_tasks:
            task.cancel()
        for server in self._all_servers():
            server.close()
        self.world.close()

    async def _restart(self, machine_id: str, restart_after_s: float) -> None:
        await asyncio.sleep(restart_after_s)
        while not self.backend(machine_id).up:
            await asyncio.sleep(RESTART_POLL_S)
        for server in self._servers_of(machine_id):
            if not server.is_listening:
                server.start()

    def _servers_of(self, machine_id: str) -> list[EmulatorServer]:
        """Return the servers on all ports of an engine or app."""
        return [
            self.servers[machine_id],
            *(servers[machine_id] for servers in self._backend_servers_by_zone.values()),
        ]

    def _all_servers(self) -> list[EmulatorServer]:
        zone_servers = [
            server for servers in self._backend_servers_by_zone.values() for server in servers.values()
        ]
        return [*self.servers.values(), *zone_servers, *self._platform_server_by_zone.values()]

    def _make_backend_servers(self, zone: str) -> dict[str, EmulatorServer]:
        engine_client = self.world.engine_client(zone)
        app_client = self.world.app_client(zone)
        servers: dict[str, EmulatorServer] = {}
        for name, engine in self.world.engines.items():
            servers[name] = EngineServer(name, engine_client, engine.address)
        for name, app in self.world.apps.items():
            servers[name] = AppServer(name, app_client, app.address)
        return servers

    def _make_platform_server(self, machines: WritableMachineList) -> PlatformServer:
        return PlatformServer("platform", machines, self.world.store, self._credential)

    def _add_zone(self, zone: str) -> None:
        log_name = LOG_PREFIX + zone
        self.servers[log_name] = LogServer(log_name, self.world.log_client(zone), self._credential)
        backend_servers = self._make_backend_servers(zone)
        for name, server in backend_servers.items():
            server.share_state_of(self.servers[name])
        self._backend_servers_by_zone[zone] = backend_servers
        self._platform_server_by_zone[zone] = self._make_platform_server(
            ZoneMachineList(self.world.machine_list, backend_servers)
        )
        self._platform_server_by_zone[zone].share_state_of(self.servers["platform"])

    async def _register_addresses(self) -> None:
        for machine in await self.world.machine_list.machines():
            address = self.servers[machine.machine_id].address
            self.world.machine_list.put_immediately(msgspec.structs.replace(machine, address=address))
        for name, engine in self.world.engines.items():
            for server in self._servers_of(name):
                # load orders name the engine that sends the weights by one of these addresses
                self.world.registry.engines[server.address] = engine


class ZoneMachineList:
    """The machine list with the addresses at which daemons of one zone reach the engines and apps."""

    def __init__(
        self, machines: WritableMachineList, server_by_machine_id: dict[str, EmulatorServer]
    ) -> None:
        self._machines = machines
        self._server_by_machine_id = server_by_machine_id

    async def machines(self) -> Sequence[MachineInfo]:
        """Return the list; raises PlatformError if it is unavailable."""
        return [self._with_zone_address(machine) for machine in await self._machines.machines()]

    def put(self, machine: MachineInfo) -> None:
        """Add a machine or replace its entry."""
        self._machines.put(machine)

    def mark_leaving(self, machine_id: str) -> None:
        """Mark a machine as leaving."""
        self._machines.mark_leaving(machine_id)

    def _with_zone_address(self, machine: MachineInfo) -> MachineInfo:
        server = self._server_by_machine_id.get(machine.machine_id)
        return machine if server is None else msgspec.structs.replace(machine, address=server.address)


async def serve_until_stopped(
    parameters: DeploymentParameters,
    addresses_file: str | None = None,
    seed: int = 1,
    credential: str | None = None,
) -> None:
    """Run the emulator servers of a deployment until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    emulator = EmulatorServers(parameters, seed, credential)
    line = msgspec.json.encode(await emulator.start()).decode() + "\n"
    print(line, end="", flush=True)
    if addresses_file is not None:
        _write_atomically(Path(addresses_file), line)
    await stop.wait()
    emulator.close()


def _write_atomically(path: Path, content: str) -> None:
    """Write a file by renaming a temporary one, so that a process polling for it never reads a part."""
    temporary = path.with_name(path.name + ".part")
    temporary.write_text(content)
    temporary.replace(path)


def main(
    deployment: str,
    addresses_file: str | None = None,
    seed: int = 1,
    credential_file: str | None = None,
) -> None:
    """Run the emulator servers of a deployment (``olhar``, ``huon`` or a parameter file) until stopped."""
    credential = None if credential_file is None else Path(credential_file).read_text().strip()
    asyncio.run(serve_until_stopped(load_deployment(deployment), addresses_file, seed, credential))


if __name__ == "__main__":
    fire.Fire(main)
