"""Queue of due times with one time per key; the earliest time scheduled for a key applies.

>>> due = TimerQueue()
>>> due.schedule("r1", 5.0); due.schedule("r2", 3.0); due.schedule("r1", 4.0); due.schedule("r1", 9.0)
>>> due.next_due_s(), due.pop_due(4.0), due.next_due_s()
(3.0, ['r2', 'r1'], None)
"""

from __future__ import annotations

import heapq
from typing import Generic, TypeVar

Key = TypeVar("Key")


class TimerQueue(Generic[Key]):
    """Due time of each key, ordered by time."""

    def __init__(self) -> None:
        self._due_s_by_key: dict[Key, float] = {}
        self._heap: list[tuple[float, int, Key]] = []
        self._entry_count = 0

    def __contains__(self, key: object) -> bool:
        return key in self._due_s_by_key

    def schedule(self, key: Key, due_s: float) -> None:
        """Make a key due at ``due_s``; an earlier due time of the key stays."""
        planned = self._due_s_by_key.get(key)
        if planned is not None and planned <= due_s:
            return
        self._due_s_by_key[key] = due_s
        self._entry_count += 1
        heapq.heappush(self._heap, (due_s, self._entry_count, key))

    def cancel(self, key: Key) -> None:
        """Remove a key; without effect when it has no due time."""
        self._due_s_by_key.pop(key, None)

    def pop_due(self, now_s: float) -> list[Key]:
        """Remove and return the keys that are due at ``now_s``, earliest first."""
        taken = []
        while self._heap and self._heap[0][0] <= now_s:
            due_s, _, key = heapq.heappop(self._heap)
            if self._due_s_by_key.get(key) == due_s:
                del self._due_s_by_key[key]
                taken.append(key)
        return taken

    def next_due_s(self) -> float | None:
        """Return the earliest due time, None when no key has one."""
        while self._heap and self._due_s_by_key.get(self._heap[0][2]) != self._heap[0][0]:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None
