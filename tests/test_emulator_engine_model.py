"""Engine model: conservation of requests and blocks, determinism, orders, weight swaps and crashes."""

from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passgate.emulator.engine_events import (
    ChunkProduced,
    EndReason,
    StreamEnded,
    SwapFailure,
    TransferRequested,
)
from passgate.emulator.engine_model import EngineModel
from passgate.emulator.expected_output import LengthDistribution, Verdict, output_length, verify_output
from passgate.emulator.parameters import EngineParameters, FenceScope, ModelParameters
from passgate.errors import BackendRefused, OrderRefused
from passgate.schema import CacheEventKind, EngineOrder, GenerateRequest, OrderKind, VersionSpan

LENGTHS = LengthDistribution(median_tokens=30, sigma=0.8)
MODELS = [ModelParameters(name="m", lengths=LENGTHS)]


def make_engine(models=MODELS, **changes) -> EngineModel:
    return EngineModel("e0", EngineParameters(**changes), models, Random(1), now_s=0.0)


def request(name: str, tokens=40, model="m", **changes) -> GenerateRequest:
    fields = {"prompt": tuple(range(tokens)), "max_tokens": 200, "seed": 7} | changes
    return GenerateRequest(request_id=name, caller="c", pool="p", model=model, **fields)


def long_request(name: str, **changes) -> GenerateRequest:
    base_request = request(name, max_tokens=400, **changes)
    seed = next(seed for seed in range(1000) if output_length(base_request.prompt, seed, LENGTHS) > 120)
    return msgspec.structs.replace(base_request, seed=seed)


def run(engine: EngineModel, until_s=float("inf")) -> list[tuple[float, object]]:
    """Advance the engine through all its events up to ``until_s``; return the events with their times."""
    events = []
    while (due_s := engine.next_event_s()) is not None and due_s <= until_s:
        events += [(due_s, event) for event in engine.advance(due_s)]
    return events


def output(events, name: str) -> tuple[tuple[int, ...], tuple[VersionSpan, ...], object]:
    """Return the tokens, version spans and finish reason of a request's chunks."""
    tokens: list[int] = []
    spans: list[VersionSpan] = []
    finish_reason = None
    for _, event in events:
        if isinstance(event, ChunkProduced) and event.chunk.request_id == name:
            chunk = event.chunk
            if chunk.tokens:
                spans.append(VersionSpan(chunk.start, chunk.start + len(chunk.tokens), chunk.version))
            tokens += chunk.tokens
            finish_reason = chunk.finish_reason
    return tuple(tokens), tuple(spans), finish_reason


def assert_correct(events, expected_request: GenerateRequest) -> None:
    tokens, spans, finish_reason = output(events, expected_request.request_id)
    assert verify_output(expected_request, tokens, spans, finish_reason, LENGTHS) is Verdict.CORRECT


def order(kind, fence=1, name=None, **fields) -> EngineOrder:
    fields = {"model": "m"} | fields
    name = name or f"{kind.value}/{fence}/{fields}"
    return EngineOrder(order_id=name, kind=kind, fence=fence, **fields)


def stage(engine: EngineModel, version: int, now_s: float, fence=1, model="m") -> None:
    """Order the staging of a version and complete its transfer at once."""
    engine.order(order(OrderKind.STAGE_VERSION, fence, version=version, model=model), now_s)
    engine.record_transfer_end(model, version, now_s)


def activate(engine: EngineModel, version: int, now_s: float, **fields):
    return engine.order(order(OrderKind.ACTIVATE_VERSION, version=version, **fields), now_s)


# --- conservation ----------------------------------------------------------------------

ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["submit", "submit", "submit", "urgent", "cancel", "swap", "lose", "crash", "slow"]),
        st.floats(0.0, 0.6),
        st.integers(0, 9),
    ),
    max_size=40,
)


