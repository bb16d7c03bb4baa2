"""Records on the shared log: of batch jobs, of leader election, and of the leader's singleton duties.

One log record is a batch of entries by one writer (one incarnation of a daemon), as zlib-compressed JSON.
The tags and the encoded names of the fields are part of the stored format.

>>> batch = Batch(writer="d1.a", entries=(JobCancelled(job_id="j"),))
>>> decode_batch(encode_batch(batch)) == batch
True
"""

from __future__ import annotations

import enum
import zlib

import msgspec

from passgate.sharedlog.member_names import ADDRESS_SEPARATOR

COMPRESSION_LEVEL = 1


class ResultState(enum.Enum):
    """Outcome of an item."""

    SUCCEEDED = "succeeded"
    """The item has its complete text, and a score if it asks for one."""
    DEAD = "dead"
    """The item has failed for good or expired; a later job may submit it again."""


class RewardSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Request that scores an item's complete text (its reward call)."""

    id: str
    """Identifier of the reward call, which the replica's answer must repeat."""
    host: str
    path: str
    body: bytes = b""


class ItemSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One item of a job, as submitted: a request whose streamed answer is the item's text."""

    id: str
    path: str
    headers: dict[str, str] = {}
    body: bytes = b""
    tokens: int = 0
    group: str = ""
    reward: RewardSpec | None = None
    """Call that scores the item; None if its result is final once its text is complete."""


class BodiesLocation(msgspec.Struct, frozen=True, kw_only=True):
    """Where the bodies of a region-restricted job are stored, apart from the job itself."""

    topic: str
    partition: int = msgspec.field(name="part")
    """Partition of the topic."""
    first: int
    """Offset of the record with the first piece of the bodies."""
    last: int
    """Offset of the record with the last piece; records of other jobs may lie between them."""
    nonce: str
    """Identifies the pieces of these bodies."""
    regions: frozenset[str] = frozenset()
    """Regions allowed when the job was accepted; they apply if the job's route is removed later."""


class ItemBodies(msgspec.Struct, frozen=True, array_like=True):
    """Request bodies of one item and of its reward call."""

    item: bytes
    reward: bytes = b""


class BodiesPiece(msgspec.Struct, frozen=True, kw_only=True):
    """A piece of a job's encoded bodies, which result from joining the pieces in order of ``index``."""

    nonce: str
    index: int
    """Position of this piece, from 0."""
    count: int
    """Number of pieces with this nonce."""
    data: bytes


class JobSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A job with all its items, as submitted."""

    job_id: str
    """Unique over all tenants; see :func:`passgate.gateway.access.tenant_scoped_id`."""
    host: str
    path: str
    """Host and path of the submission; they select the job's route."""
    items: tuple[ItemSpec, ...]
    step: int = 0
    """Training step that the job belongs to."""
    model: str = ""
    min_version: int = 0
    """Oldest version of the weights that may make any part of a result."""
    desired: int = 0
    """Number of item groups that the caller waits for; 0 means all."""
    tenant: str | None = None
    """Tenant that submitted the job, passed on to the replicas; None where there are no tenants."""
    priority: int | None = None
    """Priority of the tenant's requests, which overrides the route's; None to use the route's."""
    bodies_at: BodiesLocation | None = None
    """Where the items' bodies are stored when the spec does not contain them."""


