"""Specification of claims for not-repeatable requests, on the running code's fold.

Three attempts under one key come through different daemons.  Appends are late,
lost and repeated, an attempt may give up while its claim is in doubt, the back
end may refuse, fail or answer, and a process may die between any two steps.

Properties: ``at_most_once``, ``not_run_is_true`` (an attempt that was answered
"not run" never ran), ``own_outcome`` (a replayed outcome is the one of the only
run), ``accepted_once`` (no claim takes effect twice) and ``durable_before_run``
(whatever runs holds the claim on the log).
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

from passgate.check.specification.kernel import Mutant, Specification, Step
from passgate.check.specification.shared_log import SharedLog, Transport, arrivals, send
from passgate.records import (
    Body,
    ClaimCompleted,
    ClaimMade,
    ClaimReleased,
    ClaimUnresolved,
    ProposalWithdrawn,
    Record,
)
from passgate.state.claim_state import ClaimProjection, ClaimState, ClaimStatus
from passgate.state.projection import Accepted

ATTEMPTS = 2
COPIES = (2, 1)
"""How often the claim of each attempt stands on the log at most."""

KEY, DIGEST = "k", "d"

IDLE, CLAIMING, GRANTED, DONE, DEAD = "idle", "claiming", "granted", "done", "dead"
NO_ANSWER, NOT_RUN, RAN, UNKNOWN, REPLAYED, IN_PROGRESS = "", "not_run", "ran", "unknown", "replayed", "busy"


class Attempt(NamedTuple):
    """One call under the key."""

    phase: str = IDLE
    answer: str = NO_ANSWER
    replayed: int = -1
    """Attempt whose outcome was given."""
    ran: bool = False
    applied: int = 0
    claim: int = -1
    ending: int = -1
    """Record that ends or gives back the claim; sent until it is on the log."""


class ClaimModelState(NamedTuple):
    """State of the specification."""

    transport: Transport = Transport()
    attempts: tuple[Attempt, ...] = (Attempt(),) * ATTEMPTS
    runs: int = 0


class _Model:
    """Transitions and properties, with mutants built in."""

    def __init__(self, mutants: frozenset[str]) -> None:
        self.mutants = mutants
        self.log = SharedLog(ClaimProjection, skip_dedupe="skip_dedupe" in mutants)

    # --- transitions -----------------------------------------------------------------

    def transitions(self, state: ClaimModelState) -> list[Step]:
        steps: list[Step] = [
            (label, state._replace(transport=transport))
            for label, transport in arrivals(state.transport, self._copies)
        ]
        for number, attempt in enumerate(state.attempts):
            if attempt.phase == IDLE:
                steps.append((f"claim({number})", self._claim(state, number)))
            elif attempt.phase != DEAD:
                steps += self._active_steps(state, number, attempt)
                steps.append((f"die({number})", _with(state, number, _silent(attempt, DEAD))))
        return steps

    def _copies(self, record: int) -> int:
        made = self.log.record(record)
        return COPIES[int(made.writer[1:])] if isinstance(made.body, ClaimMade) else 1

    def _active_steps(self, state: ClaimModelState, number: int, attempt: Attempt) -> list[Step]:
        steps: list[Step] = []
        waits = attempt.phase == CLAIMING
        if waits and attempt.applied < len(state.transport.log):
            steps.append((f"read({number})", self._read(state, number)))
        if waits and attempt.answer == NO_ANSWER:
            steps.append((f"give_up({number})", self._given_up(state, number, attempt)))
        if attempt.phase == DONE and attempt.ending >= 0:
            transport = send(state.transport, attempt.ending)
            recorded = _with(state, number, attempt._replace(ending=-1))
            steps.append((f"record({number})", recorded._replace(transport=transport)))
        if attempt.phase == GRANTED or (waits and "run_before_confirmed" in self.mutants):
            steps += self._run_steps(state, number, attempt)
        return steps

    def _claim(self, state: ClaimModelState, number: int) -> ClaimModelState:
        record = self._number(number, 1, ClaimMade(key=KEY, request_digest=DIGEST, holder=f"d{number}"))
        attempt = Attempt(phase=CLAIMING, claim=record)
        return _with(state, number, attempt)._replace(transport=send(state.transport, record))

    def _given_up(self, state: ClaimModelState, number: int, attempt: Attempt) -> ClaimModelState:
        """The caller is told "not run"; the claim is withdrawn, or released when it lands first."""
        withdrawal = self._number(number, 1, ProposalWithdrawn())
        given_up = attempt._replace(answer=NOT_RUN)
        return _with(state, number, given_up)._replace(transport=send(state.transport, withdrawal))

    def _run_steps(self, state: ClaimModelState, number: int, attempt: Attempt) -> list[Step]:
        attempt = _silent(attempt, DONE)
        refused = attempt._replace(
            answer=attempt.answer or NOT_RUN, ending=self._number(number, 2, ClaimReleased(key=KEY))
        )
        completed = attempt._replace(
            answer=attempt.answer or RAN, ran=True, ending=self._number(number, 2, _completed(number))
        )
        failure: Body = ClaimUnresolved(key=KEY, code="incomplete_answer")
        if "release_claim_that_ran" in self.mutants:
            failure = ClaimReleased(key=KEY)
        failed = attempt._replace(
            answer=attempt.answer or UNKNOWN, ran=True, ending=self._number(number, 2, failure)
        )
        ran = state._replace(runs=state.runs + 1)
        return [
            (f"refused({number})", _with(state, number, refused)),
            (f"ran({number})", _with(ran, number, completed)),
            (f"ran_and_failed({number})", _with(ran, number, failed)),
        ]

    def _read(self, state: ClaimModelState, number: int) -> ClaimModelState:
        attempt = state.attempts[number]
        attempt = attempt._replace(applied=attempt.applied + 1)
        prefix = state.transport.log[: attempt.applied]
        record = self.log.record(prefix[-1])
        is_own = record.writer == f"d{number}" and record.sequence == 1
        if not is_own or attempt.phase != CLAIMING:
            return _with(state, number, attempt)
        return _with(state, number, self._decided(number, attempt, prefix, record))

    def _decided(self, number: int, attempt: Attempt, prefix: tuple[int, ...], record: Record) -> Attempt:
        view = self.log.view(prefix)
        granted = isinstance(view.decisions[-1], Accepted) and isinstance(record.body, ClaimMade)
        if granted and attempt.answer == NO_ANSWER:
            return attempt._replace(phase=GRANTED)
        if granted and "run_after_not_run" in self.mutants:
            return attempt._replace(phase=GRANTED)
        if granted:
            release = self._number(number, 2, ClaimReleased(key=KEY))
            return _silent(attempt, DONE)._replace(ending=release)
        if attempt.answer != NO_ANSWER:
            return _silent(attempt, DONE)
        if "take_over_from_dead" in self.mutants and view.fold.state.status is ClaimStatus.CLAIMED:
            return attempt._replace(phase=GRANTED)
        return self._earlier(attempt, view.fold.state)

    def _earlier(self, attempt: Attempt, claim: ClaimState) -> Attempt:
        done = _silent(attempt, DONE)
        if claim.status is ClaimStatus.COMPLETED:
            return done._replace(answer=REPLAYED, replayed=claim.outcome.status)
        if claim.status is ClaimStatus.UNRESOLVED:
            return done._replace(answer=UNKNOWN)
        return done._replace(answer=IN_PROGRESS)

    def _number(self, number: int, sequence: int, body: Body) -> int:
        return self.log.number(Record(writer=f"d{number}", sequence=sequence, epoch=0, body=body))

    # --- properties ------------------------------------------------------------------

    def invariants(self) -> dict:
        return {
            "at_most_once": lambda d: d["runs"] <= 1,
            "not_run_is_true": lambda d: not any(a.answer == NOT_RUN and a.ran for a in d["attempts"]),
            "own_outcome": self._own_outcome,
            "accepted_once": self._accepted_once,
            "durable_before_run": self._durable_before_run,
        }

    def _own_outcome(self, d: dict) -> bool:
        return all(
            d["attempts"][attempt.replayed].ran for attempt in d["attempts"] if attempt.answer == REPLAYED
        )

    def _accepted_once(self, d: dict) -> bool:
        accepted = self._accepted(d["transport"].log)
        return len(accepted) == len(set(accepted))

    def _accepted(self, log: tuple[int, ...]) -> list[int]:
        decisions = self.log.view(log).decisions
        return [
            number for number, decision in zip(log, decisions, strict=True) if isinstance(decision, Accepted)
        ]

    def _durable_before_run(self, d: dict) -> bool:
        accepted = self._accepted(d["transport"].log)
        return all(attempt.claim in accepted for attempt in d["attempts"] if attempt.ran)


def _completed(number: int) -> ClaimCompleted:
    return ClaimCompleted(key=KEY, status=number, content_type="", body="")


def _silent(attempt: Attempt, phase: str) -> Attempt:
    """Return an attempt that reads no more; its position is dropped to keep the states few."""
    return attempt._replace(phase=phase, applied=0, ending=-1 if phase == DEAD else attempt.ending)


def _with(state: ClaimModelState, number: int, attempt: Attempt) -> ClaimModelState:
    attempts = tuple(attempt if i == number else old for i, old in enumerate(state.attempts))
    return state._replace(attempts=attempts)


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model."""
    model = _Model(mutants)
    return Protocol(
        name="claims",
        candidate=False,
        fields=ClaimModelState._fields,
        initial=ClaimModelState(),
        transitions=model.transitions,
        invariants=model.invariants(),
        goal=lambda d: all(attempt.answer or attempt.phase == DEAD for attempt in d["attempts"]),
    )


CLAIMS = Specification(
    name="claims",
    bounds="2 attempts, 2 and 1 copies of a claim on the log, any record late or lost, death at any step",
    build=build,
    mutants=(
        Mutant(
            name="run_before_confirmed",
            mistake="a request runs before its claim is confirmed",
            caught_by="durable_before_run",
        ),
        Mutant(
            name="release_claim_that_ran",
            mistake="a claim is released after a run that failed",
            caught_by="at_most_once",
        ),
        Mutant(
            name="take_over_from_dead",
            mistake="a claim of a silent holder is taken over",
            caught_by="at_most_once",
        ),
        Mutant(
            name="run_after_not_run",
            mistake="a claim that lands after the caller was refused still runs",
            caught_by="not_run_is_true",
        ),
        Mutant(name="skip_dedupe", mistake="a repeated claim is applied again", caught_by="accepted_once"),
    ),
)
