"""Leases: roles that one daemon holds at a time, such as sending orders to the engines of a pool.

::

    epoch = await leases.take("pool/modelos", timeout_s=2.0)
    order = EngineOrder(..., fence=epoch)

A lease has no expiry time.  It ends when its holder releases it, or when another
daemon takes the next epoch after membership declared the holder dead.  A paused holder
may still act under its old epoch, so everything that it sends must carry the epoch as
a fence, and receivers must refuse older fences.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

import msgspec
import xxhash

from passgate.errors import SupersededEpoch
from passgate.interfaces import LogClient
from passgate.records import LeaseReleased, LeaseTaken, Record
from passgate.state.lease_state import NEVER_HELD, LeaseProjection
from passgate.state.log_follower import LogFollower
from passgate.state.projection import Accepted, Decision, Rejected

STREAM = "leases"
RELEASE_TIMEOUT_S = 5.0


class LeaseHolder(msgspec.Struct, frozen=True):
    """Daemon incarnation that holds a role, and its epoch."""

    holder: str
    epoch: int


class LeaseService:
    """Follows the leases of all roles; takes and releases them for this daemon.

    ``daemon_id`` identifies this incarnation of the daemon.  ``live_members`` returns
    the identifiers of all incarnations that membership considers alive, this one
    included.  ``on_change`` is called with a role and its holder, None when it is
    free, after each accepted record about the role.
    """

    def __init__(
        self,
        log: LogClient,
        daemon_id: str,
        live_members: Callable[[], Sequence[str]],
        random: Random | None = None,
        on_change: Callable[[str, LeaseHolder | None], None] | None = None,
    ) -> None:
        self._daemon_id = daemon_id
        self._live_members = live_members
        self._on_change = on_change
        self._projection = LeaseProjection()
        self.follower = LogFollower(
            log,
            STREAM,
            self._projection,
            daemon_id,
            use_snapshots=True,
            on_applied=self._notify_change,
            random=random,
        )

    def start(self) -> None:
        """Start to follow the lease stream."""
        self.follower.start()

    async def close(self) -> None:
        """Stop following.  Held leases are not released; other daemons see them as held."""
        await self.follower.close()

    async def take(self, role: str, timeout_s: float) -> int:
        """Take a role that is free or whose holder is dead; return the epoch.

        Returns the current epoch when this daemon already holds the role.

        Raises:
            SupersededEpoch: a live daemon holds the role, or another daemon took this
                epoch first; details name ``epoch`` and ``holder``.
            DurabilityUnavailable: the lease is not on the log and never will be.
            DurabilityUnknown: ``timeout_s`` passed and the lease may be on the log.
        """
        held_epoch = self.held_epoch(role)
        if held_epoch is not None:
            return held_epoch
        current = self._projection.lease_by_role.get(role, NEVER_HELD)
        if current.holder and current.holder in self._live_members():
            raise SupersededEpoch("a live daemon holds the role", epoch=current.epoch, holder=current.holder)
        body = LeaseTaken(role=role, holder=self._daemon_id)
        decision = await self.follower.propose(body, epoch=current.epoch + 1, timeout_s=timeout_s)
        if isinstance(decision, Rejected):
            raise decision.error
        return current.epoch + 1

    async def release(self, role: str) -> None:
        """Release a role; does nothing when this daemon does not hold it.

        Raises:
            DurabilityUnavailable: the release is not on the log and never will be.
            DurabilityUnknown: the release may be on the log.
        """
        epoch = self.held_epoch(role)
        if epoch is None:
            return
        body = LeaseReleased(role=role, holder=self._daemon_id)
        await self.follower.propose(body, epoch=epoch, timeout_s=RELEASE_TIMEOUT_S)

    async def release_all(self) -> None:
        """Release all held roles, for a graceful shutdown; stops at the first error of :meth:`release`."""
        for role in [
            name for name, state in self._projection.lease_by_role.items() if state.holder == self._daemon_id
        ]:
            await self.release(role)

    def holder(self, role: str) -> LeaseHolder | None:
        """Return the holder of the role in the records read so far; None when the role is free."""
        state = self._projection.lease_by_role.get(role, NEVER_HELD)
        return LeaseHolder(state.holder, state.epoch) if state.holder else None

    def held_epoch(self, role: str) -> int | None:
        """Return the epoch under which this daemon holds the role; None when it does not."""
        state = self._projection.lease_by_role.get(role, NEVER_HELD)
        return state.epoch if state.holder == self._daemon_id else None

    def check(self, role: str, epoch: int) -> None:
        """Raise SupersededEpoch unless this daemon is known to hold the role under ``epoch``.

        The check avoids useless work only.  Safety comes from the fence, because
        another daemon may take the role right after the check.
        """
        if self.held_epoch(role) != epoch:
            state = self._projection.lease_by_role.get(role, NEVER_HELD)
            raise SupersededEpoch(
                "this daemon does not hold the role under the given epoch",
                role=role,
                epoch=state.epoch,
                holder=state.holder,
            )

    def next_candidate(self, role: str) -> str | None:
        """Return the live member that should hold the role; None when there is no live member.

        A live holder keeps its role.  For other roles rendezvous hashing picks the
        member, which spreads roles evenly and moves few when members come and go.
        """
        members = self._live_members()
        current = self._projection.lease_by_role.get(role, NEVER_HELD)
        if current.holder in members:
            return current.holder
        return max(members, key=lambda member: (_rendezvous_weight(role, member), member), default=None)

    def should_take(self, role: str) -> bool:
        """Return whether this daemon is the next candidate and does not hold the role yet."""
        return self.held_epoch(role) is None and self.next_candidate(role) == self._daemon_id

    def _notify_change(self, offset: int, record: Record, decision: Decision) -> None:
        body = record.body
        if self._on_change is None or not isinstance(decision, Accepted):
            return
        if isinstance(body, LeaseTaken | LeaseReleased):
            self._on_change(body.role, self.holder(body.role))


def _rendezvous_weight(role: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{role}\0{member}".encode())