def check_conservation(engine: EngineModel) -> None:
    """Check that no request or block is lost or counted twice."""
    counters, batch, cache = engine.counters, engine.batch, engine.batch.cache
    ended = counters.finished + counters.cancelled + counters.failed + counters.refused
    cancelled_running = sum(1 for sequence in batch.running if sequence.cancelled)
    assert counters.submitted == ended + len(batch.running) - cancelled_running + len(batch.waiting)
    assert cache.free_blocks + cache.private_blocks + cache.cached_blocks == cache.capacity_blocks
    assert cache.private_blocks == sum(sequence.private_blocks for sequence in batch.running)
    assert min(cache.free_blocks, cache.private_blocks, cache.cached_blocks) >= 0
    referenced_keys = {key for sequence in batch.running for key in sequence.held_keys}
    assert cache.used_blocks == cache.private_blocks + len(referenced_keys)
    for sequence in batch.running:
        assert sequence.held_blocks * engine.parameters.block_tokens >= sequence.computed_tokens
        assert sequence.started_s >= sequence.arrived_s


@given(ACTIONS)
@settings(max_examples=60, deadline=None)
def test_requests_blocks_and_tokens_are_conserved(actions) -> None:
    engine = make_engine(
        kv_blocks=40, max_running=5, max_waiting=6, restart_s=0.5, swap_pause_s=0.1, priorities={"urgent": 0}
    )
    now_s, version, events, accepted = 0.0, 1, [], {}
    for number, (action, wait_s, choice) in enumerate(actions):
        now_s += wait_s
        events += run(engine, now_s)
        if action in ("submit", "urgent"):
            accepted[f"r{number}"] = request(
                f"r{number}", tokens=20 + 8 * choice, seed=number, priority_class=action
            )
            try:
                engine.submit(accepted[f"r{number}"], now_s)
            except BackendRefused:
                del accepted[f"r{number}"]
        elif action == "cancel" and accepted:
            engine.cancel(list(accepted)[choice % len(accepted)], now_s)
        elif action in ("swap", "lose") and engine.up:
            version += 1
            stage(engine, version, now_s)
            if action == "lose":
                engine.arm_swap_failure(SwapFailure.LOSES_WEIGHTS)
            try:
                activate(engine, version, now_s)
            except OrderRefused as error:
                assert error.details["reason"] == "busy"
        elif action == "crash":
            engine.crash(now_s)
        elif action == "slow":
            engine.set_slow_factor(1.0 + choice, now_s)
        check_conservation(engine)
    events += run(engine)
    check_conservation(engine)
    assert engine.batch.cache.used_blocks == 0
    streamed_tokens = sum(len(event.chunk.tokens) for _, event in events if isinstance(event, ChunkProduced))
    assert streamed_tokens <= engine.counters.decoded_tokens
    unfinished = {event.request_id for _, event in events if isinstance(event, StreamEnded)}
    for name, accepted_request in accepted.items():
        if name not in unfinished:
            assert_correct(events, accepted_request)
    assert [at_s for at_s, _ in events] == sorted(at_s for at_s, _ in events)


def end_times_under_load(stream_interval_tokens: int) -> list[tuple[float, str]]:
    """Return the end times of requests in a run with preemptions."""
    engine = make_engine(kv_blocks=24, stream_interval_tokens=stream_interval_tokens)
    random = Random(5)
    events, now_s = [], 0.0
    for number in range(60):
        now_s += random.expovariate(4.0)
        events += run(engine, now_s)
        engine.submit(request(f"r{number}", tokens=random.randint(5, 90), seed=number), now_s)
    events += run(engine)
    assert engine.counters.preempted > 0
    return [
        (round(at_s, 9), event.chunk.request_id)
        for at_s, event in events
        if isinstance(event, ChunkProduced) and event.chunk.finish_reason is not None
    ]


def test_same_seed_gives_identical_end_times() -> None:
    assert end_times_under_load(8) == end_times_under_load(8)


