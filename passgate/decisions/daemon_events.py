"""Events of a daemon's lifecycle and of its view of the configuration, the replicas and its peers."""

from __future__ import annotations

from passgate.decisions.base import Event


class DaemonStarted(Event, tag="daemon_started"):
    """A daemon has started; it is not ready yet."""

    start_id: str
    """Random identifier of this incarnation of the daemon."""
    zone: str
    scaling_policy: str = ""
    """Policy for the number of replicas to order; empty where the daemon has no singleton duties."""


class DaemonStopping(Event, tag="daemon_stopping"):
    """A graceful shutdown has begun."""

    in_flight: int
    """Number of callers' requests in flight."""


class DaemonStopped(Event, tag="daemon_stopped"):
    """A graceful shutdown no longer waits for requests: they are finished, or its time limit is reached."""

    in_flight: int
    """Number of callers' requests still in flight, which will be cut off."""
    after_s: float
    """Time since the shutdown began."""


class SettingsReloaded(Event, tag="settings_reloaded"):
    """The settings file was read again and applied."""

    changed: bool
    """Whether any setting has another value than before."""


class DependencyLost(Event, tag="dependency_lost"):
    """This daemon's view of a dependency has become so old that the dependency counts as lost."""

    dependency: str
    """Name of the dependency; ``log`` is the only one."""
    age_s: float
    """Age of this daemon's view of the dependency."""


class DependencyRegained(Event, tag="dependency_regained"):
    """A lost dependency has been read again."""

    dependency: str


class RecordUnreadable(Event, tag="record_unreadable"):
    """A record on the log could not be decoded and was skipped."""

    offset: int
    """Offset of the record; -1 when it is unknown."""
    reason: str


class ConfigurationApplied(Event, tag="configuration_in_force"):
    """This daemon has applied a newer configuration."""

    version: int
    routes: int
    """Number of the configuration's routes."""


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
    """The operator evacuates a zone: this daemon sends nothing more to replicas there."""

    zone: str
    source: str
    """Source of the view: ``log``, or ``peer`` when another daemon sent it."""
    peer: str
    """Address of the other daemon; empty when the source is the log."""
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
    """A replica's entry in discovery appeared, changed its state, or disappeared."""

    replica_id: str
    service: str
    state: str
    """``ready``, ``draining``, ``restarted``, ``gone``, or ``lapsed`` (perhaps gone only by a log outage)."""


class DiscoveryEntryRejected(Event, tag="entry_unusable"):
    """Entries of discovery were not used, as they describe no usable replica; reported at a limited rate."""

    key: str
    """Key of the last unusable entry, possibly cut short."""
    reason: str
    """Why the last entry is not usable, possibly cut short."""
    entries: int
    """Number of unusable entries since the last event of this kind, including the last one."""


class RelayRoleChanged(Event, tag="relay_changed"):
    """This daemon has started or stopped relaying: copying discovery's list to the log for other daemons."""

    relaying: bool
    replicas: int
    """Number of replicas that this daemon knows."""


class DiscoveryLoaded(Event, tag="discovery_loaded"):
    """This daemon has read the whole list of replicas for the first time."""

    source: str
    """``direct``, or ``relayed`` if the daemon uses relays; it may still have read discovery itself."""
    replicas: int
    """Number of usable replicas on the list."""
    elapsed_ms: float
    """Time since the reading began."""


class PartitionsAssigned(Event, tag="partitions_held"):
    """The partitions of jobs that the log's group assigns to this daemon have changed."""

    generation: int
    """Generation of the group; 0 when this daemon has left the group."""
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
