"""Events of batch jobs, of their items, and of reward calls, which score an item's complete output."""

from __future__ import annotations

from passgate.decisions.base import Event

MAX_LOGGED_AGE_S = 1e6
"""Age that stands for an infinite one, which JSON can't express."""


class JobAccepted(Event, tag="job_accepted"):
    """A batch job was accepted, as it is on the log."""

    job_id: str
    items: int
    """Number of the job's items."""
    offset: int
    """Offset of the job's last record; -1 when it was on the log before or another daemon appended it."""
    elapsed_ms: float


class JobBodiesUnusable(Event, tag="job_bodies_lost"):
    """The bodies of a region-restricted job were deleted, can't be decoded or don't match its items."""

    job_id: str
    reason: str


class JobOwnershipReleased(Event, tag="job_freed"):
    """This daemon releases a job that it owns, as the active configuration excludes the daemon's region."""

    job_id: str
    epoch: int
    """Number of the ownership that the release begins; each claim and release increases it by one."""


class JobAcceptFailed(Event, tag="job_accept_failed"):
    """A batch job was not accepted, or the outcome is unknown."""

    job_id: str
    status: int
    """HTTP status of the answer to the caller."""
    reason: str
    """Code of the error."""


class JobOwnershipClaimed(Event, tag="job_owned"):
    """This daemon's claim to own a job is on the log; the first claim with an epoch takes effect."""

    job_id: str
    epoch: int
    """Number of the ownership that the claim begins, if it is the first with this number."""
    previous_owner: str
    """Writer name of the previous owner; empty if the job had none."""
    silent_s: float
    """Time without a record of the previous owner, since its ownership began at the earliest."""


class JobRunStarted(Event, tag="job_run_started"):
    """This daemon starts to run a job that it owns by its view of the log."""

    job_id: str
    epoch: int
    """Number of the ownership by which the job is run."""
    open_items: int
    """Number of items without a result."""
    view_age_s: float
    """Age of the view of the job's partition; at most MAX_LOGGED_AGE_S."""


class JobRunStopped(Event, tag="job_run_stopped"):
    """This daemon stops to run a job before all its results were queued, or after the job has ended."""

    job_id: str
    epoch: int
    """Number of the present ownership by this daemon's view; 0 if the job is not known any more."""
    reason: str
    """Why the job is not run here any more."""
    running_s: float
    """Time since the start of the run."""
    view_age_s: float
    """Age of the view of the job's partition; at most MAX_LOGGED_AGE_S."""


class JobHistoryLost(Event, tag="job_history_lost"):
    """The log has removed records that this daemon had not read, so it forgets the partition's jobs."""

    part: int
    """Number of the partition."""
    first: int
    """Offset of the oldest record that the log has kept."""
    jobs: int
    """Number of jobs that were known."""


class JobSendsPaused(Event, tag="job_sends_paused"):
    """This daemon sends nothing for the jobs of a partition, as its view of the partition is old."""

    part: int
    """Number of the partition."""
    view_age_s: float
    """Age of the view; at most MAX_LOGGED_AGE_S."""
    reason: str
    """Why the view can't be trusted: ``catching_up``, ``cut_off``, or ``unknown`` without answers yet."""


class JobSendsResumed(Event, tag="job_sends_resumed"):
    """This daemon sends for the jobs of a partition again, after a pause."""

    part: int
    """Number of the partition."""
    paused_s: float
    """Length of the pause."""


class ItemSent(Event, tag="item_sent"):
    """An attempt of an item was started at a replica."""

    job_id: str
    item_id: str
    replica_id: str
    attempt: int
    """Number of the attempt, beginning with 1."""
    events_kept: int
    """Number of events of the output so far; the attempt resumes after them."""

    @property
    def is_routine(self) -> bool:
        """Whether it is the first attempt."""
        return self.attempt == 1


class ItemFailed(Event, tag="item_failed"):
    """An attempt of an item was not sent, or ended without the item's complete output."""

    job_id: str
    item_id: str
    replica_id: str
    reason: str
    """Code of the error and its message."""
    events_kept: int
    """Number of events of the output so far; the next attempt may resume after them."""


class RewardSent(Event, tag="reward_sent"):
    """An attempt of an item's reward call was started at a replica."""

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
    """An attempt of a reward call was not sent, or returned no score."""

    job_id: str
    item_id: str
    request_id: str
    """Identifier of the reward call."""
    replica_id: str
    reason: str
    failures: int
    """Number of answers with status 500 so far; only these count against the limit of the route."""


class ItemResultRecorded(Event, tag="item_listed"):
    """A result of an item was queued for the log; on the log, the first result of each item counts."""

    job_id: str
    item_id: str
    state: str
    versions: tuple[int, ...]
    """Versions of the weights that produced the output."""
    attempts: int
    """Number of attempts of the item that this daemon started."""
    elapsed_ms: float
    """Time since this daemon started the item; for an expired item, since it read the job."""
    scored: bool = False
    """Whether the result holds the score of its reward call."""

    @property
    def is_routine(self) -> bool:
        """Whether the item succeeded with at most one attempt of this daemon."""
        return self.state == "succeeded" and self.attempts <= 1


class JobGroupsCompleted(Event, tag="job_whole"):
    """As many item groups of a job as its caller waits for are complete; written by the job's owner.

    Times are counted from when this daemon read the job.  The fields from ``last_item`` on are about the item
    whose result completed the last of the groups.
    """

    job_id: str
    model: str
    step: int
    items: int
    """Number of the job's items in all groups."""
    whole_ms: float
    """Time until the groups were complete."""
    all_sent_ms: float
    """Time until this daemon had sent each item of which it sent an attempt; 0 if it sent none."""
    failures: dict[str, int]
    """Number of failed attempts of all items at this daemon, by error code."""
    last_item: str
    """Identifier of the item that completed the last group."""
    waited_ms: float
    """Time until the item's first attempt was sent."""
    first_event_ms: float
    """Time from the item's first attempt to its first event."""
    events: int
    """Number of events that this daemon received; an earlier owner or job may have received others."""
    events_ms: float
    """Time from the item's first to its last event, without ``stalled_ms``."""
    stalled_ms: float
    """Sum of the times from the last event of an attempt to the first event of the next."""
    attempts: int
    """Number of the item's attempts that this daemon sent."""


class JobResultsRead(Event, tag="job_read"):
    """A caller has read results of a job."""

    job_id: str
    position: int
    """Position of the first result that the caller asked for."""
    results: int
    """Number of results in the answer."""
    total: int
    """Number of the job's items."""
    elapsed_ms: float

    @property
    def is_routine(self) -> bool:
        """Whether the event is routine, which it always is."""
        return True


class JobEnded(Event, tag="job_ended"):
    """A caller has cancelled a job, or repeated the cancellation of a job."""

    job_id: str
    listed: int
    """Number of the job's results."""
    total: int
    """Number of the job's items."""


class JobEndUnconfirmed(Event, tag="job_end_failed"):
    """A caller's request to cancel a job has failed; it may still take effect unless the job is not found."""

    job_id: str
    reason: str
    """Code of the error."""
