"""Records on the shared log: of batch jobs, of the lead, and of the duties that go with it.

One log record is a batch: its writer and some entries, as compressed JSON.

>>> batch = Batch(writer="d1.a", entries=(JobEnded(job_id="j"),))
>>> decode_batch(encode_batch(batch)) == batch
True
"""

from __future__ import annotations

import enum
import zlib

import msgspec

from passgate.sharedlog.member_names import ADDRESS_MARK

COMPRESSION_LEVEL = 1


class ResultState(enum.Enum):
    """How an item ended."""

    SUCCEEDED = "succeeded"
    DEAD = "dead"


class RewardSpec(msgspec.Struct, frozen=True, kw_only=True):
    """The reward call of an item: the request that scores its whole text."""

    id: str
    """Identifies the call at the replica that answers it."""
    host: str
    path: str
    body: bytes = b""


class ItemSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One item of a job as its caller submitted it."""

    id: str
    path: str
    headers: dict[str, str] = {}
    body: bytes = b""
    tokens: int = 0
    group: str = ""
    reward: RewardSpec | None = None
    """Without it the item is done once its text is whole."""


class BodiesPlace(msgspec.Struct, frozen=True, kw_only=True):
    """Where the bodies of a job stand that only some regions may hold."""

    topic: str
    part: int
    first: int
    """Offset of the first record that may hold a piece of them."""
    last: int
    """Offset of the last one."""
    nonce: str
    """Names the pieces that belong together."""
    regions: frozenset[str] = frozenset()
    """Regions that bound the job when it was accepted; they hold when its route is in force no more."""


class ItemBodies(msgspec.Struct, frozen=True, array_like=True):
    """Bodies of one item and of its reward call."""

    item: bytes
    reward: bytes = b""


class BodiesPiece(msgspec.Struct, frozen=True, kw_only=True):
    """A piece of the encoded bodies of a job."""

    nonce: str
    index: int
    count: int
    data: bytes


class JobSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A whole job as its caller submitted it."""

    job_id: str
    """Unique over all tenants; see :func:`passgate.gateway.access.scoped_id`."""
    host: str
    path: str
    items: tuple[ItemSpec, ...]
    step: int = 0
    model: str = ""
    min_version: int = 0
    desired: int = 0
    tenant: str | None = None
    """Tenant that submitted the job, to be named to the replicas; None where there are no tenants."""
    priority: int | None = None
    """Rank of the tenant's requests; replaces the rank of the route."""
    bodies_at: BodiesPlace | None = None
    """Where the bodies of its items stand, if these are not in the spec itself."""


