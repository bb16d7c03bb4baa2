"""Fold of the lease stream: which process run holds each role, under which epoch.

A role is taken by naming the next epoch; of several that name it, the first on
the log wins.  Everything done under an older epoch is void for all readers, so a
paused holder that still believes in its lease does no harm.
"""

from __future__ import annotations

import msgspec

from passgate.errors import SupersededEpoch, UnknownRecord
from passgate.records import LeaseReleased, LeaseTaken, Record
from passgate.state.fold import Accepted, Decision, Rejected


class LeaseState(msgspec.Struct, frozen=True):
    """State of one role; immutable."""

    epoch: int = 0
    """Epoch of the latest holder; 0 when the role was never held."""
    holder: str = ""
    """Process run that holds the role; empty when it is free."""


NEVER_HELD = LeaseState()


def transition(state: LeaseState, offset: int, record: Record) -> tuple[LeaseState, Decision]:
    """Return the state of the record's role after it, and the decision; pure."""
    body = record.body
    if isinstance(body, LeaseTaken) and record.epoch == state.epoch + 1:
        return LeaseState(record.epoch, body.holder), Accepted(offset, record.epoch)
    if isinstance(body, LeaseReleased) and (record.epoch, body.holder) == (state.epoch, state.holder):
        return LeaseState(state.epoch, ""), Accepted(offset, state.epoch)
    error = SupersededEpoch(
        "the role is under another epoch", epoch=state.epoch, holder=state.holder, given=record.epoch
    )
    return state, Rejected(offset, error)


class LeaseFold:
    """States of all roles, for a log follower."""

    def __init__(self) -> None:
        self.roles: dict[str, LeaseState] = {}

    def apply(self, offset: int, record: Record) -> Decision:
        """Apply one record of the lease stream."""
        body = record.body
        if not isinstance(body, LeaseTaken | LeaseReleased):
            return Rejected(offset, UnknownRecord("not a lease record"))
        state, decision = transition(self.roles.get(body.role, NEVER_HELD), offset, record)
        if state is not NEVER_HELD:
            self.roles[body.role] = state
        return decision

    def snapshot(self) -> bytes:
        """Return all roles as JSON."""
        return msgspec.json.encode(self.roles)

    def restore(self, state: bytes) -> None:
        """Replace the state by a snapshot."""
        self.roles = msgspec.json.decode(state, type=dict[str, LeaseState])
