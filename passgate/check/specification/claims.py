"""Specification of the claims for requests that must not run twice; see :mod:`passgate.state.claim_state`.

Two attempts with the same idempotency key go through different daemons.  Appends are late, lost or
duplicated.  An attempt may give up while the outcome of its claim is unknown; the back end may refuse,
complete or fail the request; a daemon may crash at any point.

Invariants:

- ``at_most_once``: the request runs at most once;
- ``not_run_is_true``: an attempt that was answered "not run" did not run the request;
- ``own_outcome``: a replayed outcome is that of an attempt that ran;
- ``accepted_once``: no record is accepted twice;
- ``durable_before_run``: an attempt that ran has an accepted claim on the log.

Liveness: from every state, each attempt can still be answered or its daemon crashes.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

from passgate.check.specification.log_model import LogReplayer, LogState, append_actions, start_append
from passgate.check.specification.model_checker import Action, Mutant, Specification
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

ATTEMPT_COUNT = 2
MAX_COPIES_BY_ATTEMPT = (2, 1)
"""Most copies on the log of each attempt's claim."""

KEY, DIGEST = "k", "d"

IDLE, CLAIMING, GRANTED, DONE, CRASHED = "idle", "claiming", "granted", "done", "crashed"
NO_ANSWER, NOT_RUN, RAN, UNKNOWN, REPLAYED, IN_PROGRESS = "", "not_run", "ran", "unknown", "replayed", "busy"


class Attempt(NamedTuple):
    """One call with the key, and the daemon that handles it."""

    phase: str = IDLE
    answer: str = NO_ANSWER
    """Answer that the caller got; "not run" once the attempt gives up."""
    replayed_attempt: int = -1
    """Attempt whose outcome was replayed; -1 if none."""
    ran: bool = False
    applied_count: int = 0
    """Number of records of the log that were read."""
    claim_id: int = -1
    ending_id: int = -1
    """Record that ends or releases the claim and was not sent yet; -1 if none."""


class ClaimModelState(NamedTuple):
    """State of the model: the log of the key, the attempts, and how often the request has run."""

    log: LogState = LogState()
    attempts: tuple[Attempt, ...] = (Attempt(),) * ATTEMPT_COUNT
    run_count: int = 0