def test_step_runs_end_requests_at_the_same_times_as_single_steps() -> None:
    assert end_times_under_load(8) == end_times_under_load(1)


def test_step_time_follows_its_formula() -> None:
    engine = make_engine()
    engine_request = request("r", tokens=1000, max_tokens=3, seed=1)
    engine.submit(engine_request, 0.0)
    chunk_times_s = [at_s for at_s, _ in run(engine)]
    parameters = engine.parameters
    prefill_s = 2 * parameters.step_base_s + 1000 * parameters.step_per_prefill_token_s
    decode_s = (
        2 * (parameters.step_base_s + parameters.step_per_sequence_s)
        + (1001 + 1002) * parameters.step_per_kv_token_s
    )
    assert chunk_times_s == pytest.approx([prefill_s, prefill_s + decode_s])


# --- KV cache and priorities -----------------------------------------------------------


def test_shared_prefix_is_prefilled_once_and_reported() -> None:
    engine = make_engine(cache_event_loss=0.0, cache_event_delay_s=0.5)
    engine.submit(request("a", tokens=64), 0.0)
    run(engine)
    engine.submit(request("b", tokens=64, seed=8), 10.0)
    run(engine)
    assert engine.counters.prefilled_tokens == 64 + 1
    events = engine.cache_events(0, now_s=20.0)
    assert [event.kind for event in events] == [CacheEventKind.STORED] * 4
    assert engine.cache_events(0, now_s=0.1) == []


def test_lost_cache_events_leave_gaps_in_their_sequence() -> None:
    engine = make_engine(cache_event_loss=0.5)
    engine.submit(request("a", tokens=640), 0.0)
    run(engine)
    sequences = [event.sequence for event in engine.cache_events(0, now_s=60.0)]
    assert 0 < len(sequences) < 40
    assert max(sequences) > len(sequences)


def test_urgent_request_preempts_and_both_outputs_are_correct() -> None:
    engine = make_engine(max_running=1, priorities={"urgent": 0})
    slow, urgent = long_request("slow"), request("u", priority_class="urgent")
    engine.submit(slow, 0.0)
    events = run(engine, 0.1)
    engine.submit(urgent, 0.1)
    events += run(engine)
    finished_ids = [
        event.chunk.request_id
        for _, event in events
        if isinstance(event, ChunkProduced) and event.chunk.finish_reason is not None
    ]
    assert finished_ids == ["u", "slow"]
    assert engine.counters.preempted == 1
    assert_correct(events, slow)
    assert_correct(events, urgent)


def test_request_to_a_full_queue_is_refused_and_never_runs() -> None:
    engine = make_engine(max_running=1, max_waiting=1)
    for name in ("a", "b"):
        engine.submit(request(name), 0.0)
    with pytest.raises(BackendRefused) as caught:
        engine.submit(request("c"), 0.0)
    assert caught.value.retry_after_s > 0
    assert caught.value.details["reason"] == "queue_full"
    assert not output(run(engine), "c")[0]


def test_resumed_stream_continues_with_the_same_tokens() -> None:
    first, second = make_engine(), make_engine()
    engine_request = request("r")
    first.submit(engine_request, 0.0)
    complete_output = output(run(first), "r")[0]
    second.submit(request("r", resume_tokens=complete_output[:11]), 0.0)
    tokens, spans, _ = output(run(second), "r")
    assert tokens == complete_output[11:]
    assert spans[0].start == 11


def test_cancelled_request_ends_its_stream_and_frees_its_memory() -> None:
    engine = make_engine()
    engine.submit(long_request("r"), 0.0)
    run(engine, 0.1)
    engine.cancel("r", 0.1)
    events = run(engine)
    assert [event for _, event in events if isinstance(event, StreamEnded)] == [
        StreamEnded("r", EndReason.CANCELLED)
    ]
    assert engine.batch.cache.used_blocks == 0


