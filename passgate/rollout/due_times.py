"""When something falls due, per key; the earliest time asked for a key counts.

>>> due = DueTimes()
>>> due.plan("r1", 5.0); due.plan("r2", 3.0); due.plan("r1", 4.0); due.plan("r1", 9.0)
>>> due.next_s(), due.take(4.0), due.next_s()
(3.0, ['r2', 'r1'], None)
"""

from __future__ import annotations

import heapq
from typing import Generic, TypeVar

Key = TypeVar("Key")


class DueTimes(Generic[Key]):
    """One due time per key, in order of time."""

    def __init__(self) -> None:
        self._due_s: dict[Key, float] = {}
        self._heap: list[tuple[float, int, Key]] = []
        self._count = 0

    def __contains__(self, key: object) -> bool:
        return key in self._due_s

    def plan(self, key: Key, due_s: float) -> None:
        """Let a key fall due at ``due_s`` unless it does so earlier."""
        planned = self._due_s.get(key)
        if planned is not None and planned <= due_s:
            return
        self._due_s[key] = due_s
        self._count += 1
        heapq.heappush(self._heap, (due_s, self._count, key))

    def cancel(self, key: Key) -> None:
        """Forget a key."""
        self._due_s.pop(key, None)

    def take(self, now_s: float) -> list[Key]:
        """Return and forget the keys that are due."""
        taken = []
        while self._heap and self._heap[0][0] <= now_s:
            due_s, _, key = heapq.heappop(self._heap)
            if self._due_s.get(key) == due_s:
                del self._due_s[key]
                taken.append(key)
        return taken

    def next_s(self) -> float | None:
        """Return when the next key falls due, None when nothing is planned."""
        while self._heap and self._due_s.get(self._heap[0][2]) != self._heap[0][0]:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None
