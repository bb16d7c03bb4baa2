"""Signals that arrive before the event loop handles them and after it has ended must not kill the process."""

import asyncio
import contextlib
import os
import pathlib
import signal
import subprocess
import sys

from tests import fake_platform
from tests.test_platform_daemon import free_address

ROOT = pathlib.Path(__file__).parent.parent
GRACE_S = 2
SIGNAL_INTERVAL_S = 0.002
BLOCKED_MASK_LABEL = "SigBlk:"
"""Label of the line in ``/proc/PID/status`` with the mask of blocked signals, in hexadecimal."""


class DaemonProcess:
    """The process of one daemon, with a stand-in for the log."""

    def __init__(self, process, caller_address):
        self.process = process
        self._caller_address = caller_address

    @classmethod
    @contextlib.asynccontextmanager
    async def start(cls, folder):
        log = fake_platform.FakeLogService().start()
        log.put("keyed.op", "config", fake_platform.config_document(1, [], []))
        caller_address = free_address()
        settings = pathlib.Path(folder, "d1.yaml")
        settings.write_text(
            fake_platform.settings_text("d1", log.address, caller_address, free_address(), grace_s=GRACE_S)
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "passgate.platform"],
            cwd=ROOT,
            env=os.environ | {"PASSGATE_BOOT": str(settings)},
            stdout=subprocess.DEVNULL,
        )
        try:
            yield cls(process, caller_address)
        finally:
            process.kill()
            process.wait()
            await log.stop()

    async def wait_until_listening(self):
        async with asyncio.timeout(10):
            while not await self.is_listening():
                assert self.process.poll() is None
                await asyncio.sleep(0.01)

    async def wait_until_blocking(self, signal_number):
        """Wait until the process blocks a signal, which it must do before it listens."""
        async with asyncio.timeout(10):
            while not self.is_blocking(signal_number):
                assert not await self.is_listening()
                await asyncio.sleep(0.001)

    def is_blocking(self, signal_number):
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        (mask,) = (line.split()[1] for line in status.splitlines() if line.startswith(BLOCKED_MASK_LABEL))
        return bool(int(mask, 16) >> (signal_number - 1) & 1)

    async def is_listening(self):
        host, _, port = self._caller_address.rpartition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.close()
        return True

    async def wait_for_exit(self, *signals):
        """Return the exit code; until the process exits, send it the signals again and again."""
        async with asyncio.timeout(10):
            while self.process.poll() is None:
                for number in signals:
                    self.process.send_signal(number)
                await asyncio.sleep(SIGNAL_INTERVAL_S)
        return self.process.returncode


async def test_repeated_signals_do_not_disturb_a_graceful_shutdown(tmp_path):
    async with DaemonProcess.start(tmp_path) as daemon:
        await daemon.wait_until_listening()
        assert await daemon.wait_for_exit(signal.SIGTERM, signal.SIGHUP) == 0


async def test_sighup_during_the_start_does_not_end_the_daemon(tmp_path):
    async with DaemonProcess.start(tmp_path) as daemon:
        await daemon.wait_until_blocking(signal.SIGHUP)
        daemon.process.send_signal(signal.SIGHUP)
        await daemon.wait_until_listening()
        daemon.process.send_signal(signal.SIGTERM)
        assert await daemon.wait_for_exit() == 0


async def test_sigterm_during_the_start_leads_to_a_graceful_shutdown(tmp_path):
    async with DaemonProcess.start(tmp_path) as daemon:
        await daemon.wait_until_blocking(signal.SIGTERM)
        daemon.process.send_signal(signal.SIGTERM)
        assert await daemon.wait_for_exit() == 0