def test_kv_cache_is_imported_only_by_an_engine_with_the_same_version() -> None:
    source, target, newer = make_engine(), make_engine(), make_engine()
    engine_request = long_request("r", tokens=160)
    source.submit(engine_request, 0.0)
    events = run(source, 0.3)
    export = source.export_kv("r", 0.3)
    stage(newer, 2, 0.3)
    activate(newer, 2, 0.3)
    run(newer)
    with pytest.raises(BackendRefused):
        newer.import_kv(export, 5.0)
    target.import_kv(export, 0.3)
    run(target)
    target.submit(export.request, 1.0)
    run(target)
    hit_tokens = len(export.block_hashes) * target.parameters.block_tokens
    assert target.counters.cache_hit_tokens == min(hit_tokens, 160 + len(export.request.resume_tokens) - 1)
    assert events


def test_admission_keeps_the_watermark_free_and_evicts_no_block_that_it_reuses() -> None:
    engine = make_engine(kv_blocks=10, kv_watermark=0.1)
    engine.submit(request("cached", tokens=64, max_tokens=4), 0.0)
    run(engine)
    other_prompt = tuple(range(1000, 1064))
    engine.submit(request("running", prompt=other_prompt, max_tokens=14, seed=9), 60.0)
    engine.submit(request("waits", tokens=80, max_tokens=4), 60.0)
    run(engine, 60.1)
    assert [len(engine.batch.running), len(engine.batch.waiting)] == [1, 1]
    check_conservation(engine)
    run(engine)
    assert engine.counters.finished == 3
    assert engine.counters.cache_hit_tokens == 64


def test_restarted_engine_has_an_empty_cache() -> None:
    engine = make_engine()
    engine.submit(request("a", tokens=64), 0.0)
    run(engine)
    engine.crash(10.0)
    run(engine)
    engine.submit(request("b", tokens=64), 60.0)
    run(engine)
    assert engine.counters.cache_hit_tokens == 0


def test_prefix_that_two_sequences_compute_at_once_is_cached_once() -> None:
    engine = make_engine(cache_event_loss=0.0)
    engine.submit(request("first", tokens=5), 0.0)
    for name in ("b", "c"):
        engine.submit(request(name, tokens=64, seed=8), 0.001)
    run(engine)
    check_conservation(engine)
    assert engine.batch.cache.cached_blocks == len(engine.cache_events(0, 60.0)) == 4


def test_prefix_that_spans_a_swap_is_not_cached() -> None:
    engine = make_engine(cache_event_loss=0.0, prefill_chunk_tokens=64)
    engine_request = request("r", tokens=640)
    engine.submit(engine_request, 0.0)
    events = run(engine, 0.1)
    stage(engine, 2, 0.1)
    activate(engine, 2, 0.1)
    events += run(engine)
    assert engine.cache_events(0, 60.0)[-1].kind is CacheEventKind.CLEARED
    assert engine.batch.cache.cached_blocks == 0
    assert_correct(events, engine_request)


# --- reports ------------------------------------------------------------------------------


def test_load_report_shows_the_load_at_its_snapshot() -> None:
    engine = make_engine(report_interval_s=0.25, report_lag_s=0.25, max_running=2)
    for name in ("a", "b", "c"):
        engine.submit(long_request(name), 1.0)
    early = engine.load_report(1.3)
    late = engine.load_report(1.6)
    assert (early.running, early.waiting) == (0, 0)
    assert (late.running, late.waiting) == (2, 1)
    assert late.sequence > early.sequence
    assert late.tokens_per_s > 0
    assert late.kv_used_tokens > 0


# --- orders -----------------------------------------------------------------------------------


