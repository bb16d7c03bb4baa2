"""Daemon processes, each connected to the log through a proxy."""

import asyncio
import contextlib
import pathlib
import signal
import socket
import subprocess
import sys
import time

from tests import fake_platform
from tests.fault_proxy import FaultProxy

SHUTDOWN_GRACE_S = 6
"""Setting of the daemons: time for a graceful shutdown."""
EXIT_TIMEOUT_S = 8.0
"""Time after which a process that does not exit is killed; longer than a graceful shutdown."""
EXIT_POLL_INTERVAL_S = 0.02
"""Interval of the checks whether a process has exited."""
READY_TIMEOUT_S = 30.0
"""Longest wait until a daemon accepts connections; generous, for runs with a hundred daemons."""


FIRST_PORT, LAST_PORT = 10_000, 30_000
"""Below the kernel's range for outgoing connections, which could take the port of a stopped process."""
PORT_BLOCK_SIZE = 500
"""Ports that one soak uses; others on the machine use other blocks."""


class PortAllocator:
    """Allocates ports of 127.0.0.1 at which nothing listens, and which no other soak uses.

    A process that is restarted leaves its port free for a moment, in which another soak could take it.
    """

    def __init__(self):
        self._reservation = socket.socket(socket.AF_UNIX)
        self._first = self._next = self._reserve_block()

    def _reserve_block(self):
        """Return the first port of a block; a socket's name reserves it until the process ends."""
        for first_port in range(FIRST_PORT, LAST_PORT, PORT_BLOCK_SIZE):
            with contextlib.suppress(OSError):
                self._reservation.bind(f"\0passgate-soak-ports-{first_port}")
                return first_port
        raise RuntimeError("all blocks of ports are used by other soaks")

    def allocate_port(self):
        while True:
            self._next = self._first + (self._next + 1 - self._first) % PORT_BLOCK_SIZE
            with socket.socket() as sock, contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", self._next))
                return self._next

    def allocate_address(self):
        return f"127.0.0.1:{self.allocate_port()}"


class DaemonIncarnation:
    """One process of a daemon.

    It does not use asyncio's subprocesses: their watcher and the sender of a signal may both reap
    an exited process, and the watcher then reports the exit code 255.
    """

    def __init__(self, process, build):
        self._process = process
        self.build = build
        self.was_killed = False
        """Whether SIGKILL was sent."""

    @property
    def pid(self):
        return self._process.pid

    def send_signal(self, number):
        self.was_killed |= number == signal.SIGKILL
        self._process.send_signal(number)

    async def wait_for_exit(self):
        """Wait until the process exits, kill it after ``EXIT_TIMEOUT_S``, and return the exit code."""
        kill_at_s = time.monotonic() + EXIT_TIMEOUT_S
        while self.is_running:
            if time.monotonic() >= kill_at_s:
                self.send_signal(signal.SIGKILL)
            await asyncio.sleep(EXIT_POLL_INTERVAL_S)
        return self._process.returncode

    @property
    def is_running(self):
        return self._process.poll() is None


class DaemonProcess:
    """One daemon over all its incarnations; addresses and settings file stay the same."""

    def __init__(self, number, world):
        self.name = f"d{number}"
        self.caller_address, self.readiness_address = (
            world.ports.allocate_address(),
            world.ports.allocate_address(),
        )
        self.log_client_host = f"127.1.{number // 250}.{number % 250 + 1}"
        """Host from which the daemon's connections reach the log."""
        self.proxy = FaultProxy(world.log.address, number, self.log_client_host)
        self.duties = world.duties
        self.log_file = world.log_file
        self.settings_path = pathlib.Path(world.folder, f"{self.name}.yaml")
        self.build = world.first_build
        """Build from which the next process is started."""
        self.builds = []
        """Times of all starts and the builds that were started."""
        self.incarnation = None
        self._start_lock = asyncio.Lock()

    async def start(self):
        """Start a process unless one runs; overlapping faults may both call this."""
        async with self._start_lock:
            if self.incarnation is None or not self.incarnation.is_running:
                await self._start()

    async def _start(self):
        if not self.proxy.address:
            await self.proxy.start()
        self.write_settings()
        process = subprocess.Popen(
            [sys.executable, "-m", "passgate.platform"],
            cwd=self.build.folder,
            env=self.build.environment() | {"PASSGATE_BOOT": str(self.settings_path)},
            stdout=self.log_file,
            stderr=self.log_file,
        )
        self.incarnation = DaemonIncarnation(process, self.build)
        self.builds.append((time.monotonic(), self.build))

    def write_settings(self):
        self.settings_path.write_text(
            fake_platform.settings_text(
                self.name,
                self.proxy.address,
                self.caller_address,
                self.readiness_address,
                grace_s=SHUTDOWN_GRACE_S,
                usage_address=self.duties.address,
            )
        )

    async def accepts_callers(self):
        """Return whether the daemon accepts connections, and so has installed its signal handlers."""
        host, _, port = self.caller_address.rpartition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.close()
        return True

    async def wait_until_listening(self):
        """Wait until the daemon accepts connections; raises TimeoutError after ``READY_TIMEOUT_S``."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.accepts_callers():
                await asyncio.sleep(0.1)