class _Model:
    """Transitions and invariants, with mutants applied."""

    def __init__(self, mutants: frozenset[str]) -> None:
        self.mutants = mutants
        self.replayer = LogReplayer(ClaimProjection, skip_dedupe="skip_dedupe" in mutants)

    # --- transitions -----------------------------------------------------------------

    def transitions(self, state: ClaimModelState) -> list[Action]:
        actions: list[Action] = [
            (label, state._replace(log=log)) for label, log in append_actions(state.log, self._max_copies)
        ]
        for index, attempt in enumerate(state.attempts):
            if attempt.phase == IDLE:
                actions.append((f"claim({index})", self._start_claim(state, index)))
            elif attempt.phase != CRASHED:
                actions += self._attempt_actions(state, index, attempt)
                actions.append(
                    (f"die({index})", _with_attempt(state, index, _stop_reading(attempt, CRASHED)))
                )
        return actions

    def _max_copies(self, record_id: int) -> int:
        record = self.replayer.record(record_id)
        return MAX_COPIES_BY_ATTEMPT[int(record.writer[1:])] if isinstance(record.body, ClaimMade) else 1

    def _attempt_actions(self, state: ClaimModelState, index: int, attempt: Attempt) -> list[Action]:
        actions: list[Action] = []
        is_claiming = attempt.phase == CLAIMING
        if is_claiming and attempt.applied_count < len(state.log.records):
            actions.append((f"read({index})", self._read_next(state, index)))
        if is_claiming and attempt.answer == NO_ANSWER:
            actions.append((f"give_up({index})", self._give_up(state, index, attempt)))
        if attempt.phase == DONE and attempt.ending_id >= 0:
            log = start_append(state.log, attempt.ending_id)
            without_ending = _with_attempt(state, index, attempt._replace(ending_id=-1))
            actions.append((f"record({index})", without_ending._replace(log=log)))
        if attempt.phase == GRANTED or (is_claiming and "run_before_confirmed" in self.mutants):
            actions += self._run_actions(state, index, attempt)
        return actions

    def _start_claim(self, state: ClaimModelState, index: int) -> ClaimModelState:
        claim_id = self._record_id(index, 1, ClaimMade(key=KEY, request_digest=DIGEST, holder=f"d{index}"))
        attempt = Attempt(phase=CLAIMING, claim_id=claim_id)
        return _with_attempt(state, index, attempt)._replace(log=start_append(state.log, claim_id))

    def _give_up(self, state: ClaimModelState, index: int, attempt: Attempt) -> ClaimModelState:
        """Answer "not run" and withdraw the claim.

        The withdrawal has the claim's sequence, so of the two only the first on the log takes effect.  If
        that is the claim, it is released when it is read.
        """
        withdrawal_id = self._record_id(index, 1, ProposalWithdrawn())
        given_up = attempt._replace(answer=NOT_RUN)
        return _with_attempt(state, index, given_up)._replace(log=start_append(state.log, withdrawal_id))

    def _run_actions(self, state: ClaimModelState, index: int, attempt: Attempt) -> list[Action]:
        attempt = _stop_reading(attempt, DONE)
        refused = attempt._replace(
            answer=attempt.answer or NOT_RUN, ending_id=self._record_id(index, 2, ClaimReleased(key=KEY))
        )
        completed = attempt._replace(
            answer=attempt.answer or RAN, ran=True, ending_id=self._record_id(index, 2, _make_outcome(index))
        )
        failure: Body = ClaimUnresolved(key=KEY, code="incomplete_answer")
        if "release_claim_that_ran" in self.mutants:
            failure = ClaimReleased(key=KEY)
        failed = attempt._replace(
            answer=attempt.answer or UNKNOWN, ran=True, ending_id=self._record_id(index, 2, failure)
        )
        run_state = state._replace(run_count=state.run_count + 1)
        return [
            (f"refused({index})", _with_attempt(state, index, refused)),
            (f"ran({index})", _with_attempt(run_state, index, completed)),
            (f"ran_and_failed({index})", _with_attempt(run_state, index, failed)),
        ]

    def _read_next(self, state: ClaimModelState, index: int) -> ClaimModelState:
        attempt = state.attempts[index]
        attempt = attempt._replace(applied_count=attempt.applied_count + 1)
        prefix = state.log.records[: attempt.applied_count]
        record = self.replayer.record(prefix[-1])
        is_own = record.writer == f"d{index}" and record.sequence == 1
        if not is_own or attempt.phase != CLAIMING:
            return _with_attempt(state, index, attempt)
        return _with_attempt(state, index, self._apply_decision(index, attempt, prefix, record))

    def _apply_decision(
        self, index: int, attempt: Attempt, prefix: tuple[int, ...], record: Record
    ) -> Attempt:
        view = self.replayer.view(prefix)
        granted = isinstance(view.decisions[-1], Accepted) and isinstance(record.body, ClaimMade)
        if granted and attempt.answer == NO_ANSWER:
            return attempt._replace(phase=GRANTED)
        if granted and "run_after_not_run" in self.mutants:
            return attempt._replace(phase=GRANTED)
        if granted:
            release_id = self._record_id(index, 2, ClaimReleased(key=KEY))
            return _stop_reading(attempt, DONE)._replace(ending_id=release_id)
        if attempt.answer != NO_ANSWER:
            return _stop_reading(attempt, DONE)
        if "take_over_from_dead" in self.mutants and view.projection.state.status is ClaimStatus.CLAIMED:
            return attempt._replace(phase=GRANTED)
        return self._answer_from_earlier_claim(attempt, view.projection.state)

    def _answer_from_earlier_claim(self, attempt: Attempt, claim: ClaimState) -> Attempt:
        done = _stop_reading(attempt, DONE)
        if claim.status is ClaimStatus.COMPLETED:
            return done._replace(answer=REPLAYED, replayed_attempt=claim.outcome.status)
        if claim.status is ClaimStatus.UNRESOLVED:
            return done._replace(answer=UNKNOWN)
        return done._replace(answer=IN_PROGRESS)

    def _record_id(self, index: int, sequence: int, body: Body) -> int:
        return self.replayer.record_id(Record(writer=f"d{index}", sequence=sequence, epoch=0, body=body))

    # --- properties ------------------------------------------------------------------

    def invariants(self) -> dict:
        return {
            "at_most_once": lambda fields: fields["run_count"] <= 1,
            "not_run_is_true": lambda fields: (
                not any(attempt.answer == NOT_RUN and attempt.ran for attempt in fields["attempts"])
            ),
            "own_outcome": self._own_outcome,
            "accepted_once": self._accepted_once,
            "durable_before_run": self._durable_before_run,
        }

    def _own_outcome(self, fields: dict) -> bool:
        return all(
            fields["attempts"][attempt.replayed_attempt].ran
            for attempt in fields["attempts"]
            if attempt.answer == REPLAYED
        )

    def _accepted_once(self, fields: dict) -> bool:
        accepted = self._accepted_ids(fields["log"].records)
        return len(accepted) == len(set(accepted))

    def _accepted_ids(self, records: tuple[int, ...]) -> list[int]:
        decisions = self.replayer.view(records).decisions
        return [
            record_id
            for record_id, decision in zip(records, decisions, strict=True)
            if isinstance(decision, Accepted)
        ]

    def _durable_before_run(self, fields: dict) -> bool:
        accepted = self._accepted_ids(fields["log"].records)
        return all(attempt.claim_id in accepted for attempt in fields["attempts"] if attempt.ran)


def _make_outcome(index: int) -> ClaimCompleted:
    # The status names the attempt, so that a replay shows whose outcome it is.
    return ClaimCompleted(key=KEY, status=index, content_type="", body="")


def _stop_reading(attempt: Attempt, phase: str) -> Attempt:
    """Return an attempt that no longer reads; its position is cleared to reduce the number of states."""
    return attempt._replace(
        phase=phase, applied_count=0, ending_id=-1 if phase == CRASHED else attempt.ending_id
    )


def _with_attempt(state: ClaimModelState, index: int, attempt: Attempt) -> ClaimModelState:
    attempts = tuple(attempt if i == index else old for i, old in enumerate(state.attempts))
    return state._replace(attempts=attempts)


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model with the named mutants applied."""
    model = _Model(mutants)
    return Protocol(
        name="claims",
        candidate=False,
        fields=ClaimModelState._fields,
        initial=ClaimModelState(),
        transitions=model.transitions,
        invariants=model.invariants(),
        goal=lambda fields: all(attempt.answer or attempt.phase == CRASHED for attempt in fields["attempts"]),
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
