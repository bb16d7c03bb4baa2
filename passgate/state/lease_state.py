"""Projection of the lease stream: which daemon incarnation holds each role, under which epoch.

A record that takes a role carries the current epoch plus one; of several with the
same epoch the first on the log wins, also when the role is held.  Records of an
older epoch are rejected, so a paused holder can not undo what its successor did.
"""

from __future__ import annotations

import msgspec

from passgate.errors import SupersededEpoch, UnknownRecord
from passgate.records import LeaseReleased, LeaseTaken, Record
from passgate.state.projection import Accepted, Decision, Rejected


class LeaseState(msgspec.Struct, frozen=True):
    """Lease of one role; immutable."""

    epoch: int = 0
    """Epoch of the latest holder; 0 when the role was never held."""
    holder: str = ""
    """Daemon incarnation that holds the role; empty when it is free."""


NEVER_HELD = LeaseState()


def transition(state: LeaseState, offset: int, record: Record) -> tuple[LeaseState, Decision]:
    """Return the lease of the record's role after the record, and the decision on it.

    Pure.  ``record`` holds a LeaseTaken or a LeaseReleased, and ``state`` is the
    lease of the role that it names.
    """
    body = record.body
    if isinstance(body, LeaseTaken) and record.epoch == state.epoch + 1:
        return LeaseState(record.epoch, body.holder), Accepted(offset, record.epoch)
    if isinstance(body, LeaseReleased) and (record.epoch, body.holder) == (state.epoch, state.holder):
        return LeaseState(state.epoch, ""), Accepted(offset, state.epoch)
    error = SupersededEpoch(
        "the record's epoch does not match the epoch of the role",
        epoch=state.epoch,
        holder=state.holder,
        given=record.epoch,
    )
    return state, Rejected(offset, error)


class LeaseProjection:
    """Mapping of each role to its lease, as a projection for a log follower."""

    def __init__(self) -> None:
        self.lease_by_role: dict[str, LeaseState] = {}

    def apply(self, offset: int, record: Record) -> Decision:
        """Apply one record of the lease stream."""
        body = record.body
        if not isinstance(body, LeaseTaken | LeaseReleased):
            return Rejected(offset, UnknownRecord("the record is not a lease record"))
        state, decision = transition(self.lease_by_role.get(body.role, NEVER_HELD), offset, record)
        if state is not NEVER_HELD:
            self.lease_by_role[body.role] = state
        return decision

    def snapshot(self) -> bytes:
        """Return the leases of all roles as JSON."""
        return msgspec.json.encode(self.lease_by_role)

    def restore(self, state: bytes) -> None:
        """Replace all leases by a snapshot; raises ``msgspec.MsgspecError`` when it is not readable."""
        self.lease_by_role = msgspec.json.decode(state, type=dict[str, LeaseState])
