"""JSON bodies of the emulator's administration server.

>>> msgspec.json.decode(b'{"kind": "crash", "target": "linha-0"}', type=FaultCommand).target
'linha-0'
"""

from __future__ import annotations

import enum

import msgspec

from passgate.emulator.server_base import ServerCounters


class EmulatorAddresses(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses (``host:port``) of the servers of one emulated deployment."""

    deployment: str
    zones: tuple[str, ...]
    process_id: int
    admin: str
    platform: str
    """Server of the machine list and the weight store; its machines are reached without network delays."""
    logs: dict[str, str]
    """Zone to the log server for daemons of that zone, with that zone's delays and network partitions."""
    engines: dict[str, str]
    """Machine identifier to address; without network delays, as in ``apps``."""
    apps: dict[str, str]
    zone_platforms: dict[str, str] = {}
    """Zone to a platform server whose machine list has addresses with that zone's network delays."""


class FaultKind(enum.Enum):
    """Faults that can be injected; ``target`` is a server's name unless said otherwise."""

    CRASH = "crash"
    """Reset an engine's or app's connections and lose its requests; restart it after ``value`` seconds."""
    SLOW = "slow"
    """Make an engine or app take ``value`` times as long; 1 ends it."""
    DRAIN = "drain"
    """Make an engine or app refuse new requests; ``value`` 0 ends it."""
    LEAVE = "leave"
    """Mark a machine as leaving in the machine list; as all marks, readers see it after the list's lag."""
    GONE = "gone"
    """Mark a machine as gone in the machine list."""
    RETURN = "return"
    """Put a machine back into the machine list under a new generation."""
    SWAP_FAILURE = "swap_failure"
    """Make the next ``value`` weight swaps of an engine fail as the ``SwapFailure`` in ``argument`` says."""
    DELAY = "delay"
    """Delay every request to a server by ``value`` seconds; 0 ends it."""
    UNAVAILABLE = "unavailable"
    """Make a server answer every request with 503, as not run; ``value`` 0 ends it."""
    LOSE_ANSWERS = "lose_answers"
    """Execute the next ``value`` requests to a server (an engine only starts them), but close the connection
    instead of answering."""
    DROP_REQUESTS = "drop_requests"
    """Close the connection of the next ``value`` requests to a server without executing them."""
    CUT_STREAMS = "cut_streams"
    """Close the connections of ``value`` streams of an engine, each after its next event."""
    CROSS_ANSWERS = "cross_answers"
    """Answer the next ``value`` calls of an app with the identifier of another request."""
    ISOLATE = "isolate"
    """Partition the network around the zone ``target``; ``value`` 0 ends it."""
    LOG_DOWN = "log_down"
    """Make the log refuse all calls; ``value`` 0 ends it."""
    LOG_SLOW = "log_slow"
    """Add ``value`` seconds to each append and read of the log; 0 ends it."""
    LOG_LAG = "log_lag"
    """Serve some reads of the zone ``target`` from a log replica ``value`` seconds behind; 0 ends it."""
    LOG_LOSE_ANSWERS = "log_lose_answers"
    """Lose the answers of the log's next ``value`` appends, which still take effect."""
    STORE_DOWN = "store_down"
    """Make the weight store unavailable; ``value`` 0 ends it."""
    MACHINE_LIST_DOWN = "machine_list_down"
    """Make the machine list unavailable; ``value`` 0 ends it."""


class FaultCommand(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /admin/faults``."""

    kind: FaultKind
    target: str = ""
    value: float = 1.0
    argument: str = ""


class LogTotals(msgspec.Struct, frozen=True, kw_only=True):
    """Counters of the log since its start."""

    appends: int
    records: int
    bytes: int
    reads: int
    read_bytes: int


class EmulatorState(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /admin/state?prefix=P``; counts by request only of identifiers that begin with P."""

    runs: dict[str, int]
    """Request identifier to the number of times that a back end started the request."""
    repeated_effects: tuple[str, ...]
    """Side effects of non-repeatable calls that happened more than once."""
    servers: dict[str, ServerCounters]
    """Server name to its counters."""
    log: LogTotals
    store_bytes: int
    """Bytes that the weight store has sent to engines."""


class RunStart(msgspec.Struct, frozen=True, kw_only=True):
    """A back end started to execute a request."""

    time_s: float
    """Time of the start on the host's monotonic clock, which all its processes share."""
    request_id: str
    """Identifier with which passgate sent the request to the back end."""
    replica_id: str
    work: str
    """Digest of the request's content: see ``emulator.run_feed``."""


class RunStarts(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /admin/runs?after=N``: all starts except the first N."""

    runs: tuple[RunStart, ...]
