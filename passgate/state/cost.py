"""Measures what log state costs a daemon: time per record, bytes on the log, memory.

    python -m passgate.state.cost

Each line is JSON and feeds the capacity page.  Records go through decoding, the
removal of copies and the fold, as in a follower.  Times are the best of several
rounds, so that other work on the machine counts little.
"""

from __future__ import annotations

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Callable, Iterable
from random import Random

import fire
import msgspec

from passgate.records import (
    Body,
    ClaimCompleted,
    ClaimMade,
    KeeperTaken,
    LeaseReleased,
    LeaseTaken,
    LotOpened,
    ObjectPut,
    PackedPrompt,
    PromptSpec,
    Record,
    SampleCommitted,
    SamplesAcknowledged,
    SamplesHandedOver,
    encode_record,
    pack_tokens,
)
from passgate.schema import FinishReason, GenerateRequest, GenerateResult, VersionSpan
from passgate.state.claim_state import ClaimFold
from passgate.state.claims import ClaimOutcome, ClaimService
from passgate.state.configuration_state import ConfigurationState
from passgate.state.fold import Fold, StreamState
from passgate.state.lease_state import LeaseFold
from passgate.state.log_follower import LogFollower
from passgate.state.lot_state import LotFold
from passgate.state.lots import LotRequest, LotService
from passgate.state.memory_log import MemoryLog, MemoryLogClient

MICROSECONDS = 1e6
ROUNDS = 5
WRITER = "caruaru-1/7f3a91c0"
PROMPT_TOKENS = 448


class RecordCost(msgspec.Struct, kw_only=True, tag_field="measure", tag="record"):
    """Cost of one kind of record; ``size`` is what grows."""

    kind: str
    size: int
    """Objects, roles or tokens per sample."""
    fold_us: float
    """Decoding, copy removal and fold of one record."""
    log_bytes: int
    """Mean bytes of one record on the log."""
    memory_bytes: int
    """Memory that the state keeps per object, role, key or slot."""


class ProposalCost(msgspec.Struct, kw_only=True, tag_field="measure", tag="proposal"):
    """Processor time of a proposal from call to decision, on a log in memory."""

    concurrent: int
    """Proposals made at once, which share one append."""
    proposal_us: float


class ClaimedRunCost(msgspec.Struct, kw_only=True, tag_field="measure", tag="claimed_run"):
    """Processor time that ``ClaimService.run_once`` adds to a request."""

    concurrent: int
    run_us: float


class LotServiceCost(msgspec.Struct, kw_only=True, tag_field="measure", tag="lot_service"):
    """Processor time of one daemon that keeps and serves a lot, per sample."""

    tokens: int
    sample_us: float
    """Production by a back end that costs nothing, commit, hand-over, page and acknowledgement."""
    log_bytes: int
    """Bytes on the log per sample, the prompt included."""


class FollowerCost(msgspec.Struct, kw_only=True, tag_field="measure", tag="follower"):
    """Memory of one stream that is followed and holds nothing."""

    memory_bytes: int


class SnapshotCost(msgspec.Struct, kw_only=True, tag_field="measure", tag="snapshot"):
    """Cost of a snapshot of the configuration."""

    objects: int
    write_ms: float
    restore_ms: float
    snapshot_bytes: int


def _payloads(bodies: Iterable[tuple[int, Body]], writers: int = 1) -> list[bytes]:
    """Encode (epoch, body) pairs as records of several writers in turn."""
    payloads = []
    for number, (epoch, body) in enumerate(bodies):
        writer, sequence = f"{WRITER}/{number % writers}", 1 + number // writers
        payloads.append(encode_record(Record(writer=writer, sequence=sequence, epoch=epoch, body=body)))
    return payloads


def _replay(make_fold: Callable[[], Fold], payloads: list[bytes]) -> StreamState:
    state = StreamState(make_fold())
    for offset, payload in enumerate(payloads):
        state.apply(offset, payload)
    return state


def _best_s(work: Callable[[], object]) -> float:
    times = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        work()
        times.append(time.perf_counter() - started)
    return min(times)


def _memory_bytes(work: Callable[[], object]) -> int:
    gc.collect()
    tracemalloc.start()
    kept = work()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used


def _measure(
    kind: str, size: int, kept: int, make_fold: Callable[[], Fold], payloads: list[bytes]
) -> RecordCost:
    return RecordCost(
        kind=kind,
        size=size,
        fold_us=round(_best_s(lambda: _replay(make_fold, payloads)) / len(payloads) * MICROSECONDS, 2),
        log_bytes=sum(map(len, payloads)) // len(payloads),
        memory_bytes=_memory_bytes(lambda: _replay(make_fold, payloads)) // kept,
    )


