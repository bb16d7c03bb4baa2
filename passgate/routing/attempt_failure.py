"""Records what a failed attempt shows about its replica, and decides whether to retry the request."""

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
"""Time without requests to a replica that refused one, unless the refusal states a retry time."""
UNUSABLE_HOLD_OFF_S = 2.0
"""Time without requests to a replica that is down or has not loaded the model."""
FINAL_REASONS = frozenset({"too_long"})
"""Refusal reasons that every replica of the pool would repeat."""
FINAL_STATUSES = frozenset({"400", "405", "413", "422"})
"""HTTP statuses of a refusal that is caused by the request, not by the replica."""
FINAL_ERROR_CODES = frozenset({"invalid_request", "malformed_body", "payload_too_large"})
"""Error codes, as reported by a back end, of a refusal that is caused by the request."""
LEAVING_REASONS = frozenset({"draining", "leaving", "stopping"})
"""Refusal reasons of a replica that shuts down or is being drained."""
UNUSABLE_REASONS = frozenset({"model_not_loaded", "down"})
"""Refusal reasons of a replica that can not serve the model for now."""


class RetryDecision(enum.Enum):
    """Whether and how a request is retried after a failed attempt."""

    GIVE_UP = "give_up"
    """Another attempt would fail in the same way."""
    RETRY = "retry"
    """Retry on another replica; the tokens received so far may be resumed from."""
    RESTART = "restart"
    """Retry on another replica; the tokens of this attempt must not be used."""


def handle_failure(
    error: PassgateError, replica_id: str, model: str, scheduler: WorkScheduler, now_s: float
) -> RetryDecision:
    """Record the failure with the replica's health, load or directory entry, and return how to go on.

    A failure that is caused by the request itself is not recorded against the replica.
    """
    if isinstance(error, BackendRefused):
        return _handle_refusal(error, replica_id, scheduler, now_s)
    if isinstance(error, InvalidRequest | DeadlineExceeded):
        return RetryDecision.GIVE_UP
    if isinstance(error, VersionTooOld):
        scheduler.load_tracker.record_version(replica_id, model, int(error.details.get("version", "0")))
        return RetryDecision.RETRY
    unreachable = isinstance(error, BackendUnreachable) and error.execution is ExecutionStatus.NOT_RUN
    scheduler.health.record_failure(replica_id, now_s, unreachable=unreachable)
    return RetryDecision.RESTART if isinstance(error, AnswerMismatch) else RetryDecision.RETRY


def _handle_refusal(
    error: BackendRefused, replica_id: str, scheduler: WorkScheduler, now_s: float
) -> RetryDecision:
    reason = error.details.get("reason", "")
    if reason in FINAL_REASONS or _is_request_error(error):
        return RetryDecision.GIVE_UP
    if reason in LEAVING_REASONS:
        scheduler.directory.record_refusal(replica_id, now_s)
    elif reason in UNUSABLE_REASONS:
        scheduler.health.hold_off(replica_id, now_s + UNUSABLE_HOLD_OFF_S)
    else:
        scheduler.health.hold_off(replica_id, now_s + (error.retry_after_s or BUSY_HOLD_OFF_S))
    return RetryDecision.RETRY


def _is_request_error(error: BackendRefused) -> bool:
    details = error.details
    return details.get("status", "") in FINAL_STATUSES or details.get("reported", "") in FINAL_ERROR_CODES