@pytest.mark.parametrize("scope", list(FenceScope))
def test_order_with_an_older_fence_is_refused_and_changes_nothing(scope) -> None:
    models = [*MODELS, ModelParameters(name="n", lengths=LENGTHS)]
    engine = make_engine(models, fence_scope=scope)
    stage(engine, 2, 0.0, fence=5)
    outdated = order(OrderKind.ACTIVATE_VERSION, fence=4, version=2)
    with pytest.raises(OrderRefused) as caught:
        engine.order(outdated, 1.0)
    assert caught.value.details == {"reason": "old_fence", "fence": "5"}
    run(engine)
    assert engine.weights.active["m"] == 1
    for_other_model = order(OrderKind.STAGE_VERSION, fence=4, version=2, model="n")
    if scope is FenceScope.ENGINE:
        with pytest.raises(OrderRefused):
            engine.order(for_other_model, 1.0)
    else:
        assert not engine.order(for_other_model, 1.0).done


@pytest.mark.parametrize("survives", [True, False])
def test_fence_survives_a_restart_as_configured(survives) -> None:
    engine = make_engine(fence_survives_restart=survives)
    engine.order(order(OrderKind.DRAIN, fence=5), 0.0)
    engine.crash(1.0)
    run(engine)
    outdated = order(OrderKind.DRAIN, fence=4)
    if survives:
        with pytest.raises(OrderRefused):
            engine.order(outdated, 30.0)
    else:
        assert engine.order(outdated, 30.0).done


def test_repeated_order_is_executed_once() -> None:
    engine = make_engine()
    staging = order(OrderKind.STAGE_VERSION, version=2)
    assert not engine.order(staging, 0.0).done
    assert not engine.order(staging, 0.1).done
    transfers = [event for event in engine.advance(0.1) if isinstance(event, TransferRequested)]
    assert transfers == [TransferRequested("m", 2, "store")]
    engine.record_transfer_end("m", 2, 1.0)
    assert engine.order(staging, 1.0).done


def test_activation_needs_the_staged_version() -> None:
    engine = make_engine()
    with pytest.raises(OrderRefused) as caught:
        activate(engine, 2, 0.0)
    assert caught.value.details["reason"] == "not_staged"


def test_newer_stage_supersedes_the_one_in_progress() -> None:
    engine = make_engine()
    first = order(OrderKind.STAGE_VERSION, version=2)
    engine.order(first, 0.0)
    engine.order(order(OrderKind.STAGE_VERSION, version=3), 0.1)
    engine.record_transfer_end("m", 2, 0.2)
    assert engine.weights.staged == {}
    with pytest.raises(OrderRefused) as caught:
        engine.order(first, 0.3)
    assert caught.value.details["reason"] == "superseded"


def test_stream_across_a_swap_names_the_version_of_each_token() -> None:
    engine = make_engine(swap_pause_s=0.5)
    engine_request = long_request("r")
    engine.submit(engine_request, 0.0)
    events = run(engine, 0.4)
    stage(engine, 2, 0.4)
    assert not activate(engine, 2, 0.4).done
    events += run(engine)
    assert activate(engine, 2, 60.0).done
    spans = output(events, "r")[1]
    assert {span.version for span in spans} == {1, 2}
    assert_correct(events, engine_request)
    times = [at_s for at_s, _ in events]
    assert max(later - earlier for earlier, later in zip(times, times[1:], strict=False)) >= 0.5


@pytest.mark.parametrize("recompute", [True, False])
def test_prefixes_of_old_weights_are_not_reused(recompute) -> None:
    engine = make_engine(recompute_kv_on_swap=recompute, cache_event_loss=0.0)
    running = long_request("running", tokens=64)
    engine.submit(running, 0.0)
    events = run(engine, 0.3)
    stage(engine, 2, 0.3)
    activate(engine, 2, 0.3)
    events += run(engine, 1.5)
    engine.submit(request("after", tokens=64, seed=8), 1.5)
    events += run(engine)
    assert engine.counters.preempted == (1 if recompute else 0)
    assert engine.counters.cache_hit_tokens == (63 if recompute else 0)
    assert CacheEventKind.CLEARED in [event.kind for event in engine.cache_events(0, 60.0)]
    assert engine.batch.cache.cached_blocks == len(engine.batch.cache.keys_of_model("m")) == 4
    assert {key.version for key in engine.batch.cache.keys_of_model("m")} == {2}
    assert_correct(events, running)


