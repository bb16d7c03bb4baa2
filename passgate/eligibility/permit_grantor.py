"""The daemon that grants permits to send to cold replicas: the one that leads the control topic."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, PermitsBegan
from passgate.eligibility.cold_replicas import ColdLimit
from passgate.eligibility.permits import PermitGrants, PermitTally


class AskPermits(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Asks for permits, at any of some replicas."""

    count: int = 0
    replicas: dict[str, str] = {}
    """Replica to its service."""
    tell_cold: bool = False
    """Whether the asker may not know which replicas are cold."""


class PermitsGiven(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answers a question for permits."""

    granted: dict[str, int] | None = None
    """Replica to permits; None from a daemon that does not lead."""
    leader: str = ""
    """Writer that leads, as far as a daemon that does not lead knows."""
    cold_ms: dict[str, int] = {}
    """Replica to the time for which it stays cold, if that was asked for."""


class Lead(Protocol):
    """The lease of the one daemon that may grant."""

    @property
    def fence(self) -> int:
        """Number that rises with each leader."""
        ...

    def may_order(self) -> bool:
        """Whether this daemon leads, and no other daemon can."""
        ...


class PermitGrantor:
    """Answers questions for permits while this daemon leads."""

    def __init__(
        self,
        lead: Lead,
        leader: Callable[[], str],
        limit_of: Callable[[str], ColdLimit | None],
        cold_ms: Callable[[], dict[str, int]],
        tally: PermitTally,
        decisions: DecisionLog,
    ) -> None:
        """Connect the grantor.

        Args:
            lead: the lease.
            leader: returns the writer that leads, as this daemon knows it.
            limit_of: returns the limit of a service, if it has one.
            cold_ms: returns the cold replicas, with the time for which they stay so.
            tally: where permits are counted.
            decisions: where decisions are noted.
        """
        self._lead = lead
        self._leader = leader
        self._limit_of = limit_of
        self._cold_ms = cold_ms
        self._tally = tally
        self._decisions = decisions
        self._grants = PermitGrants()
        self._began_fence: int | None = None

    def tick(self) -> None:
        """Note whether this daemon leads; to be called often, as a new leader waits from when it is noted."""
        now_s = monotonic_s()
        self._grants.forget_old(now_s)
        if self._note_lead(now_s) and self._grants.ready(now_s) and self._began_fence != self._lead.fence:
            self._began_fence = self._lead.fence
            self._decisions.write(PermitsBegan(fence=self._lead.fence))

    def _note_lead(self, now_s: float) -> bool:
        """Note whether this daemon leads, and return it."""
        may_order = self._lead.may_order()
        self._grants.lead(self._lead.fence if may_order else None, now_s)
        return may_order

    def answer(self, asker: str, question: AskPermits) -> PermitsGiven:
        """Answer a daemon, by its address."""
        if not self._note_lead(monotonic_s()):
            return PermitsGiven(leader=self._leader())
        limits = {}
        for replica_id, service in question.replicas.items():
            limit = self._limit_of(service)
            if limit is not None:
                limits[replica_id] = limit.most_per_s
        granted = self._grants.grant(asker, limits, question.count, monotonic_s())
        self._tally.given += sum(granted.values())
        self._tally.refused += question.count > 0 and not granted
        cold_ms = self._cold_ms() if question.tell_cold else {}
        return PermitsGiven(granted=granted, cold_ms=cold_ms)
