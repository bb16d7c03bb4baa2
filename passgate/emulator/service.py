"""What emulated callers need of passgate, in virtual time or over HTTP."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from passgate.schema import AppRequest, AppResponse, GenerateRequest, GenerateResult
from passgate.state.lot_types import LotRequest, SamplesPage


class Service(Protocol):
    """Passgate as one caller sees it.

    Every method raises the errors of ``passgate.errors``, also when they came
    over a wire, with ``execution`` and ``retry_after_s`` as the daemon gave them.
    An implementation goes on to another daemon when one can not be reached.
    """

    @property
    def daemon(self) -> str:
        """Name of the daemon that the next call goes to."""
        ...

    async def generate(self, request: GenerateRequest, idempotency_key: str | None = None) -> GenerateResult:
        """Return a whole answer; times of the request are on the caller's loop."""
        ...

    async def call_app(self, request: AppRequest, idempotency_key: str | None = None) -> AppResponse:
        """Forward a call to an application service."""
        ...

    async def open_lot(self, request: LotRequest, lot_id: str) -> None:
        """Open a lot; opening it again changes nothing."""
        ...

    async def read_lot(
        self, lot_id: str, cursor: int, limit: int, wait_s: float, trainer_version: int
    ) -> SamplesPage:
        """Read samples from a cursor on."""
        ...

    async def acknowledge(self, lot_id: str, sample_ids: Sequence[str]) -> None:
        """Confirm that samples have arrived."""
        ...

    async def replace(self, lot_id: str, sample_ids: Sequence[str], trainer_version: int) -> None:
        """Have withdrawn samples that never arrived produced again."""
        ...

    async def cancel_lot(self, lot_id: str) -> None:
        """Give a lot up."""
        ...

    async def publish_version(self, model: str, version: int) -> None:
        """Announce weights that are in the weight store."""
        ...
