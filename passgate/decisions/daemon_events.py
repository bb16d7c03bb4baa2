"""Events of a daemon's lifecycle and of its view of the configuration, the replicas and its peers."""

from __future__ import annotations

from passgate.decisions.base import Event


class DaemonStarted(Event, tag="daemon_started"):
    """A daemon has begun to run."""

    start_id: str
    """Random identifier of this incarnation of the daemon."""
    zone: str
    scaling_policy: str = ""
    """Policy by which replicas are ordered; empty where the platform takes no orders of replicas."""


class DaemonStopping(Event, tag="daemon_stopping"):
    """A graceful shutdown has begun."""

    in_flight: int
    """Callers' requests in flight."""


class DaemonStopped(Event, tag="daemon_stopped"):
    """A graceful shutdown has drained the requests in flight or has reached its time limit."""

    in_flight: int
    """Callers' requests still in flight."""
    after_s: float
    """Time since the shutdown began."""


class SettingsReloaded(Event, tag="settings_reloaded"):
    """The settings file was read again and applied."""

    changed: bool
    """Whether any setting has another value than before."""


class DependencyLost(Event, tag="dependency_lost"):
    """A dependency has been unavailable for too long."""

    dependency: str
    """Name of the dependency; ``log`` is the only one."""
    age_s: float
    """Age of the last view that was read from it."""


class DependencyRegained(Event, tag="dependency_regained"):
    """A lost dependency is available again."""

    dependency: str


class RecordUnreadable(Event, tag="record_unreadable"):
    """A record on the log could not be decoded and was skipped."""

    offset: int
    reason: str


class ConfigurationApplied(Event, tag="configuration_in_force"):
    """This daemon has applied a newer configuration."""

    version: int
    routes: int
    """Number of its routes."""


class ConfigurationReceivedFromPeer(Event, tag="configuration_learned"):
    """A newer configuration was received from a peer, as this daemon's view of the log is too old."""

    version: int
    peer: str
    """Address of the peer."""
    age_ms: float
    """Age of the peer's view of the log."""
    log_age_ms: float
    """Age of this daemon's own view of the log."""


class ConfigurationRejected(Event, tag="configuration_rejected"):
    """A configuration is inconsistent and was not applied."""

    version: int
    """Version of the rejected configuration."""
    reason: str


class ZoneEvacuated(Event, tag="zone_evacuated"):
    """The operator evacuates a zone: this daemon sends nothing more to its replicas."""

    zone: str
    source: str
    """``log``, or ``peer`` when another daemon reported it."""
    peer: str
    """Address of that daemon; empty when the source is the log."""
    age_ms: float
    """Age of the peer's view; 0 when the source is the log."""
    offset: int
    """Offset up to which the operator's topic is known."""


class EvacuationEnded(Event, tag="evacuation_ended"):
    """A zone is no longer evacuated; the fields are those of :class:`ZoneEvacuated`."""

    zone: str
    source: str
    peer: str
    age_ms: float
    offset: int


class ReplicaChanged(Event, tag="replica_changed"):
    """Discovery reports another state of a replica than before."""

    replica_id: str
    service: str
    state: str


class DiscoveryEntryRejected(Event, tag="entry_unusable"):
    """An entry of discovery was not used, as it describes no usable replica; reported at a limited rate."""

    key: str
    """Key of the entry, possibly cut short."""
    reason: str
    entries: int
    """Number of such entries since the last event of this kind, including this one."""


class RelayRoleChanged(Event, tag="relay_changed"):
    """This daemon has begun or ended to relay the list of replicas to other daemons."""

    relaying: bool
    replicas: int
    """Number of replicas that it knows."""


class DiscoveryLoaded(Event, tag="discovery_loaded"):
    """This daemon has read the whole list of replicas for the first time."""

    source: str
    """``direct`` when it reads discovery itself, or ``relayed``."""
    replicas: int
    """Number of replicas on the list."""
    elapsed_ms: float
    """Time since the reading began."""


class PartitionsAssigned(Event, tag="partitions_held"):
    """The log's group has assigned other partitions of jobs to this daemon."""

    generation: int
    """Generation of the group; 0 when this daemon has left it."""
    parts: tuple[int, ...]
    """Numbers of the assigned partitions."""


class JobPeerCallFailed(Event, tag="peer_failed"):
    """A call to a peer about the jobs of a partition has failed."""

    peer: str
    """Address of the peer."""
    part: int
    """Number of the partition."""
    reason: str
    """Code or message of the failure."""