def _versions(count: int) -> list[tuple[int, Body]]:
    spec = b'{"model":"modelos","version":%d,"uri":"store://modelos/step-%d"}'
    return [
        (
            0,
            ObjectPut(
                object_kind="ModelVersion",
                name=f"modelos-{number}",
                expected_revision=0,
                labels={"model": "modelos", "stage": "candidate"},
                spec=msgspec.Raw(spec % (number, number)),
            ),
        )
        for number in range(1, count + 1)
    ]


def measure_configuration(objects: int) -> RecordCost:
    """Measure puts of new objects."""
    return _measure("object_put", objects, objects, ConfigurationState, _payloads(_versions(objects), 100))


def measure_leases(roles: int) -> RecordCost:
    """Measure a role's life: taken, released, taken by another daemon."""
    bodies: list[tuple[int, Body]] = []
    for number in range(roles):
        role = f"pool/modelos-{number}"
        bodies.append((1, LeaseTaken(role=role, holder=WRITER)))
        bodies.append((1, LeaseReleased(role=role, holder=WRITER)))
        bodies.append((2, LeaseTaken(role=role, holder=f"{WRITER}/next")))
    return _measure("lease", roles, roles, LeaseFold, _payloads(bodies, 100))


def measure_claim(body_bytes: int) -> RecordCost:
    """Measure the claim and the outcome of one key, with a fold of its own."""
    outcome = ClaimCompleted(key="key", status=200, content_type="application/json", body="x" * body_bytes)
    claim = ClaimMade(key="key", request_digest="0" * 32, holder=WRITER)
    return _measure("claim", body_bytes, 1, ClaimFold, _payloads([(0, claim), (0, outcome)]))


