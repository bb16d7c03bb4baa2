"""Failures of callers' requests: bad input, refusals, and what goes wrong after admission."""

from __future__ import annotations

from passgate.errors.base import ExecutionStatus, PassgateError

# --- the request itself is wrong: 4xx, never run --------------------------------


class InvalidRequest(PassgateError):
    """The request can not be understood; nothing ran."""

    code = "invalid_request"
    http_status = 400
    execution = ExecutionStatus.NOT_RUN


class MalformedBody(InvalidRequest):
    """The body is not the expected JSON document; details name the field."""

    code = "malformed_body"


class PayloadTooLarge(InvalidRequest):
    """The body exceeds the configured size."""

    code = "payload_too_large"
    http_status = 413


class HeadersTooLarge(InvalidRequest):
    """The header lines are too many or too long."""

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
    """A credential is required and was absent or wrong."""

    code = "unauthorized"
    http_status = 401


class MissingCredential(Unauthorized):
    """The request carries no credential."""

    code = "missing_credential"


class MalformedCredential(Unauthorized):
    """The request's credential is not in the expected form, or there are several."""

    code = "malformed_credential"


class UnknownKey(Unauthorized):
    """No tenant of the configuration in force holds the request's key."""

    code = "unknown_key"


class NotFound(InvalidRequest):
    """The named object does not exist."""

    code = "not_found"
    http_status = 404


class NoMatchingPool(NotFound):
    """No configured pool matches the selector."""

    code = "no_matching_pool"


class KeyReused(InvalidRequest):
    """An idempotency key was reused for a different request."""

    code = "key_reused"
    http_status = 422


class RevisionConflict(InvalidRequest):
    """A configuration change lost to another; details name the winning ``revision``."""

    code = "revision_conflict"
    http_status = 409


# --- refusals: the service declines to run the request now ----------------------


class Refused(PassgateError):
    """The service declined the request; it did not run and may be sent again."""

    code = "refused"
    http_status = 503
    execution = ExecutionStatus.NOT_RUN


class Overloaded(Refused):
    """A queue is full or the projected wait exceeds the deadline."""

    code = "overloaded"
    http_status = 429


class NoReplicaAvailable(Refused):
    """No live replica of the pool can take the request."""

    code = "no_replica_available"


class NoReplicaInRegions(NoReplicaAvailable):
    """No live replica can take the request in the regions that may serve it; others are not asked."""

    code = "no_replica_in_regions"


class NoRegionAllowed(Refused):
    """The request's route and its tenant allow no region in common, so that none may serve it."""

    code = "no_region_allowed"


class RequestQuarantined(Refused):
    """The request has crashed replicas and is sent to none for a while."""

    code = "request_quarantined"


class NotReady(Refused):
    """This daemon has just started and does not yet know the configuration in force."""

    code = "not_ready"


class BodiesElsewhere(NotReady):
    """The bodies of the job may not be held in this daemon's region; one of another region has them."""

    code = "bodies_elsewhere"


class Draining(Refused):
    """This daemon is stopping and takes no new work."""

    code = "draining"


class DurabilityUnavailable(Refused):
    """The log can not make a needed record durable now; the record is not on it."""

    code = "durability_unavailable"


class BackendRefused(Refused):
    """The back end itself reported that it refused the request before running it."""

    code = "backend_refused"


class ReplicaReplaced(BackendRefused):
    """Another replica listens at the address of the one that was asked; it ran nothing."""

    code = "replica_replaced"


# --- failures after admission ---------------------------------------------------


class ExecutionFailed(PassgateError):
    """The request was admitted and then failed."""

    code = "execution_failed"
    http_status = 502


class BackendUnreachable(ExecutionFailed):
    """The connection to the back end failed; ``execution`` tells how far it got."""

    code = "backend_unreachable"


class SendForbidden(BackendUnreachable):
    """A rule keeps requests from the replica now; nothing was sent."""

    code = "send_forbidden"


class SendTooLate(SendForbidden):
    """The permission to send had run out when the connection was ready; nothing was sent."""

    code = "send_too_late"


class IncompleteAnswer(ExecutionFailed):
    """The answer ended without its finish mark or with a wrong length."""

    code = "incomplete_answer"


class MovedElsewhere(ExecutionFailed):
    """A stream was left because another replica goes on with it much faster."""

    code = "moved_elsewhere"


class AnswerMismatch(ExecutionFailed):
    """The answer belongs to another request."""

    code = "answer_mismatch"


class VersionNotReported(ExecutionFailed):
    """The engine did not report the weight version of a piece of output."""

    code = "version_not_reported"


class VersionTooOld(ExecutionFailed):
    """The engine used a weight version older than the request accepts."""

    code = "version_too_old"


class DeadlineExceeded(ExecutionFailed):
    """The request missed its deadline; ``execution`` tells whether it ran."""

    code = "deadline_exceeded"
    http_status = 504


class Cancelled(ExecutionFailed):
    """The caller cancelled the request."""

    code = "cancelled"
    http_status = 499


class RequestInProgress(PassgateError):
    """Another attempt with the same idempotency key is running."""

    code = "request_in_progress"
    http_status = 409


class OutcomeUnknown(PassgateError):
    """A not-repeatable request may have run and its outcome is lost."""

    code = "outcome_unknown"
    http_status = 409


class SampleWithdrawn(PassgateError):
    """A sample was handed over before and is now over the staleness bound."""

    code = "sample_withdrawn"
    http_status = 409
    execution = ExecutionStatus.RAN
