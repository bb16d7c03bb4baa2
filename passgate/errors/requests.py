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
    """The body, or the value of a field in it, is malformed; details may name the ``field``."""

    code = "malformed_body"


class PayloadTooLarge(InvalidRequest):
    """The body, or the lot that it would open, exceeds a size limit."""

    code = "payload_too_large"
    http_status = 413


class HeadersTooLarge(InvalidRequest):
    """The headers are too many or too long."""

    code = "headers_too_large"
    http_status = 431


class BodyTimeout(InvalidRequest):
    """The body was not completely received before its timeout."""

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
    """The request's credential is not in the expected form, or the request carries several credentials."""

    code = "malformed_credential"


class UnknownKey(Unauthorized):
    """The request's key belongs to no tenant of the active configuration."""

    code = "unknown_key"


class NotFound(InvalidRequest):
    """Nothing exists under the requested name, identifier or path."""

    code = "not_found"
    http_status = 404


class NoMatchingPool(NotFound):
    """No configured pool has the requested name, or matches the selector, role and model."""

    code = "no_matching_pool"


class KeyReused(InvalidRequest):
    """The idempotency key or lot identifier was used for a different request before."""

    code = "key_reused"
    http_status = 422


class RevisionConflict(InvalidRequest):
    """A configuration object is not at the expected revision; details give its present ``revision``."""

    code = "revision_conflict"
    http_status = 409


# --- refusals: the service declines to run the request now ----------------------


class Refused(PassgateError):
    """Base class: the request was refused; it did not run and may be sent again."""

    code = "refused"
    http_status = 503
    execution = ExecutionStatus.NOT_RUN


class Overloaded(Refused):
    """Too many requests are queued or in flight, or the wait in the queue would be or was too long."""

    code = "overloaded"
    http_status = 429


class NoReplicaAvailable(Refused):
    """No replica can take the request, or all that were tried refused it or could not be reached."""

    code = "no_replica_available"


class NoReplicaInRegions(NoReplicaAvailable):
    """No replica in the request's allowed regions can take it; replicas elsewhere are not tried."""

    code = "no_replica_in_regions"


class NoRegionAllowed(Refused):
    """The request's route and tenant have no allowed region in common, so no replica may serve it."""

    code = "no_region_allowed"


class RequestQuarantined(Refused):
    """The request is not sent for a while, because too many replicas crashed while they ran it."""

    code = "request_quarantined"


class NotReady(Refused):
    """This daemon lacks current state that the request needs, for example just after its start."""

    code = "not_ready"


class BodiesElsewhere(NotReady):
    """This daemon's region may not hold the job's bodies; daemons in the allowed regions may."""

    code = "bodies_elsewhere"


class Draining(Refused):
    """This daemon is shutting down and accepts no new work."""

    code = "draining"


class DurabilityUnavailable(Refused):
    """The request is not run, as the log did not confirm a record or could not be read."""

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
    """No usable answer came from the back end; ``execution`` tells whether the request may have run."""

    code = "backend_unreachable"


class SendInterrupted(BackendUnreachable):
    """The connection broke before the request was sent whole; the back end may have read it all the same."""


class SendForbidden(BackendUnreachable):
    """A rule excluded the replica just before the send; nothing was sent."""

    code = "send_forbidden"


class SendTooLate(SendForbidden):
    """The latest time to send, set by a permit or the request's deadline, has passed; nothing was sent."""

    code = "send_too_late"


class IncompleteAnswer(ExecutionFailed):
    """The answer ended early, stalled or is invalid, or an attempt of an item got an error status."""

    code = "incomplete_answer"


class MovedElsewhere(ExecutionFailed):
    """This daemon abandoned a stream to continue it at a faster replica."""

    code = "moved_elsewhere"


class AnswerMismatch(ExecutionFailed):
    """The answer belongs to another request, or does not name the request to which it belongs."""

    code = "answer_mismatch"


class VersionNotReported(ExecutionFailed):
    """A part of an output, or a sample, names no version of the weights that made it."""

    code = "version_not_reported"


class VersionTooOld(ExecutionFailed):
    """The replica's weights, or those that made a part of the output, are older than the request accepts."""

    code = "version_too_old"


class VersionChanged(ExecutionFailed):
    """Several versions of the weights made parts of an output that must come from one."""

    code = "version_changed"


class DeadlineExceeded(ExecutionFailed):
    """The deadline of a request or of a wait passed; ``execution`` tells whether the request may have run."""

    code = "deadline_exceeded"
    http_status = 504


class Cancelled(ExecutionFailed):
    """The caller closed its connection before the answer was complete."""

    code = "cancelled"
    http_status = 499


class RequestInProgress(PassgateError):
    """Another call with the same idempotency key holds the claim to the request or has completed it."""

    code = "request_in_progress"
    http_status = 409


class OutcomeUnknown(PassgateError):
    """A request that must not be repeated may have run, and its outcome is unknown."""

    code = "outcome_unknown"
    http_status = 409


class SampleWithdrawn(PassgateError):
    """A sample that was delivered before now exceeds the staleness limit; not in use."""

    code = "sample_withdrawn"
    http_status = 409
    execution = ExecutionStatus.RAN
