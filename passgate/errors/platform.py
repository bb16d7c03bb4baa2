"""Errors of the platform: its log, machine list and weight store, and orders to engines."""

from __future__ import annotations

from passgate.errors.base import ExecutionStatus, PassgateError


class LogError(PassgateError):
    """Base class of errors of the platform's log."""

    code = "log_error"
    http_status = 503


class LogUnavailable(LogError):
    """The log refused or could not be reached; an append certainly had no effect."""

    code = "log_unavailable"
    execution = ExecutionStatus.NOT_RUN


class LogAppendUnknown(LogError):
    """The outcome of an append is unknown: no answer arrived, and the record may be on the log."""

    code = "log_append_unknown"


class DurabilityUnknown(LogError):
    """A record was not confirmed in time; it may be on the log, now or later."""

    code = "durability_unknown"


class LogGap(LogError):
    """A read of the log returned records that do not directly follow the last applied one."""

    code = "log_gap"


class DuplicateRecord(LogError):
    """A record repeats an earlier record of its writer and has no effect."""

    code = "duplicate_record"


class UnknownRecord(LogError):
    """A record is unreadable or of a kind that is unknown or unexpected there; it is skipped."""

    code = "unknown_record"


class MalformedRecord(LogError):
    """A record of the log could not be decoded; it is skipped."""

    code = "malformed_record"


class SupersededEpoch(PassgateError):
    """A claim, record or order was rejected, as a later epoch or fencing token is current."""

    code = "superseded_epoch"
    http_status = 409
    execution = ExecutionStatus.NOT_RUN


class OrderRefused(PassgateError):
    """An engine refused an order; details give the ``reason`` and the ``fence``."""

    code = "order_refused"


class InvalidConfiguration(PassgateError):
    """A configuration is inconsistent and is not applied; the active version stays."""

    code = "invalid_configuration"
    http_status = 422
    execution = ExecutionStatus.NOT_RUN


class PlatformError(PassgateError):
    """A call to the machine list or the weight store failed."""

    code = "platform_error"
    http_status = 503