class Score(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Result of a successful reward call: the stamp that the replica put on its answer."""

    call_id: str
    stamp: str
    """Value of the answer's stamp header."""


class Result(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Result of an item; the first one on the log counts for the job."""

    item_id: str
    state: ResultState
    text: str = ""
    versions: tuple[int, ...] = ()
    score: Score | None = None


class Entry(msgspec.Struct, frozen=True, kw_only=True, tag_field="t"):
    """Base class of the entries of a batch; the JSON field ``t`` holds the entry's type."""


class JobPiece(Entry, tag="part"):
    """A piece of a job's encoded spec; the job exists once all pieces with one nonce are on the log."""

    job_id: str
    nonce: str
    """Identifies the pieces of one submission."""
    index: int
    """Position of this piece, from 0."""
    count: int
    """Number of pieces with this nonce."""
    data: bytes
    owner: str = ""
    """Writer that runs the job; empty when the job starts without an owner."""


class JobClaimed(Entry, tag="claim"):
    """Changes a job's owner; ignored unless ``epoch`` is the job's epoch plus one."""

    job_id: str
    owner: str
    """Writer that runs the job from now on; empty to release the job."""
    epoch: int


class ItemsDone(Entry, tag="done"):
    """Results of items of one job; a second result of the same item is ignored."""

    job_id: str
    results: tuple[Result, ...]


class ItemProgressed(Entry, tag="run"):
    """Stream events of an item without a result; another daemon or a later job can resume after them."""

    job_id: str
    item_id: str
    run: str
    """Identifies the run that produced the events; all attempts of a run share it."""
    after: int
    """Number of the item's events before these."""
    data: tuple[str, ...]
    versions: tuple[int, ...]
    """Version of the weights that made each event."""
    last_id: str
    """Event identifier of the last event so far."""
    parent: str = ""
    """Run whose events this run continues; set in the run's first record only."""
    complete: bool = msgspec.field(name="whole", default=False)
    """Whether these events complete the output, before its reward call is sent."""


class JobCancelled(Entry, tag="end"):
    """The caller cancelled the job; its owner stops the items after reading this entry."""

    job_id: str


class LeaderClaimed(Entry, tag="lead"):
    """Makes a writer the leader.

    Ignored if the last accepted claim is not the one at ``after``, or if the previous leader has not stopped
    and has appended a record after ``seen``.
    """

    leader: str = msgspec.field(name="holder")
    """Writer that leads from now on; the offset of this record is its fencing token."""
    after: int
    """Offset of the last accepted claim; -1 when there is none."""
    seen: int = -1
    """Offset of the previous leader's last record that the claimer had read."""


class WriterStopped(Entry, tag="stop"):
    """The batch's writer shuts down gracefully: its jobs have no owner, or it leads no more."""


class WriterAlive(Entry, tag="alive"):
    """Renews the leases of the batch's writer."""

    fence: int = -1
    """Fencing token of the writer's leadership, for readers that did not read its claim; -1 if none."""


class WeightDemand(Entry, tag="need"):
    """What a new job requires of its model's weights, for the leader, which does not read the jobs."""

    model: str
    lag: int
    """Number of versions behind the newest one that the job accepts."""
    items: int
    """Number of items of the job."""


CountByTenant = dict[str, int]
"""Number of requests by tenant."""


class UsageCounted(Entry, tag="usage"):
    """Numbers of requests that one daemon counted in one window since its previous record on the window."""

    meter: str
    """Incarnation of the daemon that counted."""
    number: int
    """Sequence number of the record among those of its meter; a repeated record is counted once."""
    window: int
    counts: CountByTenant


class UsageCommitted(Entry, tag="usage_commit"):
    """Content of a window's usage report, fixed before the first send, so that all sends are identical."""

    window: int
    counts: CountByTenant


class UsageReported(Entry, tag="usage_sent"):
    """The platform accepted the report of a window."""

    window: int


class ReplicasDecided(Entry, tag="scale"):
    """Target number of replicas of a service in a zone; the record's offset is the order's fencing token."""

    service: str
    zone: str
    spot: bool
    """Whether spot, rather than on-demand, replicas are meant."""
    count: int


class ReplicasOrdered(Entry, tag="scale_sent"):
    """The platform accepted or refused the order for replicas that resulted from a decision."""

    service: str
    zone: str
    spot: bool
    decided: int
    """Offset of the decision's record."""


AnyEntry = (
    JobPiece
    | JobClaimed
    | ItemsDone
    | ItemProgressed
    | JobCancelled
    | LeaderClaimed
    | WriterStopped
    | WriterAlive
    | WeightDemand
    | UsageCounted
    | UsageCommitted
    | UsageReported
    | ReplicasDecided
    | ReplicasOrdered
)


def writer_name(daemon_id: str, incarnation: str, peer_address: str) -> str:
    """Return the name of one incarnation of a daemon, which contains its address for peer calls.

    >>> writer_name("front-1", "5f3a", "10.1.0.10:7720")
    'front-1.5f3a@10.1.0.10:7720'
    """
    return f"{daemon_id}.{incarnation}{ADDRESS_SEPARATOR}{peer_address}"


def daemon_of(writer: str) -> str:
    """Return the identifier of a writer's daemon, the same for all its incarnations.

    >>> daemon_of("front-1.5f3a@10.1.0.10:7720")
    'front-1'
    """
    return writer.partition(ADDRESS_SEPARATOR)[0].rpartition(".")[0]


class Batch(msgspec.Struct, frozen=True, kw_only=True):
    """One log record: entries of one writer."""

    writer: str
    entries: tuple[AnyEntry, ...]
    sequence: int = 0
    """Sequence number of the batch among its writer's; a copy has the same number."""


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Batch)
_spec_decoder = msgspec.json.Decoder(JobSpec)


def encode_batch(batch: Batch) -> bytes:
    """Return a batch encoded as a log record."""
    return zlib.compress(_encoder.encode(batch), COMPRESSION_LEVEL)


def decode_batch(data: bytes) -> Batch:
    """Decode a log record; raises msgspec.DecodeError or zlib.error."""
    return _decoder.decode(zlib.decompress(data))


def encode_spec(spec: JobSpec) -> bytes:
    """Return a job's spec as compressed JSON."""
    return zlib.compress(_encoder.encode(spec), COMPRESSION_LEVEL)


def decode_spec(data: bytes) -> JobSpec:
    """Decode a job's spec; raises msgspec.DecodeError or zlib.error."""
    return _spec_decoder.decode(zlib.decompress(data))


def job_pieces(spec: JobSpec, nonce: str, piece_bytes: int, owner: str) -> list[JobPiece]:
    """Return the entries that submit a job, each with at most ``piece_bytes`` of its encoded spec.

    Args:
        spec: the job.
        nonce: identifies this submission.
        piece_bytes: largest size of a piece.
        owner: writer that runs the job; empty for none.
    """
    data = encode_spec(spec)
    pieces = [data[start : start + piece_bytes] for start in range(0, len(data), piece_bytes)]
    return [
        JobPiece(
            job_id=spec.job_id,
            nonce=nonce,
            index=index,
            count=len(pieces),
            data=piece,
            owner=owner,
        )
        for index, piece in enumerate(pieces)
    ]