def test_failed_stage_changes_nothing_and_a_new_order_can_succeed() -> None:
    engine = make_engine()
    engine.arm_swap_failure(SwapFailure.STAGE_FAILS)
    failing = order(OrderKind.STAGE_VERSION, version=2, name="o1")
    engine.order(failing, 0.0)
    engine.record_transfer_end("m", 2, 1.0)
    with pytest.raises(OrderRefused) as caught:
        engine.order(failing, 1.0)
    assert caught.value.details["reason"] == "transfer_failed"
    engine.order(order(OrderKind.STAGE_VERSION, version=2, name="o2"), 2.0)
    engine.record_transfer_end("m", 2, 3.0)
    assert engine.weights.staged == {"m": 2}


def test_failed_activation_keeps_the_old_version_and_the_streams() -> None:
    engine = make_engine()
    engine_request = long_request("r")
    engine.submit(engine_request, 0.0)
    stage(engine, 2, 0.1)
    engine.arm_swap_failure(SwapFailure.KEEPS_OLD)
    activate(engine, 2, 0.1)
    events = run(engine)
    with pytest.raises(OrderRefused) as caught:
        activate(engine, 2, 60.0)
    assert caught.value.details["reason"] == "swap_failed"
    assert {span.version for span in output(events, "r")[1]} == {1}
    assert_correct(events, engine_request)


def test_model_without_weights_serves_nothing_until_the_next_activation() -> None:
    engine = make_engine()
    engine.submit(long_request("r"), 0.0)
    events = run(engine, 0.3)
    stage(engine, 2, 0.3)
    engine.arm_swap_failure(SwapFailure.LOSES_WEIGHTS)
    activate(engine, 2, 0.3)
    events += run(engine)
    assert StreamEnded("r", EndReason.WEIGHTS_LOST) in [event for _, event in events]
    assert output(events, "r")[2] is None
    with pytest.raises(BackendRefused):
        engine.submit(request("s"), 60.0)
    assert engine.load_report(70.0).versions == {}
    activate(engine, 2, 70.0, name="again")
    run(engine)
    assert engine.weights.active["m"] == 2


def test_crash_ends_streams_and_restores_the_boot_version() -> None:
    engine = make_engine(restart_s=5.0)
    stage(engine, 2, 0.0)
    activate(engine, 2, 0.0)
    run(engine)
    engine.submit(long_request("r"), 2.0)
    run(engine, 2.2)
    engine.crash(2.2)
    assert StreamEnded("r", EndReason.CRASHED) in engine.advance(2.2)
    with pytest.raises(BackendRefused):
        engine.submit(request("s"), 3.0)
    events_before = engine.cache_events(0, 3.0)
    run(engine)
    assert engine.up
    assert engine.weights.loaded() == {"m": "1"}
    events_after = engine.cache_events(0, 60.0)
    assert events_after[0].kind is CacheEventKind.CLEARED
    assert events_after[0].sequence > max((event.sequence for event in events_before), default=0) + 1


def test_drain_is_done_once_the_last_stream_has_ended() -> None:
    engine = make_engine()
    engine.submit(request("r"), 0.0)
    drain = order(OrderKind.DRAIN)
    assert not engine.order(drain, 0.1).done
    with pytest.raises(BackendRefused):
        engine.submit(request("s"), 0.2)
    run(engine)
    assert engine.order(drain, 60.0).done
    assert engine.load_report(61.0).leaving
    assert engine.order(order(OrderKind.RESUME), 62.0).done
    engine.submit(request("t"), 63.0)
    assert output(run(engine), "t")[2] is not None
