"""The platform's rate-limited weight store, and the limiter that engines' uploads share too.

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
    """Sends pieces one after another at a fixed rate; concurrent senders take turns."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.sent_bytes = 0
        self._free_s = 0.0

    async def send(self, size_bytes: int) -> None:
        """Return when a piece queued now has been sent."""
        start_s = max(self._free_s, monotonic_s())
        self._free_s = start_s + size_bytes / self.bytes_per_s
        self.sent_bytes += size_bytes
        await asyncio.sleep(self._free_s - monotonic_s())


class EmulatedWeightStore:
    """Implements ``interfaces.WeightStore``; engines fetch from it."""

    def __init__(self, parameters: StoreParameters) -> None:
        self.parameters = parameters
        self.available = True
        self.fetches = 0
        self._limiter = RateLimiter(parameters.bytes_per_s)
        self._sizes: dict[str, dict[int, int]] = {}

    @property
    def sent_bytes(self) -> int:
        """Bytes sent to engines so far, also of fetches that failed later."""
        return self._limiter.sent_bytes

    def set_rate(self, bytes_per_s: float) -> None:
        """Change the rate for later pieces."""
        self._limiter.bytes_per_s = bytes_per_s

    def publish(self, model: str, version: int, size_bytes: int) -> None:
        """Put a version into the store."""
        self._sizes.setdefault(model, {})[version] = size_bytes

    def newest_version(self, model: str) -> int:
        """Return the newest version of a model, 0 when there is none."""
        return max(self._sizes.get(model, {}), default=0)

    async def size_bytes(self, model: str, version: int) -> int:
        """Return the size of one version; raises PlatformError when absent."""
        self._check_available()
        size = self._sizes.get(model, {}).get(version)
        if size is None:
            raise PlatformError(
                f"no version {version} of {model}", execution=ExecutionStatus.NOT_RUN, reason="absent"
            )
        return size

    async def pieces(self, model: str, version: int) -> AsyncIterator[int]:
        """Transfer a version piece by piece, yielding the bytes received so far.

        Raises:
            PlatformError: the version is absent or the store became unavailable.
        """
        size = await self.size_bytes(model, version)
        self.fetches += 1
        await asyncio.sleep(self.parameters.first_byte_s)
        received = 0
        while received < size:
            self._check_available()
            piece = min(self.parameters.piece_bytes, size - received)
            await self._limiter.send(piece)
            received += piece
            yield received

    async def fetch(self, model: str, version: int) -> int:
        """Transfer a whole version and return its size in bytes; raises PlatformError."""
        async for _received in self.pieces(model, version):
            pass
        return await self.size_bytes(model, version)

    def _check_available(self) -> None:
        if not self.available:
            raise PlatformError("the weight store is down", reason="unavailable")
