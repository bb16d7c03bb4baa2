"""Every start of a request on a back end, with a digest of what was asked for.

A back end knows only the identifier that passgate gave it.  When a caller never
heard that identifier, because its daemon died, the digest still leads from the
start to the call that asked for the work.

>>> feed = RunFeed()
>>> feed.record_run("a-1-7f", "engine-0", 1.5)
>>> feed.seen[0].replica_id, feed.seen[0].work
('engine-0', '')
"""

from __future__ import annotations

import msgspec
import xxhash

from passgate.emulator.admin_messages import SeenRun
from passgate.emulator.app_model import expected_app_body
from passgate.emulator.ledger import RunLedger
from passgate.schema import AppRequest, GenerateRequest


def generate_work(model: str, prompt: tuple[int, ...], seed: int | None) -> str:
    """Return the digest of a generate request's work."""
    return xxhash.xxh64_hexdigest(msgspec.json.encode((model, prompt, seed)))


def app_work(request: AppRequest) -> str:
    """Return the digest of the only right answer to a call, which callers record too."""
    return xxhash.xxh64_hexdigest(expected_app_body(request))


class RunFeed(RunLedger):
    """A ledger that keeps each start in order, for a reader in another process."""

    def __init__(self) -> None:
        super().__init__()
        self.seen: list[SeenRun] = []

    def record_run(
        self,
        request_id: str,
        replica_id: str,
        now_s: float,
        request: GenerateRequest | AppRequest | None = None,
    ) -> None:
        """Note a start with its work."""
        super().record_run(request_id, replica_id, now_s, request)
        seen = SeenRun(time_s=now_s, request_id=request_id, replica_id=replica_id, work=_work(request))
        self.seen.append(seen)


def _work(request: GenerateRequest | AppRequest | None) -> str:
    if request is None:
        return ""
    if isinstance(request, AppRequest):
        return app_work(request)
    return generate_work(request.model, tuple(request.prompt), request.seed)
