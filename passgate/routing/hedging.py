"""Decides which running attempts are hedged, that is, run a second time on another replica.

An attempt is hedged when its stream has stalled, or when another replica that resumes from
the tokens received so far is projected to finish much sooner.  The largest saving goes
first, because a training batch waits for its longest outputs.  The number of concurrent
hedges is limited, and slow streams are hedged only while no request is queued.

>>> planner = HedgePlanner(RoutingPolicy(min_hedge_speedup=2.0))
>>> slow = AttemptProgress(key=1, replica_id="e1", last_chunk_s=9.9, received_tokens=10,
...                        remaining_tokens=100, time_per_token_s=0.2, prompt_tokens=50)
>>> orders = planner.plan([slow], {"e1": 0.2, "e2": 0.02}, has_queued_requests=False, now_s=10.0)
>>> [order.reason.value for order in orders]
['slow']
"""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence

import msgspec

from passgate.routing.policies import RoutingPolicy

MIN_SAVING_S = 1.0
"""Smallest projected saving for which a slow attempt is hedged; a hedge costs another prefill."""
FIRST_CHUNK_TIMEOUT_FACTOR = 3.0
"""Timeout for the first chunk of a batch attempt, as a multiple of that between chunks."""


class HedgeReason(enum.Enum):
    """Why an attempt is hedged."""

    STALLED = "stalled"
    SLOW = "slow"


class AttemptProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of one running attempt that may be hedged."""

    key: int
    """Key of the call, as in :class:`HedgeOrder`."""
    replica_id: str
    last_chunk_s: float
    """Time of the last chunk, or of the start before the first one."""
    received_tokens: int
    """Output tokens received, including those that the attempt resumed from."""
    remaining_tokens: int
    """Output tokens that are expected still."""
    time_per_token_s: float
    """Expected time per output token on its replica."""
    prompt_tokens: int
    interactive: bool = False
    has_output: bool = True
    """Whether a chunk has arrived."""
    replica_has_waiting: bool = False
    """Whether the replica reports waiting requests; an attempt without output may be one of them."""


class HedgeOrder(msgspec.Struct, frozen=True):
    """Request to hedge the running attempt of the call with this key."""

    key: int
    reason: HedgeReason


class HedgePlanner:
    """Chooses attempts to hedge; keeps no state between calls."""

    def __init__(self, policy: RoutingPolicy) -> None:
        self._policy = policy

    def plan(
        self,
        attempts: Sequence[AttemptProgress],
        time_per_token_by_replica_s: Mapping[str, float],
        *,
        has_queued_requests: bool,
        now_s: float,
        running_hedges: int = 0,
    ) -> list[HedgeOrder]:
        """Return the attempts to hedge now: stalled ones, then slow ones by falling saving.

        ``time_per_token_by_replica_s`` has the expected time per output token of each usable
        replica.  Slow attempts are not hedged when ``has_queued_requests``.
        """
        if not self._policy.hedge:
            return []
        free_hedges = max(1, int(self._policy.max_hedge_share * len(attempts))) - running_hedges
        orders = [
            HedgeOrder(attempt.key, HedgeReason.STALLED)
            for attempt in attempts
            if self.is_stalled(attempt, now_s)
        ]
        if not has_queued_requests and len(orders) < free_hedges:
            orders += self._order_slow(attempts, time_per_token_by_replica_s, now_s)
        return orders[: max(free_hedges, 0)]

    def is_stalled(self, attempt: AttemptProgress, now_s: float) -> bool:
        """Whether an attempt has received no chunk for longer than its timeout.

        Before its first chunk, a batch attempt does not stall while its replica reports waiting requests.
        """
        silent_s = now_s - attempt.last_chunk_s
        if attempt.interactive:
            return silent_s > self._policy.interactive_stall_timeout_s
        if attempt.has_output:
            return silent_s > self._policy.stall_timeout_s
        return (
            not attempt.replica_has_waiting
            and silent_s > self._policy.stall_timeout_s * FIRST_CHUNK_TIMEOUT_FACTOR
        )

    def _order_slow(
        self,
        attempts: Sequence[AttemptProgress],
        time_per_token_by_replica_s: Mapping[str, float],
        now_s: float,
    ) -> list[HedgeOrder]:
        savings = []
        for attempt in attempts:
            saving_s = self._saving_s(attempt, time_per_token_by_replica_s)
            if attempt.has_output and saving_s >= MIN_SAVING_S:
                savings.append((saving_s, attempt.key))
        savings.sort(reverse=True)
        return [HedgeOrder(key, HedgeReason.SLOW) for _, key in savings]

    def _saving_s(self, attempt: AttemptProgress, time_per_token_by_replica_s: Mapping[str, float]) -> float:
        """Return how much sooner the fastest other replica would finish.

        Returns 0 without another replica, or when its speedup is below the policy's minimum.
        """
        other_times_s = [
            value
            for replica_id, value in time_per_token_by_replica_s.items()
            if replica_id != attempt.replica_id
        ]
        if not other_times_s:
            return 0.0
        current_s = attempt.remaining_tokens * attempt.time_per_token_s
        prefill_s = (attempt.prompt_tokens + attempt.received_tokens) / self._policy.prefill_tokens_per_s
        hedged_s = prefill_s + attempt.remaining_tokens * min(other_times_s)
        return current_s - hedged_s if current_s >= self._policy.min_hedge_speedup * hedged_s else 0.0
