"""Events of a daemon's life and of what it believes: configuration, replicas, partitions, other daemons."""

from __future__ import annotations

from passgate.decisions.base import Event


class DaemonStarted(Event, tag="daemon_started"):
    """A daemon began to run."""

    start_id: str
    zone: str
    scaling_policy: str = ""
    """Empty where the platform does not let the system order replicas."""


class DaemonStopping(Event, tag="daemon_stopping"):
    """A planned stop began."""

    in_flight: int


class DaemonStopped(Event, tag="daemon_stopped"):
    """A planned stop ended."""

    in_flight: int
    after_s: float


class SettingsReloaded(Event, tag="settings_reloaded"):
    """The settings file was read again."""

    changed: bool


class DependencyLost(Event, tag="dependency_lost"):
    """The log could not be read for some time."""

    dependency: str
    age_s: float


class DependencyRegained(Event, tag="dependency_regained"):
    """The log can be read again."""

    dependency: str


class RecordUnreadable(Event, tag="record_unreadable"):
    """A record on the log could not be read and was passed over."""

    offset: int
    reason: str


class ConfigurationInForce(Event, tag="configuration_in_force"):
    """A newer configuration is in force on this daemon."""

    version: int
    routes: int


class ConfigurationLearned(Event, tag="configuration_learned"):
    """A newer configuration came from another daemon, as the log does not answer this one."""

    version: int
    peer: str
    age_ms: float
    """Age of that daemon's view of the log."""
    log_age_ms: float
    """Age of this daemon's own view."""


class ConfigurationRejected(Event, tag="configuration_rejected"):
    """A configuration contradicts itself; the version in force stays."""

    version: int
    reason: str


class ZoneEvacuated(Event, tag="zone_evacuated"):
    """The operator has a zone evacuated: nothing more is sent to its replicas from here."""

    zone: str
    source: str
    """ "log", or "peer" when another daemon told it."""
    peer: str
    age_ms: float
    """Age of the other daemon's view; 0 for what was just read from the log."""
    offset: int
    """Offset up to which the operator's topic is known."""


class EvacuationEnded(Event, tag="evacuation_ended"):
    """A zone is no longer evacuated; the fields are those of ``zone_evacuated``."""

    zone: str
    source: str
    peer: str
    age_ms: float
    offset: int


class ReplicaChanged(Event, tag="replica_changed"):
    """Discovery tells of a replica otherwise than before."""

    replica_id: str
    service: str
    state: str


class EntryUnusable(Event, tag="entry_unusable"):
    """An entry of discovery names no replica to use."""

    key: str
    reason: str
    entries: int
    """Such entries since the last such line, this one among them."""


class RelayChanged(Event, tag="relay_changed"):
    """This daemon begins or ends to read the list of replicas for others."""

    relaying: bool
    replicas: int


class DiscoveryLoaded(Event, tag="discovery_loaded"):
    """This daemon knows the whole list of replicas for the first time."""

    source: str
    """Where it reads: "direct" or "relayed"."""
    replicas: int
    elapsed_ms: float


class PartitionsHeld(Event, tag="partitions_held"):
    """The log's group deals this daemon other partitions of jobs to watch."""

    generation: int
    parts: tuple[int, ...]


class PeerFailed(Event, tag="peer_failed"):
    """A daemon that was asked about jobs did not answer; the jobs are read from the log."""

    peer: str
    part: int
    reason: str