class Score(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a reward call brought."""

    call_id: str
    stamp: str
    """Signature of the replica that answered the call with a success."""


class Result(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The final result of an item."""

    item_id: str
    state: ResultState
    text: str = ""
    versions: tuple[int, ...] = ()
    score: Score | None = None


class Entry(msgspec.Struct, frozen=True, kw_only=True, tag_field="t"):
    """Base of all entries."""


class JobPart(Entry, tag="part"):
    """A piece of a job's encoded spec; the job exists once all pieces of a nonce stand on the log."""

    job_id: str
    nonce: str
    index: int
    count: int
    data: bytes
    owner: str = ""
    """Writer that shall run the job; nobody yet when empty."""


class JobClaimed(Entry, tag="claim"):
    """``owner`` runs the job from now on, if ``epoch`` is the next one."""

    job_id: str
    owner: str
    epoch: int


class ItemsDone(Entry, tag="done"):
    """Results of items of one job; a second result of an item counts for nothing."""

    job_id: str
    results: tuple[Result, ...]


class ItemProgressed(Entry, tag="run"):
    """Events of an unfinished item, so that another daemon or a later job can go on after them."""

    job_id: str
    item_id: str
    run: str
    """Names the run that made the events, over all its attempts."""
    after: int
    """Number of events before these."""
    data: tuple[str, ...]
    versions: tuple[int, ...]
    last_id: str
    """Identifier of the last of these events."""
    parent: str = ""
    """Run that this one goes on from, in its first record."""
    whole: bool = False
    """Whether these events end the output, which now waits for its reward call."""


class JobEnded(Entry, tag="end"):
    """The caller wants no more of the job."""

    job_id: str


class LeaderClaimed(Entry, tag="lead"):
    """``holder`` gives orders from now on, if nothing was heard of the last leader since."""

    holder: str
    after: int
    """Offset of the last claim that counted."""
    seen: int = -1
    """Offset of the last record of that leader which the claimer had read."""


class WriterStopped(Entry, tag="stop"):
    """The writer of this batch ends as planned; its jobs are free."""


class WriterAlive(Entry, tag="alive"):
    """Renews the leases of the batch's writer."""

    fence: int = -1
    """Fence under which the writer leads, if it does; tells those whose history began later."""


class JobNoted(Entry, tag="need"):
    """What a new job asks of its model's weights; kept apart from the job for the leader."""

    model: str
    lag: int
    """How many versions behind the newest the job allows."""
    items: int


Counts = dict[str, int]
"""Tenant to number of requests."""


class UsageCounted(Entry, tag="usage"):
    """Requests that replicas began in one window, as one daemon counted them since its last count."""

    meter: str
    """Life of the daemon that counted."""
    number: int
    """Numbers that daemon's counts; a repeated record counts once."""
    window: int
    counts: Counts


class UsageCommitted(Entry, tag="usage_commit"):
    """The report of a window, before it is first sent; whoever reports sends exactly this."""

    window: int
    counts: Counts


class UsageReported(Entry, tag="usage_sent"):
    """The platform accepted the report of a window."""

    window: int


class ReplicasDecided(Entry, tag="scale"):
    """How many replicas of one kind a service shall have in a zone; its offset is the order's fence."""

    service: str
    zone: str
    spot: bool
    count: int


class ReplicasOrdered(Entry, tag="scale_sent"):
    """The platform accepted or refused the order of a decision."""

    service: str
    zone: str
    spot: bool
    decided: int
    """Offset of the decision."""


AnyEntry = (
    JobPart
    | JobClaimed
    | ItemsDone
    | ItemProgressed
    | JobEnded
    | LeaderClaimed
    | WriterStopped
    | WriterAlive
    | JobNoted
    | UsageCounted
    | UsageCommitted
    | UsageReported
    | ReplicasDecided
    | ReplicasOrdered
)


def writer_name(daemon_id: str, life: str, peer_address: str) -> str:
    """Return the name of one life of a daemon; it tells where other daemons reach it.

    >>> writer_name("front-1", "5f3a", "10.1.0.10:7720")
    'front-1.5f3a@10.1.0.10:7720'
    """
    return f"{daemon_id}.{life}{ADDRESS_MARK}{peer_address}"


def daemon_of(writer: str) -> str:
    """Return the daemon of a writer.

    >>> daemon_of("front-1.5f3a@10.1.0.10:7720")
    'front-1'
    """
    return writer.partition(ADDRESS_MARK)[0].rpartition(".")[0]


class Batch(msgspec.Struct, frozen=True, kw_only=True):
    """What one append holds: entries of one writer."""

    writer: str
    entries: tuple[AnyEntry, ...]
    sequence: int = 0
    """Counts the writer's batches."""


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Batch)
_spec_decoder = msgspec.json.Decoder(JobSpec)


def encode_batch(batch: Batch) -> bytes:
    """Return the log record of a batch."""
    return zlib.compress(_encoder.encode(batch), COMPRESSION_LEVEL)


def decode_batch(data: bytes) -> Batch:
    """Return the batch of a log record; raises msgspec.DecodeError or zlib.error."""
    return _decoder.decode(zlib.decompress(data))


def encode_spec(spec: JobSpec) -> bytes:
    """Return a job's spec, compressed."""
    return zlib.compress(_encoder.encode(spec), COMPRESSION_LEVEL)


def decode_spec(data: bytes) -> JobSpec:
    """Return the spec of its compressed form."""
    return _spec_decoder.decode(zlib.decompress(data))


def split_spec(spec: JobSpec, nonce: str, piece_bytes: int, owner: str) -> list[JobPart]:
    """Return the entries that put a job on the log."""
    data = encode_spec(spec)
    pieces = [data[start : start + piece_bytes] for start in range(0, len(data), piece_bytes)]
    return [
        JobPart(
            job_id=spec.job_id,
            nonce=nonce,
            index=index,
            count=len(pieces),
            data=piece,
            owner=owner,
        )
        for index, piece in enumerate(pieces)
    ]
