"""Decision log: one JSON line on standard output for each decision, with its inputs and its outcome.

Each kind of event is a struct of its own.  Events are buffered, written without waiting for the reader, and
limited to an average number of lines a second.  Events beyond the limit are dropped, routine ones first, and
their number is written as an event of its own.

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
from passgate.decisions.cold_events import ColdReplicasChanged, PermitCountsReported, PermitIssuingStarted
from passgate.decisions.daemon_events import (
    ConfigurationApplied,
    ConfigurationReceivedFromPeer,
    ConfigurationRejected,
    DaemonStarted,
    DaemonStopped,
    DaemonStopping,
    DependencyLost,
    DependencyRegained,
    DiscoveryEntryRejected,
    DiscoveryLoaded,
    EvacuationEnded,
    JobPeerCallFailed,
    PartitionsAssigned,
    RecordUnreadable,
    RelayRoleChanged,
    ReplicaChanged,
    SettingsReloaded,
    ZoneEvacuated,
)
from passgate.decisions.job_events import (
    ItemFailed,
    ItemResultRecorded,
    ItemSent,
    JobAccepted,
    JobAcceptFailed,
    JobBodiesUnusable,
    JobEnded,
    JobEndUnconfirmed,
    JobGroupsCompleted,
    JobHistoryLost,
    JobOwnershipClaimed,
    JobOwnershipReleased,
    JobResultsRead,
    JobRunStarted,
    JobRunStopped,
    JobSendsPaused,
    JobSendsResumed,
    RewardFailed,
    RewardSent,
)
from passgate.decisions.leader_events import (
    LeadershipLost,
    LeadershipTaken,
    LoadOrderSent,
    ReplicaCountOrderSent,
    TargetVersionChanged,
    UsageReportSent,
    UsageWindowCommitted,
    VersionLoadsPaused,
)
from passgate.decisions.log import DecisionLog
from passgate.decisions.request_events import (
    AttemptFailed,
    CrashReportCleared,
    CrashReportsReceived,
    ForwardEnded,
    ForwardSent,
    IsolatedRunStarted,
    ReplicaCrashed,
    RequestRefused,
)

__all__ = [
    "AttemptFailed",
    "ColdReplicasChanged",
    "ConfigurationApplied",
    "ConfigurationReceivedFromPeer",
    "ConfigurationRejected",
    "CrashReportCleared",
    "CrashReportsReceived",
    "DaemonStarted",
    "DaemonStopped",
    "DaemonStopping",
    "DecisionLog",
    "DependencyLost",
    "DependencyRegained",
    "DiscoveryLoaded",
    "DiscoveryEntryRejected",
    "EvacuationEnded",
    "Event",
    "ForwardEnded",
    "ForwardSent",
    "ItemFailed",
    "IsolatedRunStarted",
    "ItemResultRecorded",
    "ItemSent",
    "JobAcceptFailed",
    "JobAccepted",
    "JobBodiesUnusable",
    "JobEndUnconfirmed",
    "JobEnded",
    "JobOwnershipReleased",
    "JobOwnershipClaimed",
    "JobResultsRead",
    "JobHistoryLost",
    "JobRunStarted",
    "JobRunStopped",
    "JobSendsPaused",
    "JobSendsResumed",
    "JobGroupsCompleted",
    "LeadershipLost",
    "LeadershipTaken",
    "VersionLoadsPaused",
    "LinesDropped",
    "LoadOrderSent",
    "PartitionsAssigned",
    "JobPeerCallFailed",
    "PermitIssuingStarted",
    "PermitCountsReported",
    "RecordUnreadable",
    "RelayRoleChanged",
    "ReplicaChanged",
    "ReplicaCrashed",
    "ReplicaCountOrderSent",
    "RequestRefused",
    "RewardFailed",
    "RewardSent",
    "SettingsReloaded",
    "UsageReportSent",
    "UsageWindowCommitted",
    "TargetVersionChanged",
    "ZoneEvacuated",
]
