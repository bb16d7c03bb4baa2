"""Errors of the log, of records on it, of orders to engines, and of other calls to the platform."""

from __future__ import annotations

from passgate.errors.base import ExecutionStatus, PassgateError


class LogError(PassgateError):
    """Base class of errors of the platform's log."""

    code = "log_error"
    http_status = 503


class LogUnavailable(LogError):
    """The log refused a call or could not be reached; an append counts as certainly without effect."""

    code = "log_unavailable"
    execution = ExecutionStatus.NOT_RUN


class RecordTooLarge(LogUnavailable):
    """The log refused an append, as a record is larger than it allows; the same append never succeeds."""

    code = "record_too_large"


class LogAppendUnknown(LogError):
    """The outcome of an append is unknown: the record may be on the log, now or later."""

    code = "log_append_unknown"


class DurabilityUnknown(LogError):
    """A record was not confirmed in time; it may be on the log, now or later."""

    code = "durability_unknown"


class LogGap(LogError):
    """A read of the log returned records that do not directly follow the last applied one; not in use."""

    code = "log_gap"


class DuplicateRecord(LogError):
    """A record has no effect, as its writer has already appended one with this or a higher sequence."""

    code = "duplicate_record"


class UnknownRecord(LogError):
    """A record is unreadable, or its kind is unknown or unexpected on its stream; readers skip it."""

    code = "unknown_record"


class MalformedRecord(LogError):
    """A record of the log could not be decoded; readers go on with the next record."""

    code = "malformed_record"


class SupersededEpoch(PassgateError):
    """A claim, record or order was rejected: another holder, epoch, fencing token or state is current."""

    code = "superseded_epoch"
    http_status = 409
    execution = ExecutionStatus.NOT_RUN


class OrderRefused(PassgateError):
    """An engine refused an order; details are those of its answer, among them ``reason`` and ``fence``."""

    code = "order_refused"


class InvalidConfiguration(PassgateError):
    """A configuration or evacuation is invalid and is not applied; what was active before stays."""

    code = "invalid_configuration"
    http_status = 422
    execution = ExecutionStatus.NOT_RUN


class PlatformError(PassgateError):
    """A call to the platform, for example to its machine list or weight store, failed."""

    code = "platform_error"
    http_status = 503
