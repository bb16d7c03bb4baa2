"""What one failed attempt says about its replica and about trying again."""

from __future__ import annotations

import enum

from passgate.errors import (
    AnswerMismatch,
    BackendRefused,
    BackendUnreachable,
    DeadlineExceeded,
    ExecutionStatus,
    InvalidRequest,
    PassgateError,
    VersionTooOld,
)
from passgate.routing.work_scheduler import WorkScheduler

BUSY_HOLD_OFF_S = 0.5
"""Nothing is sent to a replica for this long after it refused for lack of room."""
UNUSABLE_HOLD_OFF_S = 2.0
"""The same for one that has no usable weights."""
FINAL_REFUSALS = frozenset({"too_long"})
"""Refusals that every replica of the pool would repeat."""
FINAL_STATUSES = frozenset({"400", "405", "413", "422"})
"""HTTP statuses of a refusal that is about the request and not about the replica."""
FINAL_REPORTS = frozenset({"invalid_request", "malformed_body", "payload_too_large"})
"""Error codes in a back end's own words, to the same effect."""
LEAVING_REFUSALS = frozenset({"draining", "leaving", "stopping"})
UNUSABLE_REFUSALS = frozenset({"model_not_loaded", "down"})


class Verdict(enum.Enum):
    """What to do about a failed attempt."""

    FINAL = "final"
    """Another attempt would fail alike."""
    RETRY = "retry"
    """Another replica may do better; tokens received so far are good."""
    RESTART = "restart"
    """Another replica may do better; this attempt's tokens are not to be trusted."""


def judge_failure(
    error: PassgateError, replica_id: str, model: str, scheduler: WorkScheduler, now_s: float
) -> Verdict:
    """Record what the failure says about the replica and return what to do."""
    if isinstance(error, BackendRefused):
        return _judge_refusal(error, replica_id, scheduler, now_s)
    if isinstance(error, InvalidRequest | DeadlineExceeded):
        return Verdict.FINAL
    if isinstance(error, VersionTooOld):
        scheduler.tracker.observe_version(replica_id, model, int(error.details.get("version", "0")))
        return Verdict.RETRY
    unreachable = isinstance(error, BackendUnreachable) and error.execution is ExecutionStatus.NOT_RUN
    scheduler.health.record_failure(replica_id, now_s, unreachable=unreachable)
    return Verdict.RESTART if isinstance(error, AnswerMismatch) else Verdict.RETRY


def _judge_refusal(error: BackendRefused, replica_id: str, scheduler: WorkScheduler, now_s: float) -> Verdict:
    reason = error.details.get("reason", "")
    if reason in FINAL_REFUSALS or _is_about_request(error):
        return Verdict.FINAL
    if reason in LEAVING_REFUSALS:
        scheduler.directory.observe_refusal(replica_id, now_s)
    elif reason in UNUSABLE_REFUSALS:
        scheduler.health.hold_off(replica_id, now_s + UNUSABLE_HOLD_OFF_S)
    else:
        scheduler.health.hold_off(replica_id, now_s + (error.retry_after_s or BUSY_HOLD_OFF_S))
    return Verdict.RETRY


def _is_about_request(error: BackendRefused) -> bool:
    details = error.details
    return details.get("status", "") in FINAL_STATUSES or details.get("reported", "") in FINAL_REPORTS
