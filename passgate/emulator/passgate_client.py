"""Interface through which emulated callers use passgate, in-process or over HTTP."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from passgate.schema import AppRequest, AppResponse, GenerateRequest, GenerateResult
from passgate.state.lot_types import LotRequest, SamplesPage


class PassgateClient(Protocol):
    """Client of one caller; successive calls may go to different daemons.

    Every method raises the errors of ``passgate.errors`` with the ``execution`` and ``retry_after_s`` that
    the daemon reported, also over HTTP.
    """

    @property
    def daemon(self) -> str:
        """Name or address of the daemon that gets the next call."""
        ...

    async def generate(self, request: GenerateRequest, idempotency_key: str | None = None) -> GenerateResult:
        """Return a complete output; ``request.deadline_s`` is a time of the caller's event loop."""
        ...

    async def call_app(self, request: AppRequest, idempotency_key: str | None = None) -> AppResponse:
        """Call the application pool that the request names."""
        ...

    async def open_lot(self, request: LotRequest, lot_id: str) -> None:
        """Open a lot; a repetition has no effect."""
        ...

    async def read_lot(
        self, lot_id: str, cursor: int, limit: int, wait_s: float, trainer_version: int
    ) -> SamplesPage:
        """Read samples from ``cursor`` on, waiting up to ``wait_s`` for one."""
        ...

    async def acknowledge(self, lot_id: str, sample_ids: Sequence[str]) -> None:
        """Confirm that samples were received."""
        ...

    async def replace(self, lot_id: str, sample_ids: Sequence[str], trainer_version: int) -> None:
        """Request that withdrawn samples, which were not received, are produced again."""
        ...

    async def cancel_lot(self, lot_id: str) -> None:
        """Cancel a lot."""
        ...

    async def publish_version(self, model: str, version: int) -> None:
        """Announce a weight version that is in the weight store."""
        ...
