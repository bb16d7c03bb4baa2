"""Starts the processes of an example deployment: the stand-ins and one daemon per zone.

The stand-ins are one process that emulates the external systems: log, platform, engines and applications.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import msgspec
import yaml

from passgate.clients.curl import HttpClient
from passgate.clients.http_call import HttpCall, SendPolicy
from passgate.clock import monotonic_s
from passgate.emulator.admin_messages import EmulatorAddresses
from passgate.emulator.parameters import DeploymentParameters
from passgate.errors import PassgateError, PlatformError, RevisionConflict
from passgate.operator_client import OperatorClient, rebuild_error
from passgate.schema import MachineRole
from passgate.server.wire import ApplyObject
from passgate.settings import Settings, StopSettings
from passgate.state.configuration import ModelVersionSpec, PoolSpec

LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
MIN_PORT = 20_000
MAX_PORT = 32_000
READINESS_CALL_TIMEOUT_S = 2.0
STATUS_OK = 200
SERVICE_LABEL = "service"
STOP_NOTICE_S = 1.5
"""Notice period of the daemons' shutdown."""


def find_free_addresses(count: int) -> list[str]:
    """Return loopback addresses with ports that are free now.

    The ports are below the system's ephemeral ports, so that no outgoing connection takes the port of a
    daemon while it restarts.
    """
    with contextlib.ExitStack() as open_sockets:
        ports: list[int] = []
        while len(ports) < count:
            port = random.randint(MIN_PORT, MAX_PORT)
            bound_socket = open_sockets.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                bound_socket.bind((LOOPBACK, port))
                ports.append(port)
        return [f"{LOOPBACK}:{port}" for port in ports]


def write_yaml(path: Path, value: Any) -> None:
    """Write a typed value to a YAML file."""
    path.write_text(yaml.safe_dump(msgspec.to_builtins(value), sort_keys=False), encoding="utf-8")


class ChildProcess:
    """One child process that runs this Python interpreter; its output goes to a file.

    ``kill``, ``stop`` and ``process_id`` require that it has been started.
    """

    def __init__(self, name: str, arguments: list[str], output: Path) -> None:
        self.name = name
        self._arguments = arguments
        self._output = output
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, also once more after it ended; its output is appended to the file."""
        with self._output.open("ab") as stream:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, *self._arguments, stdout=stream, stderr=stream
            )

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def process_id(self) -> int:
        """Identifier of the process, also after it ended."""
        assert self._process is not None
        return self._process.pid

    def read_last_lines(self) -> str:
        """Return the last five lines of the output, for error messages."""
        return "\n".join(self._output.read_text(errors="replace").splitlines()[-5:])

    async def kill(self) -> None:
        """Send SIGKILL, and wait for the end of the process."""
        assert self._process is not None
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        await self._process.wait()

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Send SIGTERM and return the exit code; kill the process after ``timeout_s`` and return None."""
        assert self._process is not None
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._process.wait()
        except TimeoutError:
            await self.kill()
            return None


