"""Execution record of the back ends with a digest of each request's work, for other processes.

A back end knows only the request identifier that passgate gave it.  A caller whose
daemon crashed never received that identifier; the digest still relates the execution
to the call.

>>> feed = RunFeed()
>>> feed.record_run("a-1-7f", "engine-0", 1.5)
>>> feed.run_starts[0].replica_id, feed.run_starts[0].work
('engine-0', '')
"""

from __future__ import annotations

import msgspec
import xxhash

from passgate.emulator.admin_messages import RunStart
from passgate.emulator.app_model import expected_app_body
from passgate.emulator.run_recorder import RunRecorder
from passgate.schema import AppRequest, GenerateRequest


def generate_work_digest(model: str, prompt: tuple[int, ...], seed: int | None) -> str:
    """Return the digest of a generate request's model, prompt and seed."""
    return xxhash.xxh64_hexdigest(msgspec.json.encode((model, prompt, seed)))


def app_work_digest(request: AppRequest) -> str:
    """Return the digest of the only correct response to a call, which callers record too."""
    return xxhash.xxh64_hexdigest(expected_app_body(request))


class RunFeed(RunRecorder):
    """Execution record that also lists each start with its work digest, in order."""

    def __init__(self) -> None:
        super().__init__()
        self.run_starts: list[RunStart] = []
        """Read through the administration port."""

    def record_run(
        self,
        request_id: str,
        replica_id: str,
        now_s: float,
        request: GenerateRequest | AppRequest | None = None,
    ) -> None:
        """Record that a replica starts to execute a request, with the digest of the request's work.

        Without a ``request`` the digest is empty.
        """
        super().record_run(request_id, replica_id, now_s, request)
        start = RunStart(
            time_s=now_s, request_id=request_id, replica_id=replica_id, work=_work_digest(request)
        )
        self.run_starts.append(start)


def _work_digest(request: GenerateRequest | AppRequest | None) -> str:
    if request is None:
        return ""
    if isinstance(request, AppRequest):
        return app_work_digest(request)
    return generate_work_digest(request.model, tuple(request.prompt), request.seed)
