"""Emulated weight store of the platform, and the rate limiter of its and the engines' uploads.

>>> store = EmulatedWeightStore(StoreParameters())
>>> store.publish("m", 2, size_bytes=1_000)
>>> store.newest_version("m")
2
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from passgate.clock import monotonic_s
from passgate.emulator.parameters import StoreParameters
from passgate.errors import ExecutionStatus, PlatformError


class RateLimiter:
    """Sends pieces one after another at a fixed rate, in the order of the calls."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.sent_bytes = 0
        self._free_at_s = 0.0
        """Time at which all pieces queued so far have been sent."""

    async def send(self, size_bytes: int) -> None:
        """Queue a piece and wait until it has been sent."""
        start_s = max(self._free_at_s, monotonic_s())
        self._free_at_s = start_s + size_bytes / self.bytes_per_s
        self.sent_bytes += size_bytes
        await asyncio.sleep(self._free_at_s - monotonic_s())


class EmulatedWeightStore:
    """Implements ``interfaces.WeightStore``, and transfers weights to emulated engines at a limited rate."""

    def __init__(self, parameters: StoreParameters) -> None:
        self.parameters = parameters
        self.available = True
        """False injects an outage."""
        self.fetches = 0
        """Number of transfers that have started."""
        self._limiter = RateLimiter(parameters.bytes_per_s)
        self._version_sizes_by_model: dict[str, dict[int, int]] = {}

    @property
    def sent_bytes(self) -> int:
        """Bytes sent so far, including those of failed transfers."""
        return self._limiter.sent_bytes

    def set_rate(self, bytes_per_s: float) -> None:
        """Change the rate of pieces that are queued from now on."""
        self._limiter.bytes_per_s = bytes_per_s

    def publish(self, model: str, version: int, size_bytes: int) -> None:
        """Add a version to the store."""
        self._version_sizes_by_model.setdefault(model, {})[version] = size_bytes

    def newest_version(self, model: str) -> int:
        """Return the newest version of a model, 0 when there is none."""
        return max(self._version_sizes_by_model.get(model, {}), default=0)

    async def size_bytes(self, model: str, version: int) -> int:
        """Return the size of a version; raises PlatformError if it is absent or the store is down."""
        self._check_available()
        size_bytes = self._version_sizes_by_model.get(model, {}).get(version)
        if size_bytes is None:
            raise PlatformError(
                f"the weight store has no version {version} of model {model}",
                execution=ExecutionStatus.NOT_RUN,
                reason="absent",
            )
        return size_bytes

    async def pieces(self, model: str, version: int) -> AsyncIterator[int]:
        """Transfer a version in pieces and yield the number of bytes received after each.

        Raises:
            PlatformError: the version is absent, or the store is or goes down.
        """
        size_bytes = await self.size_bytes(model, version)
        self.fetches += 1
        await asyncio.sleep(self.parameters.first_byte_s)
        received_bytes = 0
        while received_bytes < size_bytes:
            self._check_available()
            next_bytes = min(self.parameters.piece_bytes, size_bytes - received_bytes)
            await self._limiter.send(next_bytes)
            received_bytes += next_bytes
            yield received_bytes

    async def fetch(self, model: str, version: int) -> int:
        """Transfer a complete version and return its size in bytes; raises as :meth:`pieces` does."""
        async for _received_bytes in self.pieces(model, version):
            pass
        return await self.size_bytes(model, version)

    def _check_available(self) -> None:
        if not self.available:
            raise PlatformError("the weight store is down", reason="unavailable")
