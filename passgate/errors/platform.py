"""Failures of the platform: its log, machine list, weight store, and orders to engines."""

from __future__ import annotations

from passgate.errors.base import ExecutionStatus, PassgateError


class LogError(PassgateError):
    """Base of failures of the platform's log."""

    code = "log_error"
    http_status = 503


class LogUnavailable(LogError):
    """The log could not be reached; an append certainly had no effect."""

    code = "log_unavailable"
    execution = ExecutionStatus.NOT_RUN


class LogAppendUnknown(LogError):
    """The answer to an append was lost; the record may be on the log."""

    code = "log_append_unknown"


class DurabilityUnknown(LogError):
    """A proposal ran out of time while its append was in doubt."""

    code = "durability_unknown"


class LogGap(LogError):
    """A read of the log returned records that do not follow the last one applied."""

    code = "log_gap"


class DuplicateRecord(LogError):
    """The record repeats one that is already decided; it changes nothing."""

    code = "duplicate_record"


class UnknownRecord(LogError):
    """The record's kind does not belong to the stream or to this version; passed over."""

    code = "unknown_record"


class MalformedRecord(LogError):
    """A record of the log could not be decoded; passed over."""

    code = "malformed_record"


class SupersededEpoch(PassgateError):
    """The record or order carried an epoch older than the current one."""

    code = "superseded_epoch"
    http_status = 409
    execution = ExecutionStatus.NOT_RUN


class OrderRefused(PassgateError):
    """An engine refused a control order; details give ``reason`` and ``fence``."""

    code = "order_refused"


class InvalidConfiguration(PassgateError):
    """A configuration contradicts itself; the version in force stays."""

    code = "invalid_configuration"
    http_status = 422
    execution = ExecutionStatus.NOT_RUN


class PlatformError(PassgateError):
    """The machine list or the weight store failed."""

    code = "platform_error"
    http_status = 503
