"""What routing needs to know of one request, without its content."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec


class WorkItem(msgspec.Struct, kw_only=True, eq=False):
    """One request as queues, admission and schedulers see it."""

    key: int
    """Unique within the daemon."""
    caller: str
    pool: str
    priority_class: str
    interactive: bool
    """A person waits for the answer; other classes are batch classes."""
    prompt_tokens: int
    expected_tokens: int
    """Output tokens expected to be generated from here on."""
    cost: float
    """Tokens charged by fair queueing: weighted prompt plus expected output."""
    enqueued_s: float
    deadline_s: float | None = None
    expires_s: float = float("inf")
    """When it must have been served: its deadline, or its class's longest wait if earlier."""
    model: str = ""
    minimum_version: int = 0
    prefix: Sequence[int] = ()
    """Block hashes of the prompt."""
    avoid: frozenset[str] = frozenset()
    """Replicas that failed this request; used only when no other is left."""

    @property
    def kv_tokens(self) -> int:
        """KV memory that the request is expected to hold at its end."""
        return self.prompt_tokens + self.expected_tokens
