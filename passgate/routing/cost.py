"""Measures what routing costs a daemon: time per decision and memory, by number of replicas.

    python -m passgate.routing.cost

Each line is JSON and feeds the capacity page.  One decision is: admit, queue,
choose among the subset, begin, one piece of output, end.
"""

from __future__ import annotations

import time
import tracemalloc
from random import Random

import fire
import msgspec

from passgate.routing.policies import RoutingPolicy
from passgate.routing.prefix import BLOCK_TOKENS, block_hashes
from passgate.routing.replica_directory import ReplicaDirectory
from passgate.routing.work import WorkItem
from passgate.routing.work_scheduler import Placement, WorkScheduler
from passgate.schema import GenerateChunk, LoadReport, MachineInfo, MachineRole
from passgate.state.specs import PoolSpec, PriorityClassSpec

ZONES = 11
PROMPT_TOKENS = 448
MICROSECONDS = 1e6
CALLERS = 50


class RoutingCost(msgspec.Struct, kw_only=True):
    """Cost at one number of replicas."""

    replicas: int
    decision_us: float
    """One request through admission, queue, choice, one piece and its end."""
    piece_us: float
    report_us: float
    list_us: float
    """One reading of the machine list."""
    subset_us: float
    """Choosing the subset anew after a change of the directory."""
    prefix_hash_us: float
    """Hashing one prompt's blocks."""
    state_bytes: int
    """Memory of directory, loads and subset."""
    queued_bytes: int
    """Memory per queued request, without its content."""
    prefix_index_bytes: int
    """Memory of a full prefix index."""


def _machines(count: int) -> list[MachineInfo]:
    return [
        MachineInfo(
            machine_id=f"engine-{number:05d}",
            role=MachineRole.ENGINE,
            address=f"10.0.{number // 250}.{number % 250}:8000",
            zone=f"zone-{number % ZONES}",
            labels={"service": "llm", "zone": f"zone-{number % ZONES}"},
        )
        for number in range(count)
    ]


def _report(name: str, sequence: int) -> LoadReport:
    return LoadReport(
        replica_id=name,
        sequence=sequence,
        running=12,
        waiting=0,
        outstanding_tokens=3_000,
        kv_used_tokens=8_000,
        kv_capacity_tokens=1_000_000,
        tokens_per_s=500.0,
        versions={"m": "3"},
    )


def _item(key: int, prefix: list[int]) -> WorkItem:
    return WorkItem(
        key=key,
        caller=f"caller-{key % CALLERS}",
        pool="llm",
        priority_class="training",
        interactive=False,
        prompt_tokens=PROMPT_TOKENS,
        expected_tokens=200,
        cost=245.0,
        enqueued_s=0.0,
        model="m",
        prefix=prefix,
    )


class _Bench:
    """One scheduler with ``count`` replicas, all reported."""

    def __init__(self, count: int) -> None:
        self.pool = PoolSpec(selector="service=llm", role=MachineRole.ENGINE, model="m")
        self.spec = PriorityClassSpec(max_queued=100_000, max_queued_per_caller=100_000)
        self.machines = _machines(count)
        self.random = Random(1)
        self.prefix = block_hashes(range(PROMPT_TOKENS), BLOCK_TOKENS)
        self.work = WorkScheduler(
            ReplicaDirectory(), lambda name: self.pool, RoutingPolicy(), "zone-0", "daemon-0", self.random
        )
        self.work.directory.apply_machines(self.machines, 0.0)
        self.subset = self.work.chooser.subset(self.pool)
        self.sequence = 0
        self.reports()

    def reports(self) -> None:
        self.sequence += 1
        for replica in self.subset:
            self.work.apply_report(_report(replica.replica_id, self.sequence), float(self.sequence))

    def decision(self, key: int) -> None:
        now_s = key * 0.01
        item = _item(key, self.prefix)
        self.work.submit(item, self.spec, now_s)
        for placement in self.work.place(now_s):
            assert isinstance(placement, Placement)
            self.work.end(item, placement.replica.replica_id, 200, now_s)

    def choose_subset(self) -> None:
        self.work.directory.version += 1
        self.work.chooser.subset(self.pool)

    def memory_bytes(self, build) -> int:
        tracemalloc.start()
        kept = build()
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del kept
        return size


def _per_call_us(action, repeats: int) -> float:
    began_s = time.process_time()
    for number in range(repeats):
        action(number)
    return round((time.process_time() - began_s) / repeats * MICROSECONDS, 2)


def measure(count: int, repeats: int = 5_000) -> RoutingCost:
    """Return the cost with ``count`` replicas in the pool."""
    bench = _Bench(count)
    work = bench.work
    name = bench.subset[0].replica_id
    work.tracker.begin(name, 10**9, PROMPT_TOKENS, 200, "m", 0.0)
    running = _item(10**9, bench.prefix)
    chunk = GenerateChunk(request_id="r", start=0, tokens=(1, 2, 3, 4, 5, 6, 7, 8), version=3)

    def fill_queue() -> None:
        full = WorkScheduler(
            work.directory, lambda name: bench.pool, RoutingPolicy(), "zone-0", "daemon-0", bench.random
        )
        for key in range(2_000):
            full.submit(_item(key, bench.prefix), bench.spec, 0.0)
        return full

    def fill_prefixes() -> object:
        index = type(work.prefixes)(RoutingPolicy().prefix_index_entries)
        hashes = [bench.random.getrandbits(64) for _ in range(RoutingPolicy().prefix_index_entries)]
        for replica in bench.subset:
            index.add(replica.replica_id, hashes)
        return index

    return RoutingCost(
        replicas=count,
        decision_us=_per_call_us(bench.decision, repeats),
        piece_us=_per_call_us(lambda number: work.progress(running, name, chunk, number * 0.1), repeats),
        report_us=_per_call_us(
            lambda number: work.apply_report(_report(name, 100 + number), 100.0 + number), repeats
        ),
        list_us=_per_call_us(lambda number: work.directory.apply_machines(bench.machines, number), 50),
        subset_us=_per_call_us(lambda number: bench.choose_subset(), 50),
        prefix_hash_us=_per_call_us(lambda number: block_hashes(range(PROMPT_TOKENS), BLOCK_TOKENS), 1_000),
        state_bytes=bench.memory_bytes(lambda: _Bench(count)),
        queued_bytes=bench.memory_bytes(fill_queue) // 2_000,
        prefix_index_bytes=bench.memory_bytes(fill_prefixes),
    )


def main(replicas: str = "24,100,1100") -> None:
    """Print one JSON line per number of replicas."""
    counts = replicas if isinstance(replicas, tuple) else [int(text) for text in str(replicas).split(",")]
    for count in counts:
        print(msgspec.json.encode(measure(int(count))).decode())


if __name__ == "__main__":
    fire.Fire(main)
