"""Decides which running attempts are re-issued on another replica.

Two reasons: a stream that has stalled, and a stream that another replica,
starting from the tokens received so far, is projected to finish much sooner.
The few longest outputs hold up a trainer's whole lot, so these are looked at
first.  The number of hedges at once is bounded, a request that may run only once
is never hedged, and slow streams are hedged only while nothing is queued.

>>> planner = HedgePlanner(RoutingPolicy(hedge_gain=2.0))
>>> slow = AttemptProgress(key=1, replica_id="e1", last_piece_s=9.9, received=10, left=100, token_s=0.2,
...                        prompt_tokens=50)
>>> [order.reason.value for order in planner.plan([slow], {"e1": 0.2, "e2": 0.02}, queued=False, now_s=10.0)]
['slow']
"""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence

import msgspec

from passgate.routing.policies import RoutingPolicy

MIN_SAVING_S = 1.0
"""A hedge that saves less is not worth its prefill."""
FIRST_PIECE_FACTOR = 3.0
"""Patience for the first piece, as a multiple of the patience between pieces."""


class HedgeReason(enum.Enum):
    """Why an attempt is re-issued."""

    STALLED = "stalled"
    SLOW = "slow"


class AttemptProgress(msgspec.Struct, frozen=True, kw_only=True):
    """One running attempt that may be hedged."""

    key: int
    replica_id: str
    last_piece_s: float
    """Time of the last piece, or of the start."""
    received: int
    """Output tokens in hand, with those resumed from."""
    left: int
    """Expected tokens still to come."""
    token_s: float
    """Observed time per token of this stream."""
    prompt_tokens: int
    interactive: bool = False
    started: bool = True
    """Whether a piece has arrived."""
    replica_waiting: bool = False
    """Whether requests wait inside the replica; an unstarted attempt may be among them."""


class HedgeOrder(msgspec.Struct, frozen=True):
    """Re-issue this attempt."""

    key: int
    reason: HedgeReason


class HedgePlanner:
    """Chooses attempts to hedge; holds no state between scans."""

    def __init__(self, policy: RoutingPolicy) -> None:
        self._policy = policy

    def plan(
        self,
        attempts: Sequence[AttemptProgress],
        token_s: Mapping[str, float],
        *,
        queued: bool,
        now_s: float,
        running_hedges: int = 0,
    ) -> list[HedgeOrder]:
        """Return the attempts to re-issue now, stalled ones and then the longest first.

        ``token_s`` gives the time per token on each usable replica with room.
        """
        if not self._policy.hedge:
            return []
        allowed = max(1, int(self._policy.hedge_share * len(attempts))) - running_hedges
        orders = [
            HedgeOrder(attempt.key, HedgeReason.STALLED)
            for attempt in attempts
            if self.is_stalled(attempt, now_s)
        ]
        if not queued and len(orders) < allowed:
            orders += self._slow(attempts, token_s, now_s)
        return orders[: max(allowed, 0)]

    def is_stalled(self, attempt: AttemptProgress, now_s: float) -> bool:
        """Whether an attempt has been without a piece for too long."""
        silent_s = now_s - attempt.last_piece_s
        if attempt.interactive:
            return silent_s > self._policy.stall_interactive_s
        if attempt.started:
            return silent_s > self._policy.stall_s
        return not attempt.replica_waiting and silent_s > self._policy.stall_s * FIRST_PIECE_FACTOR

    def _slow(
        self, attempts: Sequence[AttemptProgress], token_s: Mapping[str, float], now_s: float
    ) -> list[HedgeOrder]:
        gains = []
        for attempt in attempts:
            saving_s = self._saving_s(attempt, token_s)
            if attempt.started and saving_s >= MIN_SAVING_S:
                gains.append((saving_s, attempt.key))
        gains.sort(reverse=True)
        return [HedgeOrder(key, HedgeReason.SLOW) for _, key in gains]

    def _saving_s(self, attempt: AttemptProgress, token_s: Mapping[str, float]) -> float:
        """Return how much sooner another replica finishes; 0 when below the policy's gain."""
        others = [value for replica_id, value in token_s.items() if replica_id != attempt.replica_id]
        if not others:
            return 0.0
        here_s = attempt.left * attempt.token_s
        prefill_s = (attempt.prompt_tokens + attempt.received) / self._policy.prefill_tokens_per_s
        there_s = prefill_s + attempt.left * min(others)
        return here_s - there_s if here_s >= self._policy.hedge_gain * there_s else 0.0
