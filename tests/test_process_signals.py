"""Signals that reach a daemon's process while it does not handle them: as it starts, and as it ends.

Seen in a soak: a daemon whose planned stop had ended well was reported as ended by a signal.  Two
operators had stopped it, so more signals came while the interpreter was taken down; the event loop had
given the signals back to the kernel's defaults by then, which end a process.  In the same way the
signal that announces changed settings ended a daemon that was starting.
"""

import asyncio
import contextlib
import os
import pathlib
import signal
import subprocess
import sys

from tests import platform_stand_ins as stand_ins
from tests.test_platform_daemon import free_address

ROOT = pathlib.Path(__file__).parent.parent
GRACE_S = 2
BETWEEN_SIGNALS_S = 0.002
BLOCKED = "SigBlk:"
"""Line of a process's status that holds its blocked signals, as a hexadecimal mask."""


class Process:
    """One daemon's process, beside a stand-in of the log."""

    def __init__(self, process, front):
        self.process = process
        self._front = front

    @classmethod
    @contextlib.asynccontextmanager
    async def started(cls, folder):
        log = stand_ins.LogService().start()
        log.put("keyed.op", "config", stand_ins.config_document(1, [], []))
        front = free_address()
        settings = pathlib.Path(folder, "d1.yaml")
        settings.write_text(
            stand_ins.settings_text("d1", log.address, front, free_address(), grace_s=GRACE_S)
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "passgate.platform"],
            cwd=ROOT,
            env=os.environ | {"PASSGATE_BOOT": str(settings)},
            stdout=subprocess.DEVNULL,
        )
        try:
            yield cls(process, front)
        finally:
            process.kill()
            process.wait()
            await log.stop()

    async def until_listening(self):
        async with asyncio.timeout(10):
            while not await self.listens():
                assert self.process.poll() is None
                await asyncio.sleep(0.01)

    async def until_holding(self, number):
        """Wait until the process holds a signal back, which it does before it listens."""
        async with asyncio.timeout(10):
            while not self.holds(number):
                assert not await self.listens()
                await asyncio.sleep(0.001)

    def holds(self, number):
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        (mask,) = (line.split()[1] for line in status.splitlines() if line.startswith(BLOCKED))
        return bool(int(mask, 16) >> (number - 1) & 1)

    async def listens(self):
        host, _, port = self._front.rpartition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.close()
        return True

    async def end(self, *numbers):
        """Return the exit code; meanwhile send signals in quick succession."""
        async with asyncio.timeout(10):
            while self.process.poll() is None:
                for number in numbers:
                    self.process.send_signal(number)
                await asyncio.sleep(BETWEEN_SIGNALS_S)
        return self.process.returncode


async def test_a_planned_stop_ends_well_however_many_signals_come(tmp_path):
    async with Process.started(tmp_path) as daemon:
        await daemon.until_listening()
        assert await daemon.end(signal.SIGTERM, signal.SIGHUP) == 0


async def test_settings_changed_while_a_daemon_starts_do_not_end_it(tmp_path):
    async with Process.started(tmp_path) as daemon:
        await daemon.until_holding(signal.SIGHUP)
        daemon.process.send_signal(signal.SIGHUP)
        await daemon.until_listening()
        daemon.process.send_signal(signal.SIGTERM)
        assert await daemon.end() == 0


async def test_a_daemon_that_is_stopped_while_it_starts_ends_as_planned(tmp_path):
    async with Process.started(tmp_path) as daemon:
        await daemon.until_holding(signal.SIGTERM)
        daemon.process.send_signal(signal.SIGTERM)
        assert await daemon.end() == 0
