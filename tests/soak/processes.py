"""Daemons as processes of their own, each behind a proxy to the log."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

from tests import platform_stand_ins as stand_ins
from tests.fault_proxy import FaultProxy

ROOT = pathlib.Path(__file__).parent.parent.parent
GRACE_S = 6
END_S = 8.0
"""Time after a signal after which a process is killed; a planned stop ends before."""
END_LOOK_S = 0.02
"""Time between looks whether a process has ended."""
READY_S = 30.0
"""Time for a daemon to say that it is ready, on a machine that runs a hundred of them."""


FIRST_PORT, LAST_PORT = 10_000, 30_000
"""Below the ports that the kernel gives to connections, which would take a daemon's while it is down."""


class Ports:
    """Hands out ports of 127.0.0.1 at which nothing listens."""

    def __init__(self, random):
        self._next = random.randrange(FIRST_PORT, LAST_PORT)

    def address(self):
        while True:
            self._next = self._next + 1 if self._next < LAST_PORT else FIRST_PORT
            with socket.socket() as sock, contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", self._next))
                return f"127.0.0.1:{self._next}"


class Life:
    """One process of a daemon, from its start to its end.

    Not asyncio's own process: its watcher and a signal's sender may both reap an ended process, and
    the watcher then makes the exit code 255.
    """

    def __init__(self, process):
        self._process = process
        self.killed = False
        """Whether it was sent the signal that it can't handle."""

    def signal(self, number):
        self.killed |= number == signal.SIGKILL
        self._process.send_signal(number)

    async def ended(self):
        """Wait for its end; kill it when it does not come.  Return the exit code."""
        kill_s = time.monotonic() + END_S
        while self.running:
            if time.monotonic() >= kill_s:
                self.signal(signal.SIGKILL)
            await asyncio.sleep(END_LOOK_S)
        return self._process.returncode

    @property
    def running(self):
        return self._process.poll() is None


class DaemonProcess:
    """One daemon, over all its lives."""

    def __init__(self, number, world):
        self.name = f"d{number}"
        self.front, self.ready = world.ports.address(), world.ports.address()
        self.proxy = FaultProxy(world.log.address, number)
        self.duties = world.duties
        self.log_file = world.log_file
        self.path = pathlib.Path(world.folder, f"{self.name}.yaml")
        self.life = None
        self._starting = asyncio.Lock()

    async def start(self):
        """Start a process unless one runs; overlapping faults may both want to."""
        async with self._starting:
            if self.life is None or not self.life.running:
                await self._start()

    async def _start(self):
        if not self.proxy.address:
            await self.proxy.start()
        self.write_settings()
        process = subprocess.Popen(
            [sys.executable, "-m", "passgate.platform"],
            cwd=ROOT,
            env=os.environ | {"PASSGATE_BOOT": str(self.path)},
            stdout=self.log_file,
            stderr=self.log_file,
        )
        self.life = Life(process)

    def write_settings(self):
        self.path.write_text(
            stand_ins.settings_text(
                self.name,
                self.proxy.address,
                self.front,
                self.ready,
                grace_s=GRACE_S,
                duties=self.duties.address,
            )
        )

    async def accepts_callers(self):
        """Return whether the daemon has come up, and so handles signals."""
        host, _, port = self.front.rpartition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.close()
        return True

    async def wait_listening(self):
        """Wait until the daemon accepts callers."""
        async with asyncio.timeout(READY_S):
            while not await self.accepts_callers():
                await asyncio.sleep(0.1)
