"""Events of batch jobs and their items."""

from __future__ import annotations

from passgate.decisions.base import Event


class JobAccepted(Event, tag="job_accepted"):
    """A batch job is on the log."""

    job_id: str
    items: int
    offset: int
    elapsed_ms: float


class JobBodiesLost(Event, tag="job_bodies_lost"):
    """The bodies of a job that is bound to regions can not be read here any more."""

    job_id: str
    reason: str


class JobFreed(Event, tag="job_freed"):
    """A job was given up, as the configuration in force keeps it from this daemon's region."""

    job_id: str
    epoch: int


class JobAcceptFailed(Event, tag="job_accept_failed"):
    """A batch job was not accepted, or it is not known whether it was."""

    job_id: str
    status: int
    reason: str


class JobOwned(Event, tag="job_owned"):
    """This daemon runs the items of a job from now on."""

    job_id: str
    epoch: int
    previous_owner: str
    silent_s: float


class ItemSent(Event, tag="item_sent"):
    """An item was sent to a replica."""

    job_id: str
    item_id: str
    replica_id: str
    attempt: int
    events_kept: int

    @property
    def ordinary(self) -> bool:
        """Only further attempts are told of first."""
        return self.attempt == 1


class ItemFailed(Event, tag="item_failed"):
    """An attempt of an item ended without its whole output."""

    job_id: str
    item_id: str
    replica_id: str
    reason: str
    events_kept: int


class RewardSent(Event, tag="reward_sent"):
    """The reward call of an item, whose text is whole, was sent to a replica."""

    job_id: str
    item_id: str
    request_id: str
    replica_id: str
    attempt: int

    @property
    def ordinary(self) -> bool:
        """Only further attempts are told of first."""
        return self.attempt == 1


class RewardFailed(Event, tag="reward_failed"):
    """An attempt of a reward call brought no score."""

    job_id: str
    item_id: str
    request_id: str
    replica_id: str
    reason: str
    failures: int
    """Answers of 500 so far; they alone end the item."""


class ItemListed(Event, tag="item_listed"):
    """A result of an item is on the log."""

    job_id: str
    item_id: str
    state: str
    versions: tuple[int, ...]
    attempts: int
    elapsed_ms: float
    scored: bool = False

    @property
    def ordinary(self) -> bool:
        """A success at the first attempt is ordinary."""
        return self.state == "succeeded" and self.attempts <= 1


class JobWhole(Event, tag="job_whole"):
    """The groups that the caller of a job waits for are whole; times since this daemon read the job.

    The parts are those of the item listed last, which decided how long the job took.
    """

    job_id: str
    model: str
    step: int
    items: int
    whole_ms: float
    all_sent_ms: float
    """Until each item had been sent once, of those sent at all."""
    failures: dict[str, int]
    """Attempts of all items that ended without the whole output, by code."""
    last_item: str
    waited_ms: float
    """Until the item was first sent."""
    first_event_ms: float
    """From there to its first event."""
    events: int
    """Events made here; an earlier owner or job may have made others."""
    events_ms: float
    """From its first to its last event, without the time between attempts."""
    stalled_ms: float
    """From the last event of an attempt to the first of the next."""
    attempts: int


class JobRead(Event, tag="job_read"):
    """A caller read results of a job."""

    job_id: str
    position: int
    results: int
    total: int
    elapsed_ms: float

    @property
    def ordinary(self) -> bool:
        """Whether the answer is of the usual course of things."""
        return True


class JobEnded(Event, tag="job_ended"):
    """A job was ended by its caller."""

    job_id: str
    listed: int
    total: int


class JobEndFailed(Event, tag="job_end_failed"):
    """The end of a job was not confirmed to its caller; it may take effect all the same."""

    job_id: str
    reason: str