class DeploymentProcesses:
    """The processes of one deployment and their addresses."""

    def __init__(
        self, parameters: DeploymentParameters, http: HttpClient, directory: Path, seed: int
    ) -> None:
        self.parameters = parameters
        self._http = http
        self._directory = directory / parameters.name
        self._directory.mkdir()
        self._seed = seed
        self._stand_ins_process: ChildProcess | None = None
        self.stand_in_addresses: EmulatorAddresses | None = None
        """Addresses at which the stand-ins listen, once they are started."""
        self.daemon_by_zone: dict[str, ChildProcess] = {}
        """By zone: the process of its daemon."""
        self.caller_address_by_zone: dict[str, str] = {}
        """By zone: the address of its daemon's callers' port."""
        self.operator_address_by_zone: dict[str, str] = {}
        """By zone: the address of its daemon's operators' port."""

    # --- start -------------------------------------------------------------------------

    async def start(self) -> None:
        """Start stand-ins and daemons, and wait until all daemons are ready and configured.

        Raises:
            PlatformError: a process ended early or was not ready in time.
            TimeoutError: the stand-ins did not listen, or the configuration was not active, in time.
            PassgateError: the configuration was rejected.
        """
        await self._start_stand_ins()
        self._prepare_daemons()
        for daemon in self.daemon_by_zone.values():
            await daemon.start()
        await asyncio.gather(*(self.wait_until_ready(zone) for zone in self.daemon_by_zone))
        await self._configure()

    async def _start_stand_ins(self) -> None:
        parameters_file = self._directory / "deployment.yaml"
        write_yaml(parameters_file, self.parameters)
        addresses_file = self._directory / "addresses.json"
        arguments = ["-m", "passgate.emulator.standins_server", "--deployment", str(parameters_file)]
        arguments += ["--addresses-file", str(addresses_file), "--seed", str(self._seed)]
        self._stand_ins_process = ChildProcess("stand-ins", arguments, self._directory / "stand-ins.log")
        await self._stand_ins_process.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not addresses_file.exists():
                if not self._stand_ins_process.is_running:
                    raise PlatformError(
                        f"the stand-ins' process ended: {self._stand_ins_process.read_last_lines()}"
                    )
                await asyncio.sleep(POLL_INTERVAL_S)
        self.stand_in_addresses = msgspec.json.decode(addresses_file.read_bytes(), type=EmulatorAddresses)

    def _prepare_daemons(self) -> None:
        zones = self.parameters.zones
        addresses = find_free_addresses(len(zones) * 3)
        for index, zone in enumerate(zones):
            caller, operator, peer = (addresses[index + port * len(zones)] for port in range(3))
            self.caller_address_by_zone[zone], self.operator_address_by_zone[zone] = caller, operator
            settings = self._make_settings(zone, caller, operator, peer, tuple(addresses[2 * len(zones) :]))
            settings_file = self._directory / f"{zone}.yaml"
            write_yaml(settings_file, settings)
            arguments = ["-m", "passgate", "serve", "--settings", str(settings_file)]
            self.daemon_by_zone[zone] = ChildProcess(zone, arguments, self._directory / f"{zone}.log")

    def _make_settings(self, zone: str, caller: str, operator: str, peer: str, seeds: tuple[str, ...]) -> Any:
        """Return the settings of a daemon as a dictionary for YAML, without credentials."""
        assert self.stand_in_addresses is not None
        settings = Settings(
            daemon_id=f"{zone}-1",
            zone=zone,
            log_address=self.stand_in_addresses.logs[zone],
            machine_list_address=self.stand_in_addresses.platform,
            weight_store_address=self.stand_in_addresses.platform,
            caller_address=caller,
            operator_address=operator,
            peer_address=peer,
            seeds=tuple(seed for seed in seeds if seed != peer),
            labels={"deployment": self.parameters.name},
            stop=StopSettings(notice_s=STOP_NOTICE_S, leave_timeout_s=1.0, retry_after_s=0.2),
        )
        values = msgspec.structs.asdict(settings)
        del values["credentials"]
        return values

    async def wait_until_ready(self, zone: str) -> None:
        """Wait until the daemon of a zone is ready.

        Raises:
            PlatformError: it ended, or was not ready within START_TIMEOUT_S.
        """
        url = f"http://{self.operator_address_by_zone[zone]}/readyz"
        call = HttpCall(method="GET", url=url, send=SendPolicy.REPEAT, timeout_s=READINESS_CALL_TIMEOUT_S)
        deadline_s = monotonic_s() + START_TIMEOUT_S
        while True:
            if not self.daemon_by_zone[zone].is_running:
                raise PlatformError(f"daemon {zone} ended: {self.daemon_by_zone[zone].read_last_lines()}")
            if monotonic_s() > deadline_s:
                raise PlatformError(
                    f"daemon {zone} was not ready in time: {self.daemon_by_zone[zone].read_last_lines()}"
                )
            with contextlib.suppress(PassgateError):
                if (await self._http.fetch(call)).status == STATUS_OK:
                    return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _configure(self) -> None:
        """Put pools and boot versions through one daemon, and wait until they are active on all daemons.

        Objects that exist already are left as they are.
        """
        client = OperatorClient(self._http, next(iter(self.operator_address_by_zone.values())))
        answer = await client.apply(configuration_objects(self.parameters))
        for result in answer.results:
            if result.error is not None:
                error = rebuild_error(result.error)
                if not isinstance(error, RevisionConflict):
                    raise error
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                watch = await client.watch()
                reached = [view for view in watch.daemons if view.reached and view.behind == 0]
                if len(reached) == len(self.daemon_by_zone):
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    # --- stop --------------------------------------------------------------------------

    async def stop_all(self) -> None:
        """Kill the daemons and stop the stand-ins."""
        for daemon in self.daemon_by_zone.values():
            if daemon.is_running:
                await daemon.kill()
        if self._stand_ins_process is not None and self._stand_ins_process.is_running:
            await self._stand_ins_process.stop(5.0)


def pool_name_of_model(parameters: DeploymentParameters, model: str) -> str:
    """Return the name of the pool that serves a model; for an empty model that of the application pool."""
    return f"{parameters.engines.name}-{model}" if model else parameters.apps.name


def configuration_objects(parameters: DeploymentParameters) -> tuple[ApplyObject, ...]:
    """Return the pools of a deployment and the weight versions with which its engines boot."""
    engines = f"{SERVICE_LABEL}={parameters.engines.name}"
    apps = PoolSpec(selector=f"{SERVICE_LABEL}={parameters.apps.name}", role=MachineRole.APP)
    objects = [_make_object("Pool", parameters.apps.name, {"for": "callers"}, apps)]
    for model in parameters.engines.models:
        pool = PoolSpec(selector=engines, role=MachineRole.ENGINE, model=model.name)
        objects.append(
            _make_object("Pool", pool_name_of_model(parameters, model.name), {"model": model.name}, pool)
        )
        version = ModelVersionSpec(model=model.name, version=model.boot_version)
        name = f"{model.name}-{model.boot_version}"
        objects.append(_make_object("ModelVersion", name, {"model": model.name}, version))
    return tuple(objects)


def _make_object(kind: str, name: str, labels: dict[str, str], spec: Any) -> ApplyObject:
    return ApplyObject(
        kind=kind, name=name, labels=labels, spec=msgspec.Raw(msgspec.json.encode(spec)), expected_revision=0
    )
