"""Attributes of one request that queues, admission and schedulers use."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec


class WorkItem(msgspec.Struct, kw_only=True, eq=False):
    """One attempt of a request to be queued or placed, without its content."""

    key: int
    """Unique within the daemon."""
    caller: str
    pool: str
    priority_class: str
    interactive: bool
    """Whether the priority class is interactive; the others are batch classes."""
    prompt_tokens: int
    expected_tokens: int
    """Output tokens that are expected still."""
    cost: float
    """Estimated charge of fair queueing in tokens: weighted prompt plus expected output."""
    enqueued_s: float
    deadline_s: float | None = None
    queue_deadline_s: float = float("inf")
    """Time at which its class's longest wait ends; set when it is queued."""
    model: str = ""
    minimum_version: int = 0
    prompt_block_hashes: Sequence[int] = ()
    """See :func:`passgate.routing.prefix.block_hashes`; empty without prefix affinity."""
    replicas_to_avoid: frozenset[str] = frozenset()
    """Replicas on which an attempt of the request failed; chosen only when no other has capacity."""

    @property
    def kv_tokens(self) -> int:
        """Tokens of KV memory that the request is expected to hold at its end."""
        return self.prompt_tokens + self.expected_tokens
