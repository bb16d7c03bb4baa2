from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passgate.routing.call_latency import CallLatencyEstimator
from passgate.routing.hedging import AttemptProgress, HedgePlanner, HedgeReason
from passgate.routing.load_tracker import LoadTracker
from passgate.routing.policies import RoutingPolicy, SchedulerKind
from passgate.routing.prefix_index import PrefixIndex
from passgate.routing.replica_health import MAX_EJECTION_S, ReplicaHealth
from passgate.routing.replica_scheduler import ReplicaView, make_scheduler
from passgate.routing.subset import ReplicaKey, choose_subset
from passgate.routing.work import WorkItem
from passgate.schema import CacheEvent, CacheEventKind, MachineRole


def make_event(sequence, block, kind=CacheEventKind.STORED):
    return CacheEvent(replica_id="e1", sequence=sequence, kind=kind, block_hash=block)


def test_gap_in_cache_events_discards_the_replicas_entries():
    index = PrefixIndex(max_entries=100)
    index.add_blocks("e2", [1])
    index.apply_events("e1", [make_event(1, 1), make_event(2, 2)])
    assert index.matched_blocks([1, 2]) == {"e1": 2, "e2": 1}
    index.apply_events("e1", [make_event(2, 9), make_event(4, 3)])
    assert index.matched_blocks([1, 2]) == {"e2": 1}
    assert index.matched_blocks([3]) == {"e1": 1}
    index.apply_events("e1", [make_event(5, 3, CacheEventKind.EVICTED)])
    assert index.matched_blocks([3]) == {}


def test_prefix_index_stays_bounded_while_many_replicas_are_discarded():
    index = PrefixIndex(max_entries=50)
    index.add_blocks("kept", [-1])
    for number in range(400):
        index.add_blocks("kept", [-1])
        index.add_blocks(f"e{number}", [-1, number])
        index.discard_replica(f"e{number}")
    assert len(index) <= 50
    assert index.matched_blocks([-1]) == {"kept": 1}
    index.retain(set())
    assert index.matched_blocks([-1]) == {}


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 60)), max_size=60), st.randoms())
@settings(max_examples=60, deadline=None)
def test_tracker_counts_nothing_after_all_requests_ended(steps, random):
    tracker = LoadTracker(report_lag_s=0.3, slowdown_per_request=0.005)
    replica_by_key = {}
    for key, (replica, tokens) in enumerate(steps):
        name = f"e{replica}"
        now_s = float(key)
        tracker.record_start(name, key, 10, tokens + 1, "m", now_s)
        replica_by_key[key] = name
        other_key = random.choice(sorted(replica_by_key))
        tracker.record_output(replica_by_key[other_key], other_key, tokens, now_s)
        if random.random() < 0.5:
            tracker.record_end(replica_by_key[other_key], other_key, now_s)
            del replica_by_key[other_key]
    for key, name in replica_by_key.items():
        assert tracker.load(name).own_tokens > 0
        tracker.record_end(name, key, 100.0)
        tracker.record_end(name, key, 100.0)
    for replica in range(4):
        load = tracker.load(f"e{replica}")
        assert (load.own_tokens, load.own_kv_tokens, load.own_requests, load.own_prefill_tokens) == (
            0,
            0,
            0,
            0,
        )
        assert not load.own_requests_by_model


def test_subsets_are_limited_stable_and_balanced():
    replicas = [ReplicaKey(replica_id=f"e{number}", zone=f"z{number % 11}") for number in range(1100)]
    use_count_by_replica = Counter()
    changed_count = 0
    for daemon in range(420):
        daemon_id, zone = f"d{daemon}", f"z{daemon % 11}"
        chosen = choose_subset(daemon_id, zone, replicas, 16, 0.5)
        assert len(chosen) == 16
        assert sum(replica.zone == zone for replica in chosen) >= 8
        use_count_by_replica.update(replica.replica_id for replica in chosen)
        chosen_without_e0 = choose_subset(daemon_id, zone, replicas[1:], 16, 0.5)
        changed_count += len({r.replica_id for r in chosen} - {r.replica_id for r in chosen_without_e0})
    assert changed_count == use_count_by_replica["e0"]
    assert max(use_count_by_replica.values()) <= 4 * 420 * 16 / 1100


