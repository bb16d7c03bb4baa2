"""Records on the shared log: of batch jobs, of leader election, and of the leader's singleton duties.

One log record is a batch of entries by one writer, as zlib-compressed JSON.  The names of the
fields and the tags are part of the stored format.

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
    """Request identifier that the replica's answer must repeat."""
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
    """None when the item is not scored; its result is then final once its text is complete."""


class BodiesLocation(msgspec.Struct, frozen=True, kw_only=True):
    """Where the bodies of a region-restricted job are stored, apart from the job itself."""

    topic: str
    partition: int = msgspec.field(name="part")
    """Partition of the topic."""
    first: int
    """Offset of the first record that may hold a piece of the bodies."""
    last: int
    """Offset of the last such record."""
    nonce: str
    """Identifies the pieces that belong together."""
    regions: frozenset[str] = frozenset()
    """Regions allowed when the job was accepted; they still apply after its route was removed."""


class ItemBodies(msgspec.Struct, frozen=True, array_like=True):
    """Request bodies of one item and of its reward call."""

    item: bytes
    reward: bytes = b""


class BodiesPiece(msgspec.Struct, frozen=True, kw_only=True):
    """A piece of a job's encoded bodies."""

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
    """Oldest version of the weights that may make a result."""
    desired: int = 0
    """Number of item groups that the caller waits for; 0 means all."""
    tenant: str | None = None
    """Tenant that submitted the job, passed on to the replicas; None where there are no tenants."""
    priority: int | None = None
    """Priority of the tenant's requests; overrides that of the route."""
    bodies_at: BodiesLocation | None = None
    """Where the items' bodies are stored when the spec does not contain them."""


class Score(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Result of a reward call."""

    call_id: str
    stamp: str
    """Signature of the replica that answered the call successfully."""


class Result(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Final result of an item."""

    item_id: str
    state: ResultState
    text: str = ""
    versions: tuple[int, ...] = ()
    score: Score | None = None


class Entry(msgspec.Struct, frozen=True, kw_only=True, tag_field="t"):
    """Base class of the entries of a batch; the JSON field ``t`` holds the entry's type."""


class JobPiece(Entry, tag="part"):
    """A piece of a job's encoded spec; the job exists once all pieces of a nonce are on the log."""

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
    """``owner`` runs the job from now on; ignored unless ``epoch`` is the job's epoch plus one."""

    job_id: str
    owner: str
    epoch: int


class ItemsDone(Entry, tag="done"):
    """Results of items of one job; a second result of the same item is ignored."""

    job_id: str
    results: tuple[Result, ...]


class ItemProgressed(Entry, tag="run"):
    """Stream events of an unfinished item, so that another daemon or a later job can resume after them."""

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
    """Whether these events complete the output, which then waits for its reward call."""


class JobCancelled(Entry, tag="end"):
    """The caller cancelled the job: no item of it is run any more."""

    job_id: str


class LeaderClaimed(Entry, tag="lead"):
    """``leader`` leads from now on.

    Ignored when another claim was accepted after the one at ``after``, or when the previous
    leader appended a record after ``seen``.
    """

    leader: str = msgspec.field(name="holder")
    after: int
    """Offset of the last accepted claim; -1 when there is none."""
    seen: int = -1
    """Offset of the previous leader's last record that the claimer had read."""


class WriterStopped(Entry, tag="stop"):
    """The batch's writer shuts down gracefully; its jobs have no owner any more."""


class WriterAlive(Entry, tag="alive"):
    """Renews the leases of the batch's writer."""

    fence: int = -1
    """Fence of the writer's leadership, -1 when it does not lead; for readers that did not read its claim."""


class WeightDemand(Entry, tag="need"):
    """What a new job requires of its model's weights, for the leader, which does not read the jobs."""

    model: str
    lag: int
    """How many versions behind the newest one the job accepts."""
    items: int
    """Number of items of the job."""


CountByTenant = dict[str, int]
"""Maps tenants to numbers of requests."""


class UsageCounted(Entry, tag="usage"):
    """Requests that replicas began in one window, as counted by one daemon since its previous count."""

    meter: str
    """Incarnation of the daemon that counted."""
    number: int
    """Sequence number of that daemon's counts; a repeated record is counted once."""
    window: int
    counts: CountByTenant


class UsageCommitted(Entry, tag="usage_commit"):
    """Contents of a window's report, fixed before it is first sent; every send must be identical."""

    window: int
    counts: CountByTenant


class UsageReported(Entry, tag="usage_sent"):
    """The platform accepted the report of a window."""

    window: int


class ReplicasDecided(Entry, tag="scale"):
    """Target number of a service's spot or on-demand replicas in a zone; its offset fences the order."""

    service: str
    zone: str
    spot: bool
    count: int


class ReplicasOrdered(Entry, tag="scale_sent"):
    """The platform accepted or refused the scaling order that a decision led to."""

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
    """Return the name of one incarnation of a daemon, which includes its address for other daemons.

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
    """Sequence number of the writer's batches, by which it recognizes its own when it reads them."""


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
