"""Hosts a whole deployment's outside world in one process, on loopback.

``python -m passgate.emulator.standins_server --deployment olhar --addresses-file FILE``
writes one JSON line with every address once all ports listen, serves until
SIGTERM or SIGINT, and takes faults on its administration port.
"""

from __future__ import annotations

import asyncio
import os
import signal
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
from passgate.emulator.platform_server import PlatformServer
from passgate.emulator.wire import StandInServer
from passgate.emulator.world import EmulatedWorld

RESTART_CHECK_S = 0.05
LOG_PREFIX = "log/"


class StandIns:
    """Servers around one emulated world; made and used inside a running loop."""

    def __init__(
        self, parameters: DeploymentParameters, seed: int = 1, credential: str | None = None
    ) -> None:
        self.world = EmulatedWorld(parameters, seed)
        self.servers: dict[str, StandInServer] = {}
        """All servers by name: machines by identifier, ``platform``, ``admin``, ``log/ZONE``."""
        self._restarts: set[asyncio.Task[None]] = set()
        self._add_backends()
        self._add_platform(credential)

    async def start(self) -> StandInAddresses:
        """Listen on free ports and put the real addresses on the machine list."""
        for server in self.servers.values():
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
        """Crash an engine or app: connections are reset and the port closes until the restart."""
        self.servers[machine_id].crash()
        self.backend(machine_id).crash(restart_after_s)
        task = asyncio.get_running_loop().create_task(self._restart(machine_id, restart_after_s))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    def close(self) -> None:
        """Close all ports and stop the emulation."""
        for task in self._restarts:
            task.cancel()
        for server in self.servers.values():
            server.crash()
        self.world.close()

    async def _restart(self, machine_id: str, restart_after_s: float) -> None:
        await asyncio.sleep(restart_after_s)
        while not self.backend(machine_id).up:
            await asyncio.sleep(RESTART_CHECK_S)
        if not self.servers[machine_id].running:
            self.servers[machine_id].start()

    def _add_backends(self) -> None:
        engine_client = self.world.engine_client(SAME_PROCESS)
        app_client = self.world.app_client(SAME_PROCESS)
        for name, engine in self.world.engines.items():
            self.servers[name] = EngineServer(name, engine_client, engine.address)
        for name, app in self.world.apps.items():
            self.servers[name] = AppServer(name, app_client, app.address)

    def _add_platform(self, credential: str | None) -> None:
        for zone in self.world.parameters.zones:
            name = LOG_PREFIX + zone
            self.servers[name] = LogServer(name, self.world.log_client(zone), credential)
        self.servers["platform"] = PlatformServer(
            "platform", self.world.machine_list, self.world.store, credential
        )
        self.servers["admin"] = AdminServer(self, credential)

    async def _register_addresses(self) -> None:
        for machine in await self.world.machine_list.machines():
            address = self.servers[machine.machine_id].address
            self.world.machine_list.register(msgspec.structs.replace(machine, address=address))
            engine = self.world.engines.get(machine.machine_id)
            if engine is not None:
                self.world.registry.engines[address] = engine  # as a source of weights


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