def _committed(index: int, tokens: int) -> SampleCommitted:
    return SampleCommitted(
        index=index,
        attempt=0,
        packed_tokens=pack_tokens(
            [1000 + (index * 7919 + position * 31) % 120_000 for position in range(tokens)]
        ),
        spans=(VersionSpan(0, tokens // 2, 7), VersionSpan(tokens // 2, tokens, 8)),
        finish_reason=FinishReason.STOP,
        replica_id="modelos-3",
    )


def _opened(slots: int) -> list[tuple[int, Body]]:
    opened = LotOpened(
        lot_id="step-7",
        caller="trainer",
        pool="modelos",
        model="modelos",
        priority_class="training",
        staleness_bound=1,
        trainer_version=8,
        deadline_unix_s=None,
        packed_prompts=tuple(
            PackedPrompt(
                tokens=pack_tokens(range(1000 + index, 1000 + index + PROMPT_TOKENS)), max_tokens=4096
            )
            for index in range(slots)
        ),
    )
    return [(0, opened), (1, KeeperTaken(holder=WRITER))]


def measure_open_lot(slots: int) -> RecordCost:
    """Measure a lot that was only opened: its prompts are what it keeps."""
    return _measure("lot_opened", PROMPT_TOKENS, slots, LotFold, _payloads(_opened(slots)))


def measure_committed_lot(slots: int, tokens: int) -> RecordCost:
    """Measure commits; memory includes the prompts."""
    bodies = _opened(slots) + [(1, _committed(index, tokens)) for index in range(slots)]
    return _measure("sample_committed", tokens, slots, LotFold, _payloads(bodies))


def measure_finished_lot(slots: int, tokens: int, page: int = 64) -> RecordCost:
    """Measure whole lots: committed, handed over and acknowledged in pages."""
    bodies = _opened(slots) + [(1, _committed(index, tokens)) for index in range(slots)]
    for start in range(0, slots, page):
        indexes = tuple(range(start, min(slots, start + page)))
        bodies.append((0, SamplesHandedOver(indexes=indexes, trainer_version=8)))
        bodies.append((0, SamplesAcknowledged(indexes=indexes)))
    return _measure("lot_finished", tokens, slots, LotFold, _payloads(bodies))


def measure_proposals(concurrent: int, proposals: int = 2048) -> ProposalCost:
    """Measure lease proposals through a follower."""

    async def run() -> float:
        follower = LogFollower(MemoryLogClient(MemoryLog(), latency_s=0.0), "s", LeaseFold(), WRITER)
        follower.start()
        started = time.process_time()
        for first in range(0, proposals, concurrent):
            await asyncio.gather(*(_take(follower, number) for number in range(first, first + concurrent)))
        used_s = time.process_time() - started
        await follower.close()
        return used_s

    best_s = min(asyncio.run(run()) for _ in range(ROUNDS))
    return ProposalCost(concurrent=concurrent, proposal_us=round(best_s / proposals * MICROSECONDS, 1))


async def _take(follower: LogFollower, number: int) -> None:
    await follower.propose(LeaseTaken(role=f"role-{number}", holder=WRITER), epoch=1, timeout_s=60.0)


def measure_claimed_runs(concurrent: int, runs: int = 512) -> ClaimedRunCost:
    """Measure runs under different keys."""

    async def answer() -> ClaimOutcome:
        return ClaimOutcome(200, "application/json", b"x" * 1024)

    async def run() -> float:
        client = MemoryLogClient(MemoryLog(), latency_s=0.0)
        service = ClaimService(client, WRITER, lambda holder: True, Random(1))
        started = time.process_time()
        for first in range(0, runs, concurrent):
            keys = range(first, first + concurrent)
            await asyncio.gather(*(service.run_once(f"key-{key}", "0" * 32, answer, 60.0) for key in keys))
        await service.drain(60.0)
        return time.process_time() - started

    best_s = min(asyncio.run(run()) for _ in range(ROUNDS))
    return ClaimedRunCost(concurrent=concurrent, run_us=round(best_s / runs * MICROSECONDS, 1))


def measure_lot_service(slots: int, tokens: int) -> LotServiceCost:
    """Measure a lot from its opening to the last acknowledgement."""
    produced = tuple(1000 + position * 31 % 120_000 for position in range(tokens))
    prompt = PromptSpec(prompt=tuple(range(1000, 1000 + PROMPT_TOKENS)), max_tokens=4096)
    request = LotRequest(caller="t", pool="p", model="m", staleness_bound=1, prompts=(prompt,) * slots)
    log = MemoryLog()

    async def produce(wanted: GenerateRequest) -> GenerateResult:
        return GenerateResult(
            request_id=wanted.request_id,
            tokens=produced,
            spans=(VersionSpan(0, tokens, 8),),
            finish_reason=FinishReason.STOP,
            replica_id="modelos-3",
        )

    async def run(number: int) -> float:
        client = MemoryLogClient(log, latency_s=0.0)
        service = LotService(client, produce, lambda model: 8, WRITER, lambda keeper: True, Random(1))
        started = time.process_time()
        await service.open(request, f"lot-{number}")
        cursor, finished = 0, False
        while not finished:
            page = await service.read(f"lot-{number}", cursor, 64, 10.0)
            cursor, finished = page.next_cursor, page.finished
            await service.acknowledge(f"lot-{number}", [sample.sample_id for sample in page.samples])
        used_s = time.process_time() - started
        await service.close()
        return used_s

    best_s = min(asyncio.run(run(number)) for number in range(ROUNDS))
    log_bytes = sum(sum(map(len, records)) for records in log.streams.values()) // (ROUNDS * slots)
    return LotServiceCost(
        tokens=tokens, sample_us=round(best_s / slots * MICROSECONDS, 1), log_bytes=log_bytes
    )


def measure_followers(count: int = 500) -> FollowerCost:
    """Measure followers of empty streams, each with a waiting read."""

    async def run() -> int:
        client = MemoryLogClient(MemoryLog(), latency_s=0.0)
        gc.collect()
        tracemalloc.start()
        followers = [LogFollower(client, f"s{number}", LeaseFold(), WRITER) for number in range(count)]
        for follower in followers:
            follower.start()
        await asyncio.sleep(0.2)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        await asyncio.gather(*(follower.close() for follower in followers))
        return used

    return FollowerCost(memory_bytes=asyncio.run(run()) // count)


def measure_snapshot(objects: int) -> SnapshotCost:
    """Measure writing and restoring a snapshot of the configuration."""
    state = _replay(ConfigurationState, _payloads(_versions(objects), 100))
    snapshot = state.snapshot()
    assert snapshot is not None
    return SnapshotCost(
        objects=objects,
        write_ms=round(_best_s(state.snapshot) * 1000, 2),
        restore_ms=round(_best_s(lambda: StreamState(ConfigurationState()).restore(snapshot)) * 1000, 2),
        snapshot_bytes=len(bytes(snapshot.state)),
    )


def main(quick: bool = False) -> None:
    """Print one JSON line per measurement; ``--quick`` uses small sizes."""
    scale = 16 if quick else 1
    measures: list[Callable[[], msgspec.Struct]] = [
        *(lambda size=size: measure_configuration(size // scale) for size in (256, 1024, 4096)),
        *(lambda size=size: measure_leases(size // scale) for size in (256, 4096)),
        lambda: measure_claim(1024),
        lambda: measure_open_lot(512 // scale),
        *(lambda tokens=tokens: measure_committed_lot(512 // scale, tokens) for tokens in (64, 512, 2048)),
        *(lambda tokens=tokens: measure_finished_lot(512 // scale, tokens) for tokens in (64, 2048)),
        *(lambda number=number: measure_proposals(number) for number in (1, 16, 256)),
        *(lambda number=number: measure_claimed_runs(number) for number in (1, 16)),
        *(lambda tokens=tokens: measure_lot_service(512 // scale, tokens) for tokens in (64, 512, 2048)),
        lambda: measure_followers(512 // scale),
        *(lambda size=size: measure_snapshot(size // scale) for size in (256, 4096)),
    ]
    for measure in measures:
        print(msgspec.json.encode(measure()).decode(), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