def test_ejected_replica_gets_one_request_at_a_time_until_one_succeeds():
    health = ReplicaHealth()
    names = ["e1", "e2", "e3"]
    now_s = 0.0
    for _ in range(20):
        health.record_failure("e1", now_s, unreachable=True)
        assert "e1" not in health.filter_usable(names, now_s + 0.5)
        now_s += MAX_EJECTION_S
        assert "e1" in health.filter_usable(names, now_s)
        health.record_send("e1", now_s)
        assert "e1" not in health.filter_usable(names, now_s)
        now_s += 2.0
    health.record_success("e1")
    assert health.filter_usable(names, now_s) == names


def test_failing_requests_never_eject_the_whole_pool():
    health = ReplicaHealth()
    for name in ("e1", "e2", "e3"):
        for _ in range(5):
            health.record_failure(name, 0.0)
    assert health.filter_usable(["e1", "e2", "e3"], 0.1) == ["e1", "e2", "e3"]


def make_progress(key, **changes):
    values = {
        "replica_id": "e1",
        "last_chunk_s": 10.0,
        "received_tokens": 10,
        "remaining_tokens": 200,
        "time_per_token_s": 0.1,
        "prompt_tokens": 100,
    }
    return AttemptProgress(key=key, **{**values, **changes})


def test_hedges_are_limited_and_the_longest_output_goes_first():
    planner = HedgePlanner(RoutingPolicy(max_hedge_share=0.1))
    attempts = [make_progress(key, remaining_tokens=100 + key) for key in range(30)]
    time_per_token_by_replica_s = {"e1": 0.1, "e2": 0.02}
    orders = planner.plan(attempts, time_per_token_by_replica_s, has_queued_requests=False, now_s=10.1)
    assert [order.key for order in orders] == [29, 28, 27]
    assert planner.plan(attempts, time_per_token_by_replica_s, has_queued_requests=True, now_s=10.1) == []
    assert (
        planner.plan(
            attempts, time_per_token_by_replica_s, has_queued_requests=False, now_s=10.1, running_hedges=3
        )
        == []
    )
    stalled = planner.plan(attempts, time_per_token_by_replica_s, has_queued_requests=True, now_s=60.0)
    assert {order.reason for order in stalled} == {HedgeReason.STALLED}


@pytest.mark.parametrize("kind", list(SchedulerKind))
def test_schedulers_balance_equal_requests(kind):
    scheduler = make_scheduler(RoutingPolicy(scheduler=kind), Random(1))
    counts = Counter({f"e{number}": 0 for number in range(5)})
    work = WorkItem(
        key=1,
        caller="a",
        pool="p",
        priority_class="training",
        interactive=False,
        prompt_tokens=100,
        expected_tokens=200,
        cost=1.0,
        enqueued_s=0.0,
    )
    for _ in range(100):
        views = [
            ReplicaView(
                replica_id=name,
                request_count=count,
                outstanding_tokens=300 * count,
                time_per_token_s=0.02 * (1 + 0.005 * count),
            )
            for name, count in counts.items()
        ]
        counts[scheduler.choose(views, work).replica_id] += 1
    assert set(counts.values()) == {20}


def test_slow_replica_is_not_chosen_although_it_has_fewer_requests():
    scheduler = make_scheduler(RoutingPolicy(), Random(1))
    work = WorkItem(
        key=1,
        caller="a",
        pool="p",
        priority_class="training",
        interactive=False,
        prompt_tokens=100,
        expected_tokens=200,
        cost=1.0,
        enqueued_s=0.0,
    )
    views = [
        ReplicaView(replica_id="slow", request_count=1, time_per_token_s=0.08),
        ReplicaView(replica_id="fast", request_count=30, time_per_token_s=0.024, outstanding_tokens=9000),
    ]
    assert scheduler.choose(views, work).replica_id == "fast"


def test_slow_application_replica_gets_few_calls_but_not_none():
    estimator = CallLatencyEstimator()
    scheduler = make_scheduler(RoutingPolicy(), Random(1), MachineRole.APP)
    latency_by_replica_s = {"slow": 0.4, "fast": 0.08}
    counts = Counter()
    for number in range(200):
        now_s = number * 0.5
        views = [
            ReplicaView(replica_id=name, call_latency_s=estimator.latency_s(name, now_s))
            for name in latency_by_replica_s
        ]
        name = scheduler.choose(views, None).replica_id
        counts[name] += 1
        estimator.record_call(name, latency_by_replica_s[name], now_s)
    assert 0 < counts["slow"] < 60
