"""Errors of callers' requests: invalid requests, refusals, and failures after admission."""

from __future__ import annotations

from passgate.errors.base import ExecutionStatus, PassgateError

# --- invalid requests: 4xx, never run -------------------------------------------


class InvalidRequest(PassgateError):
    """Base class: the request is invalid and was not run."""

    code = "invalid_request"
    http_status = 400
    execution = ExecutionStatus.NOT_RUN


class MalformedBody(InvalidRequest):
    """The body is not the expected JSON document; details may name the ``field``."""

    code = "malformed_body"


class PayloadTooLarge(InvalidRequest):
    """The body is larger than the configured limit."""

    code = "payload_too_large"
    http_status = 413


class HeadersTooLarge(InvalidRequest):
    """The headers are too many or too long."""

    code = "headers_too_large"
    http_status = 431


class BodyTimeout(InvalidRequest):
    """The caller sent its body too slowly."""

    code = "body_timeout"
    http_status = 408


class SelectorSyntaxError(InvalidRequest):
    """A label selector can not be parsed; details give ``selector`` and ``position``."""

    code = "bad_selector"


class Unauthorized(InvalidRequest):
    """A required credential is missing or wrong."""

    code = "unauthorized"
    http_status = 401


class MissingCredential(Unauthorized):
    """The request carries no credential."""

    code = "missing_credential"


class MalformedCredential(Unauthorized):
    """The request's credential is not in the expected form, or the request carries several."""

    code = "malformed_credential"


class UnknownKey(Unauthorized):
    """The request's key belongs to no tenant of the active configuration."""

    code = "unknown_key"


class NotFound(InvalidRequest):
    """The named object does not exist."""

    code = "not_found"
    http_status = 404


class NoMatchingPool(NotFound):
    """No configured pool matches the selector."""

    code = "no_matching_pool"


class KeyReused(InvalidRequest):
    """The idempotency key was used for a different request before."""

    code = "key_reused"
    http_status = 422


class RevisionConflict(InvalidRequest):
    """A concurrent change of the configuration took effect first; details name its ``revision``."""

    code = "revision_conflict"
    http_status = 409


# --- refusals: the service declines to run the request now ----------------------


class Refused(PassgateError):
    """Base class: the request was refused; it did not run and may be sent again."""

    code = "refused"
    http_status = 503
    execution = ExecutionStatus.NOT_RUN


class Overloaded(Refused):
    """A queue is full, or the expected wait exceeds the deadline."""

    code = "overloaded"
    http_status = 429


class NoReplicaAvailable(Refused):
    """No live replica of the pool can take the request."""

    code = "no_replica_available"


class NoReplicaInRegions(NoReplicaAvailable):
    """No live replica in the allowed regions can take the request; replicas elsewhere are not tried."""

    code = "no_replica_in_regions"


class NoRegionAllowed(Refused):
    """The request's route and tenant have no allowed region in common, so no replica may serve it."""

    code = "no_region_allowed"


class RequestQuarantined(Refused):
    """The request is quarantined: replicas crashed while they ran it, so it is not sent for a while."""

    code = "request_quarantined"


class NotReady(Refused):
    """This daemon's state is missing or out of date, for example just after its start."""

    code = "not_ready"


class BodiesElsewhere(NotReady):
    """The job's bodies may not be stored in this daemon's region; a daemon elsewhere holds them."""

    code = "bodies_elsewhere"


class Draining(Refused):
    """This daemon is shutting down and accepts no new work."""

    code = "draining"


class DurabilityUnavailable(Refused):
    """The log is unavailable for a record or a read that the request needs; the request does not run."""

    code = "durability_unavailable"


class BackendRefused(Refused):
    """The back end refused the request before running it."""

    code = "backend_refused"


class ReplicaReplaced(BackendRefused):
    """A different replica listens at the replica's address and refused the request."""

    code = "replica_replaced"


# --- failures after admission ---------------------------------------------------


class ExecutionFailed(PassgateError):
    """Base class: the request was admitted and then failed."""

    code = "execution_failed"
    http_status = 502


class BackendUnreachable(ExecutionFailed):
    """The connection to the back end failed; ``execution`` tells whether the request may have run."""

    code = "backend_unreachable"


class SendForbidden(BackendUnreachable):
    """A rule excluded the replica just before the send; nothing was sent."""

    code = "send_forbidden"


class SendTooLate(SendForbidden):
    """The permit to send had expired when the connection was ready; nothing was sent."""

    code = "send_too_late"


class IncompleteAnswer(ExecutionFailed):
    """The answer is incomplete: it ended early, has a wrong length or can not be decoded."""

    code = "incomplete_answer"


class MovedElsewhere(ExecutionFailed):
    """This daemon abandoned a stream to continue it at a faster replica."""

    code = "moved_elsewhere"


class AnswerMismatch(ExecutionFailed):
    """The answer belongs to another request."""

    code = "answer_mismatch"


class VersionNotReported(ExecutionFailed):
    """The engine did not report the weight version of a part of its output."""

    code = "version_not_reported"


class VersionTooOld(ExecutionFailed):
    """The engine used a weight version older than the request accepts."""

    code = "version_too_old"


class DeadlineExceeded(ExecutionFailed):
    """The deadline of the request passed; ``execution`` tells whether it ran."""

    code = "deadline_exceeded"
    http_status = 504


class Cancelled(ExecutionFailed):
    """The caller cancelled the request."""

    code = "cancelled"
    http_status = 499


class RequestInProgress(PassgateError):
    """A request with the same idempotency key is still running."""

    code = "request_in_progress"
    http_status = 409


class OutcomeUnknown(PassgateError):
    """A request that must not be repeated may have run, and its outcome is unknown."""

    code = "outcome_unknown"
    http_status = 409


class SampleWithdrawn(PassgateError):
    """A sample that was delivered before now exceeds the staleness limit."""

    code = "sample_withdrawn"
    http_status = 409
    execution = ExecutionStatus.RAN
