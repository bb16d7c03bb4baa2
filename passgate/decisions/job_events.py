"""Events of batch jobs, their items and the reward calls of items."""

from __future__ import annotations

from passgate.decisions.base import Event


class JobAccepted(Event, tag="job_accepted"):
    """A batch job is on the log and was accepted."""

    job_id: str
    items: int
    """Number of its items."""
    offset: int
    """Offset of its last record; -1 when it was on the log already or another daemon appended it."""
    elapsed_ms: float


class JobBodiesUnusable(Event, tag="job_bodies_lost"):
    """The bodies of a region-restricted job are unusable: they can not be decoded or do not fit its items."""

    job_id: str
    reason: str


class JobOwnershipReleased(Event, tag="job_freed"):
    """This daemon releases a job that it owns, as the active configuration excludes the daemon's region."""

    job_id: str
    epoch: int
    """Ownership epoch that the release begins."""


class JobAcceptFailed(Event, tag="job_accept_failed"):
    """A batch job was not accepted, or the outcome is unknown."""

    job_id: str
    status: int
    """HTTP status of the answer to the caller."""
    reason: str
    """Code of the error."""


class JobOwnershipClaimed(Event, tag="job_owned"):
    """This daemon's claim to own a job is on the log; the first claim of an epoch takes effect."""

    job_id: str
    epoch: int
    """Ownership epoch of the claim."""
    previous_owner: str
    silent_s: float
    """Time for which the log showed no record of the previous owner."""


class ItemSent(Event, tag="item_sent"):
    """An attempt of an item was sent to a replica."""

    job_id: str
    item_id: str
    replica_id: str
    attempt: int
    """Number of the attempt, beginning with 1."""
    events_kept: int
    """Events of earlier attempts after which the output is resumed."""

    @property
    def is_routine(self) -> bool:
        """Whether it is the first attempt."""
        return self.attempt == 1


class ItemFailed(Event, tag="item_failed"):
    """An attempt of an item ended without its complete output."""

    job_id: str
    item_id: str
    replica_id: str
    reason: str
    """Code of the error and its message."""
    events_kept: int
    """Events of the output that the next attempt may resume after."""


class RewardSent(Event, tag="reward_sent"):
    """An attempt of the reward call of an item, whose output is complete, was sent to a replica."""

    job_id: str
    item_id: str
    request_id: str
    """Identifier of the reward call."""
    replica_id: str
    attempt: int
    """Number of the attempt, beginning with 1."""

    @property
    def is_routine(self) -> bool:
        """Whether it is the first attempt."""
        return self.attempt == 1


class RewardFailed(Event, tag="reward_failed"):
    """An attempt of a reward call returned no score."""

    job_id: str
    item_id: str
    request_id: str
    """Identifier of the reward call."""
    replica_id: str
    reason: str
    failures: int
    """Number of answers with status 500 so far; only these count against the limit of the route."""


class ItemResultRecorded(Event, tag="item_listed"):
    """The result of an item was put to the log, which adds it to the job's results."""

    job_id: str
    item_id: str
    state: str
    versions: tuple[int, ...]
    """Versions of the weights that produced the output."""
    attempts: int
    """Attempts that this daemon sent."""
    elapsed_ms: float
    scored: bool = False
    """Whether the result holds the score of its reward call."""

    @property
    def is_routine(self) -> bool:
        """Whether the item succeeded with at most one attempt."""
        return self.state == "succeeded" and self.attempts <= 1


class JobGroupsCompleted(Event, tag="job_whole"):
    """The groups of items that the caller of a job waits for are complete.

    Times begin when this daemon has read the job.  The fields from ``last_item`` on are about the item whose
    result completed the last of these groups.
    """

    job_id: str
    model: str
    step: int
    items: int
    """Number of all items of the job."""
    whole_ms: float
    """Time until the groups were complete."""
    all_sent_ms: float
    """Time until the first attempt of the last item was sent, of the items that were sent at all."""
    failures: dict[str, int]
    """Error code to the number of attempts of all items that ended without complete output."""
    last_item: str
    """Identifier of the item."""
    waited_ms: float
    """Time until its first attempt was sent."""
    first_event_ms: float
    """Time from then until its first event."""
    events: int
    """Events that this daemon received; an earlier owner or job may have received others."""
    events_ms: float
    """Time from its first to its last event, without ``stalled_ms``."""
    stalled_ms: float
    """Sum of the times from the last event of an attempt to the first event of the next."""
    attempts: int
    """Attempts that this daemon sent."""


class JobResultsRead(Event, tag="job_read"):
    """A caller has read results of a job."""

    job_id: str
    position: int
    """Position in the results from which on they were read."""
    results: int
    """Number of results in the answer."""
    total: int
    """Number of the job's items."""
    elapsed_ms: float

    @property
    def is_routine(self) -> bool:
        """Always true."""
        return True


class JobEnded(Event, tag="job_ended"):
    """A job was ended by its caller, or had ended before."""

    job_id: str
    listed: int
    """Number of its results."""
    total: int
    """Number of its items."""


class JobEndUnconfirmed(Event, tag="job_end_failed"):
    """A caller's request to end a job has failed; it may take effect nevertheless."""

    job_id: str
    reason: str
    """Code of the error."""
