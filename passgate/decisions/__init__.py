"""Decision log: one JSON line on standard output for each decision, with its inputs and its outcome.

Each kind of event is a struct of its own.  Events are buffered, written without waiting for the reader, and
limited to a number of lines a second.  Events beyond that are dropped and their number is logged; routine
events are dropped before those that explain failures.

>>> lines = []
>>> log = DecisionLog("d1", write=lambda data: lines.append(data) or len(data), now=lambda: 5.0)
>>> log.write(JobEnded(job_id="j", listed=3, total=4))
>>> log.flush()
>>> b'"event":"job_ended"' in lines[0], b'"daemon":"d1"' in lines[0]
(True, True)
"""

from __future__ import annotations

from passgate.decisions.base import (
    Event,
    LinesDropped,
)
from passgate.decisions.cold_events import ColdReplicasChanged, PermitsBegan, PermitsCounted
from passgate.decisions.daemon_events import (
    ConfigurationInForce,
    ConfigurationLearned,
    ConfigurationRejected,
    DaemonStarted,
    DaemonStopped,
    DaemonStopping,
    DependencyLost,
    DependencyRegained,
    DiscoveryLoaded,
    EntryUnusable,
    EvacuationEnded,
    PartitionsHeld,
    PeerFailed,
    RecordUnreadable,
    RelayChanged,
    ReplicaChanged,
    SettingsReloaded,
    ZoneEvacuated,
)
from passgate.decisions.job_events import (
    ItemFailed,
    ItemListed,
    ItemSent,
    JobAccepted,
    JobAcceptFailed,
    JobBodiesLost,
    JobEnded,
    JobEndFailed,
    JobFreed,
    JobOwned,
    JobRead,
    JobWhole,
    RewardFailed,
    RewardSent,
)
from passgate.decisions.leader_events import (
    LeadershipLost,
    LeadershipTaken,
    LoadHeld,
    OrderSent,
    ReplicaOrderSent,
    UsageReportSent,
    UsageWindowCommitted,
    VersionWanted,
)
from passgate.decisions.log import DecisionLog
from passgate.decisions.request_events import (
    AttemptFailed,
    CrashReported,
    CrashReportsCleared,
    ForwardEnded,
    ForwardSent,
    ItemHeld,
    LastChanceBegun,
    ReplicaCrashed,
    RequestRefused,
)

__all__ = [
    "AttemptFailed",
    "ColdReplicasChanged",
    "ConfigurationInForce",
    "ConfigurationLearned",
    "ConfigurationRejected",
    "CrashReported",
    "CrashReportsCleared",
    "DaemonStarted",
    "DaemonStopped",
    "DaemonStopping",
    "DecisionLog",
    "DependencyLost",
    "DependencyRegained",
    "DiscoveryLoaded",
    "EntryUnusable",
    "EvacuationEnded",
    "Event",
    "ForwardEnded",
    "ForwardSent",
    "ItemFailed",
    "ItemHeld",
    "LastChanceBegun",
    "ItemListed",
    "ItemSent",
    "JobAcceptFailed",
    "JobAccepted",
    "JobBodiesLost",
    "JobEndFailed",
    "JobEnded",
    "JobFreed",
    "JobOwned",
    "JobRead",
    "JobWhole",
    "LeadershipLost",
    "LeadershipTaken",
    "LoadHeld",
    "LinesDropped",
    "OrderSent",
    "PartitionsHeld",
    "PeerFailed",
    "PermitsBegan",
    "PermitsCounted",
    "RecordUnreadable",
    "RelayChanged",
    "ReplicaChanged",
    "ReplicaCrashed",
    "ReplicaOrderSent",
    "RequestRefused",
    "RewardFailed",
    "RewardSent",
    "SettingsReloaded",
    "UsageReportSent",
    "UsageWindowCommitted",
    "VersionWanted",
    "ZoneEvacuated",
]
