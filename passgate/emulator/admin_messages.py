"""What the stand-ins' administration port takes and tells.

>>> msgspec.json.decode(b'{"kind": "crash", "target": "linha-0"}', type=FaultCommand).target
'linha-0'
"""

from __future__ import annotations

import enum

import msgspec

from passgate.emulator.wire import ServerCounters


class StandInAddresses(msgspec.Struct, frozen=True, kw_only=True):
    """Where one deployment's outside world listens; machines by their identifiers."""

    deployment: str
    zones: tuple[str, ...]
    process_id: int
    admin: str
    platform: str
    """Machine list and weight store."""
    logs: dict[str, str]
    """Zone to the log as that zone reaches it."""
    engines: dict[str, str]
    apps: dict[str, str]
    zone_platforms: dict[str, str] = {}
    """Zone to a platform whose machine list leads through the emulated network of that zone."""


class FaultKind(enum.Enum):
    """Faults that can be injected; ``target`` names a server unless told otherwise."""

    CRASH = "crash"
    """Close the port abruptly and lose all state; back after ``value`` seconds."""
    SLOW = "slow"
    """Make an engine or app ``value`` times as slow; 1 ends it."""
    DRAIN = "drain"
    """An engine or app itself refuses new work; ``value`` 0 ends it."""
    LEAVE = "leave"
    """Mark a machine as leaving in the machine list (seen after its lag)."""
    GONE = "gone"
    """Mark a machine as gone in the machine list."""
    RETURN = "return"
    """Put a machine back into the machine list under a new generation."""
    SWAP_FAILURE = "swap_failure"
    """Let an engine's next weight swap fail; ``argument`` names a ``SwapFailure``."""
    DELAY = "delay"
    """Answer every request of a server ``value`` seconds later."""
    UNAVAILABLE = "unavailable"
    """A server refuses every request as not run; ``value`` 0 ends it."""
    LOSE_ANSWERS = "lose_answers"
    """Carry out the next ``value`` requests of a server and close instead of answering."""
    DROP_REQUESTS = "drop_requests"
    """Close the connections of the next ``value`` requests unread."""
    CUT_STREAMS = "cut_streams"
    """Close the next ``value`` streams of an engine after their first event."""
    CROSS_ANSWERS = "cross_answers"
    """Answer the next ``value`` requests under another request's identifier."""
    ISOLATE = "isolate"
    """Cut the zone ``target`` off from back ends and platform elsewhere; ``value`` 0 ends it."""
    LOG_DOWN = "log_down"
    """The log refuses everything; ``value`` 0 ends it."""
    LOG_SLOW = "log_slow"
    """The log takes ``value`` more seconds."""
    LOG_LAG = "log_lag"
    """Reads of the zone ``target`` may be served ``value`` seconds late."""
    LOG_LOSE_ANSWERS = "log_lose_answers"
    """The next ``value`` appends take effect and their answers are lost."""
    STORE_DOWN = "store_down"
    """The weight store is down; ``value`` 0 ends it."""
    MACHINE_LIST_DOWN = "machine_list_down"
    """The machine list is down; ``value`` 0 ends it."""


class FaultCommand(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /admin/faults``."""

    kind: FaultKind
    target: str = ""
    value: float = 1.0
    argument: str = ""


class LogTotals(msgspec.Struct, frozen=True, kw_only=True):
    """What the log did."""

    appends: int
    records: int
    bytes: int
    reads: int
    read_bytes: int


class StandInState(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /admin/state?prefix=P``; run counts only of identifiers that begin with P."""

    runs: dict[str, int]
    """Times that a back end began to execute, by request identifier."""
    repeated_effects: tuple[str, ...]
    """Effects that happened more than once."""
    servers: dict[str, ServerCounters]
    log: LogTotals
    store_bytes: int


class SeenRun(msgspec.Struct, frozen=True, kw_only=True):
    """One start of one request on one back end."""

    time_s: float
    """Seconds on the machine's monotonic clock, which all its processes share."""
    request_id: str
    """Identifier that passgate gave to the back end."""
    replica_id: str
    work: str
    """Digest of what was asked for: see ``emulator.run_feed``."""


class SeenRuns(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /admin/runs?after=N``: all starts but the first N."""

    runs: tuple[SeenRun, ...]
