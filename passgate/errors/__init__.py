"""Exception tree of passgate: every failure has a type, never a bare string.

Each error carries a stable machine-readable ``code``, the HTTP status it maps
to, and an :class:`ExecutionStatus` that says whether the request ran on a back
end.  The caller-facing HTTP layer renders errors with :meth:`PassgateError.body`.

>>> Overloaded("queue is full", retry_after_s=2.5).body().execution
<ExecutionStatus.NOT_RUN: 'not_run'>
"""

from __future__ import annotations

from passgate.errors.base import (
    ErrorBody,
    ExecutionStatus,
    PassgateError,
)
from passgate.errors.peers import (
    PeerCallFailed,
    PeerCatchingUp,
    PeerConnectionLost,
    PeerCredentialRefused,
    PeerError,
    PeerMalformedFrame,
    PeerTimeout,
    PeerUnreachable,
)
from passgate.errors.platform import (
    DuplicateRecord,
    DurabilityUnknown,
    InvalidConfiguration,
    LogAppendUnknown,
    LogError,
    LogGap,
    LogUnavailable,
    OrderRefused,
    PlatformError,
    SupersededEpoch,
    UnknownRecord,
)
from passgate.errors.requests import (
    AnswerMismatch,
    BackendRefused,
    BackendUnreachable,
    BodyTimeout,
    Cancelled,
    DeadlineExceeded,
    Draining,
    DurabilityUnavailable,
    ExecutionFailed,
    HeadersTooLarge,
    IncompleteAnswer,
    InvalidRequest,
    KeyReused,
    MalformedBody,
    MalformedCredential,
    MissingCredential,
    MovedElsewhere,
    NoMatchingPool,
    NoReplicaAvailable,
    NotFound,
    NotReady,
    OutcomeUnknown,
    Overloaded,
    PayloadTooLarge,
    Refused,
    RequestInProgress,
    RequestQuarantined,
    RevisionConflict,
    SampleWithdrawn,
    SelectorSyntaxError,
    Unauthorized,
    UnknownKey,
    VersionNotReported,
    VersionTooOld,
)
from passgate.errors.tools import (
    ChartError,
    IllegalTransition,
    SettingsError,
    VerificationFailed,
)

__all__ = [
    "AnswerMismatch",
    "BackendRefused",
    "BackendUnreachable",
    "BodyTimeout",
    "Cancelled",
    "ChartError",
    "DeadlineExceeded",
    "Draining",
    "DuplicateRecord",
    "DurabilityUnavailable",
    "DurabilityUnknown",
    "ErrorBody",
    "ExecutionFailed",
    "ExecutionStatus",
    "HeadersTooLarge",
    "IllegalTransition",
    "IncompleteAnswer",
    "InvalidConfiguration",
    "InvalidRequest",
    "KeyReused",
    "LogAppendUnknown",
    "LogError",
    "LogGap",
    "LogUnavailable",
    "MalformedBody",
    "MalformedCredential",
    "MissingCredential",
    "MovedElsewhere",
    "NoMatchingPool",
    "NoReplicaAvailable",
    "NotFound",
    "NotReady",
    "OrderRefused",
    "OutcomeUnknown",
    "Overloaded",
    "PassgateError",
    "PayloadTooLarge",
    "PeerCallFailed",
    "PeerCatchingUp",
    "PeerConnectionLost",
    "PeerCredentialRefused",
    "PeerError",
    "PeerMalformedFrame",
    "PeerTimeout",
    "PeerUnreachable",
    "PlatformError",
    "Refused",
    "RequestInProgress",
    "RequestQuarantined",
    "RevisionConflict",
    "SampleWithdrawn",
    "SelectorSyntaxError",
    "SettingsError",
    "SupersededEpoch",
    "Unauthorized",
    "UnknownKey",
    "UnknownRecord",
    "VerificationFailed",
    "VersionNotReported",
    "VersionTooOld",
]

for _name in __all__:
    # Tracebacks, logs and pickles name the public place, not the module that happens to hold the class.
    globals()[_name].__module__ = __name__
