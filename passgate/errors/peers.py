"""Errors of calls between daemons."""

from __future__ import annotations

from passgate.errors.base import ExecutionStatus, PassgateError


class PeerError(PassgateError):
    """Base class: a call to a peer daemon failed."""

    code = "peer_error"


class PeerUnreachable(PeerError):
    """No known peer could answer the call, or no connection to the peer could take the call."""

    code = "peer_unreachable"
    execution = ExecutionStatus.NOT_RUN


class PeerConnectionLost(PeerError):
    """The connection ended before the answer; the call may have run."""

    code = "peer_connection_lost"


class PeerTimeout(PeerError):
    """The peer did not answer before the timeout; the call may have run."""

    code = "peer_timeout"


class PeerMalformedFrame(PeerError):
    """A peer sent a frame that can't be decoded or is unexpected, or uses another protocol version."""

    code = "peer_malformed_frame"


class PeerCredentialRefused(PeerError):
    """The credentials of two peers differ, or only one of them has a credential."""

    code = "peer_credential_refused"
    execution = ExecutionStatus.NOT_RUN


class PeerCallFailed(PeerError):
    """The called daemon answered with an error, or a payload is too large; details give the ``peer_code``."""

    code = "peer_call_failed"


class PeerCatchingUp(PeerError):
    """The call can't be answered yet, for example as the peer's view of the log is old; retry soon."""

    code = "peer_catching_up"
    execution = ExecutionStatus.NOT_RUN
