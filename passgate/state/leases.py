"""Roles held by one daemon at a time, such as ordering the engines of a pool.

::

    epoch = await leases.take("pool/modelos", timeout_s=2.0)
    order = EngineOrder(..., fence=epoch)

A lease is not renewed.  Its holder keeps it until it releases it or membership
declares the holder dead; then the next candidate takes the following epoch.
Whoever acts under an epoch must carry it as fence in everything it sends.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

import msgspec
import xxhash

from passgate.errors import SupersededEpoch
from passgate.interfaces import LogClient
from passgate.records import LeaseReleased, LeaseTaken, Record
from passgate.state.fold import Accepted, Decision, Rejected
from passgate.state.lease_state import NEVER_HELD, LeaseFold
from passgate.state.log_follower import LogFollower

STREAM = "leases"
RELEASE_TIMEOUT_S = 5.0


class LeaseHolder(msgspec.Struct, frozen=True):
    """Who holds a role."""

    holder: str
    epoch: int


class LeaseService:
    """Follows all leases, takes and releases them for one process run.

    ``live_members`` returns the identifiers of the process runs that membership
    believes to be alive, this one included.
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
        self._fold = LeaseFold()
        self.follower = LogFollower(
            log,
            STREAM,
            self._fold,
            daemon_id,
            use_snapshots=True,
            on_applied=self._applied,
            random=random,
        )

    def start(self) -> None:
        """Begin to follow the leases."""
        self.follower.start()

    async def close(self) -> None:
        """Stop following; leases stay held until released or taken over."""
        await self.follower.close()

    async def take(self, role: str, timeout_s: float) -> int:
        """Take a role that is free or whose holder is dead; return the epoch.

        A role already held by this process run is returned as it is.

        Raises:
            SupersededEpoch: a live daemon holds it or another was first; details name it.
            DurabilityUnavailable, DurabilityUnknown: as for every proposal.
        """
        held = self.held_epoch(role)
        if held is not None:
            return held
        current = self._fold.roles.get(role, NEVER_HELD)
        if current.holder and current.holder in self._live_members():
            raise SupersededEpoch("a live daemon holds the role", epoch=current.epoch, holder=current.holder)
        body = LeaseTaken(role=role, holder=self._daemon_id)
        decision = await self.follower.propose(body, epoch=current.epoch + 1, timeout_s=timeout_s)
        if isinstance(decision, Rejected):
            raise decision.error
        return current.epoch + 1

    async def release(self, role: str) -> None:
        """Give a held role up; does nothing when it is not held any more."""
        epoch = self.held_epoch(role)
        if epoch is None:
            return
        body = LeaseReleased(role=role, holder=self._daemon_id)
        await self.follower.propose(body, epoch=epoch, timeout_s=RELEASE_TIMEOUT_S)

    async def release_all(self) -> None:
        """Give all held roles up, for a planned stop."""
        for role in [name for name, state in self._fold.roles.items() if state.holder == self._daemon_id]:
            await self.release(role)

    def holder(self, role: str) -> LeaseHolder | None:
        """Return who holds the role as far as this daemon has read."""
        state = self._fold.roles.get(role, NEVER_HELD)
        return LeaseHolder(state.holder, state.epoch) if state.holder else None

    def held_epoch(self, role: str) -> int | None:
        """Return the epoch under which this process run holds the role."""
        state = self._fold.roles.get(role, NEVER_HELD)
        return state.epoch if state.holder == self._daemon_id else None

    def check(self, role: str, epoch: int) -> None:
        """Raise SupersededEpoch when ``epoch`` is known to be over.

        This spares useless work; safety comes from the fence alone, since a
        holder may be paused right after the check.
        """
        if self.held_epoch(role) != epoch:
            state = self._fold.roles.get(role, NEVER_HELD)
            raise SupersededEpoch("the lease is over", role=role, epoch=state.epoch, holder=state.holder)

    def next_candidate(self, role: str) -> str | None:
        """Return the live process run that should hold the role, by rendezvous hashing.

        The holder keeps its role while it lives; among the others the highest
        hash of role and member wins, so that roles spread evenly and few move.
        """
        members = self._live_members()
        current = self._fold.roles.get(role, NEVER_HELD)
        if current.holder in members:
            return current.holder
        return max(members, key=lambda member: (_weight(role, member), member), default=None)

    def should_take(self, role: str) -> bool:
        """Return whether this process run is the candidate and does not hold the role yet."""
        return self.held_epoch(role) is None and self.next_candidate(role) == self._daemon_id

    def _applied(self, offset: int, record: Record, decision: Decision) -> None:
        body = record.body
        if self._on_change is None or not isinstance(decision, Accepted):
            return
        if isinstance(body, LeaseTaken | LeaseReleased):
            self._on_change(body.role, self.holder(body.role))


def _weight(role: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{role}\0{member}".encode())
