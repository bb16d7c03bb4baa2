"""Tests of the emulated engines, apps, network, log, machine list, weight store and their faults."""

import asyncio
import contextlib
from random import Random

import msgspec
import pytest

from passgate.clock import monotonic_s, new_virtual_loop
from passgate.emulator.app_model import AppModel, expected_app_body
from passgate.emulator.expected_output import Verdict, output_length, verify_output
from passgate.emulator.faults import (
    AppCrash,
    ConnectionsLost,
    EngineCrash,
    EngineSwapFailure,
    FaultSchedule,
    LinkCut,
    LogLosesAnswers,
    LogOutage,
    LogReaderBehind,
    MachineLeaves,
    StoreOutage,
    ZoneCut,
)
from passgate.emulator.network import PLATFORM_ZONE
from passgate.emulator.parameters import AppParameters, load_deployment
from passgate.emulator.queueing_check import (
    compare_app_wait_with_mmc,
    compare_engine_wait_with_md1,
    compare_engine_with_lindley,
    compare_engine_with_littles_law,
    compare_full_batch_rate,
)
from passgate.emulator.world import EmulatedWorld
from passgate.errors import (
    BackendRefused,
    BackendUnreachable,
    ExecutionStatus,
    IncompleteAnswer,
    LogAppendUnknown,
    LogUnavailable,
    OrderRefused,
    PlatformError,
    SettingsError,
)
from passgate.schema import (
    AppRequest,
    EngineOrder,
    FinishReason,
    GenerateRequest,
    MachineState,
    OrderKind,
    VersionSpan,
)

OLHAR = load_deployment("olhar")
MODEL = OLHAR.engines.models[0]
ENGINE, APP = "modelos-0", "linha-0"
NOT_RUN, UNKNOWN, RAN = ExecutionStatus.NOT_RUN, ExecutionStatus.UNKNOWN, ExecutionStatus.RAN


def run_in_world(scenario, seed=1, faults=(), parameters=OLHAR):
    async def run():
        world = EmulatedWorld(parameters, seed)
        schedule = FaultSchedule(world, faults)
        schedule.start()
        try:
            return await scenario(world)
        finally:
            schedule.close()
            world.close()

    loop = new_virtual_loop()
    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()


def make_long_request(name="r") -> GenerateRequest:
    prompt = tuple(range(100))
    seed = next(seed for seed in range(1000) if 300 < output_length(prompt, seed, MODEL.lengths) < 400)
    return GenerateRequest(
        request_id=name, caller="c", pool="p", model=MODEL.name, prompt=prompt, max_tokens=1000, seed=seed
    )


def make_app_request(name="a", **changes) -> AppRequest:
    fields = {"caller": "c", "pool": "linha", "method": "POST", "path": "/", "body": name.encode()} | changes
    return AppRequest(request_id=name, **fields)


async def collect_chunks(world, request, replica=ENGINE, zone="caruaru"):
    chunks = []
    try:
        async for chunk in world.engine_client(zone).generate(world.engines[replica].address, request):
            chunks.append(chunk)
    except (BackendUnreachable, BackendRefused, IncompleteAnswer) as error:
        return chunks, error
    return chunks, None


def verify_chunks(request, chunks) -> Verdict:
    tokens = tuple(token for chunk in chunks for token in chunk.tokens)
    spans = [VersionSpan(c.start, c.start + len(c.tokens), c.version) for c in chunks]
    return verify_output(request, tokens, spans, FinishReason.STOP, MODEL.lengths)


# --- engines over the network --------------------------------------------------------------


def test_same_seed_gives_the_same_run():
    async def scenario(world):
        requests = [msgspec.structs.replace(make_long_request(f"r{i}"), seed=i) for i in range(30)]
        random = world.random("start")

        async def send(request):
            await asyncio.sleep(random.uniform(0, 3))
            chunks, error = await collect_chunks(world, request, f"modelos-{random.randrange(5)}")
            return chunks, repr(error), monotonic_s()

        return await asyncio.gather(*map(send, requests)), world.run_recorder.records

    faults = [EngineCrash(2.0, ENGINE), ConnectionsLost(1.0, 0.05, 2.0), ZoneCut(2.0, "campina", 2.5)]
    first, second = (run_in_world(scenario, 4, faults) for _ in range(2))
    assert first == second
    assert any(outcome[1] != "None" for outcome in first[0])
    assert run_in_world(scenario, 5, faults) != first


@pytest.mark.parametrize(
    ("fault", "execution", "has_chunks"),
    [
        (EngineCrash(0.0, ENGINE), NOT_RUN, False),
        (ZoneCut(0.0, "caruaru", 30.0), NOT_RUN, False),
        (EngineCrash(0.505, ENGINE), UNKNOWN, False),
        (EngineCrash(2.0, ENGINE), RAN, True),
        (ZoneCut(2.0, "caruaru", 30.0), RAN, True),
        (ConnectionsLost(2.0, 1.0, 9.0), RAN, True),
    ],
)
def test_error_of_a_broken_stream_has_the_correct_execution_status(fault, execution, has_chunks):
    async def scenario(world):
        await asyncio.sleep(0.5)
        chunks, error = await collect_chunks(world, make_long_request(), zone="campina")
        return chunks, error, world.run_recorder.run_count("r")

    chunks, error, runs = run_in_world(scenario, faults=[fault])
    assert isinstance(error, BackendUnreachable)
    assert error.execution is execution
    assert bool(chunks) is has_chunks
    assert runs == (0 if execution is NOT_RUN else 1)


def test_short_network_partition_only_delays_a_stream():
    async def scenario(world):
        request = make_long_request()
        chunks, error = await collect_chunks(world, request, zone="campina")
        return verify_chunks(request, chunks), error

    assert run_in_world(scenario, faults=[LinkCut(1.0, "campina", "caruaru", 2.0)]) == (Verdict.CORRECT, None)


def test_refusal_lost_in_a_partition_is_not_reported_as_not_run():
    async def scenario(world):
        world.engines[ENGINE].order(EngineOrder(order_id="o", kind=OrderKind.DRAIN, fence=1))
        half_delay_s = world.network.delay_s("campina", "caruaru") / 2
        asyncio.get_running_loop().call_later(half_delay_s, world.network.cut, "campina", "caruaru")
        return (await collect_chunks(world, make_long_request(), zone="campina"))[1]

    error = run_in_world(scenario)
    assert isinstance(error, BackendUnreachable)
    assert error.execution is UNKNOWN


def test_closing_a_stream_cancels_its_request():
    async def scenario(world):
        engine = world.engines[ENGINE]
        stream = world.engine_client("campina").generate(engine.address, make_long_request())
        await anext(stream)
        await stream.aclose()
        await asyncio.sleep(1.0)
        return engine.model.counters.cancelled, engine.model.batch.cache.used_blocks

    assert run_in_world(scenario) == (1, 0)


def test_closing_a_replaced_stream_does_not_cancel_the_new_one():
    async def scenario(world):
        engine, request = world.engines[ENGINE], make_long_request()
        replaced = world.engine_client("campina").generate(engine.address, request)
        await anext(replaced)
        collection = asyncio.ensure_future(collect_chunks(world, request))
        await asyncio.sleep(0.1)
        await replaced.aclose()
        chunks, error = await collection
        return verify_chunks(request, chunks), error

    assert run_in_world(scenario) == (Verdict.CORRECT, None)


def test_overlapping_partitions_end_with_the_last_one():
    async def scenario(world):
        await asyncio.sleep(2.5)
        during = world.network.is_cut("campina", "caruaru")
        await asyncio.sleep(2.0)
        return during, world.network.is_cut("campina", "caruaru")

    faults = [LinkCut(0.0, "campina", "caruaru", 2.0), ZoneCut(1.0, "caruaru", 3.0)]
    assert run_in_world(scenario, faults=faults) == (True, False)


def test_loss_of_weights_ends_a_stream_without_finish_reason():
    async def scenario(world):
        client, engine = world.engine_client("caruaru"), world.engines[ENGINE]
        world.publish(MODEL.name, 2)
        await complete_order(client, engine, OrderKind.STAGE_VERSION, 2)
        asyncio.get_running_loop().call_later(
            1.0, lambda: asyncio.ensure_future(fail_activation(client, engine))
        )
        return (await collect_chunks(world, make_long_request()))[1]

    async def fail_activation(client, engine):
        with pytest.raises(OrderRefused):
            await complete_order(client, engine, OrderKind.ACTIVATE_VERSION, 2)

    fault = EngineSwapFailure(0.0, ENGINE, "loses_weights")
    error = run_in_world(scenario, faults=[msgspec.convert(msgspec.to_builtins(fault), EngineSwapFailure)])
    assert isinstance(error, IncompleteAnswer)
    assert error.execution is RAN


# --- weights -----------------------------------------------------------------------------------


async def complete_order(client, engine, kind, version, source="store", fence=1) -> float:
    order = EngineOrder(
        order_id=f"{kind.value}/{version}/{engine.replica_id}",
        kind=kind,
        fence=fence,
        model=MODEL.name,
        version=version,
        source=source,
    )
    while not (await client.order(engine.address, order)).done:
        await asyncio.sleep(0.01)
    return monotonic_s()


def test_store_bandwidth_is_shared_and_transfers_between_engines_do_not_use_it():
    async def scenario(world):
        client, engines = world.engine_client("caruaru"), list(world.engines.values())
        world.publish(MODEL.name, 2)
        from_store = [complete_order(client, engine, OrderKind.STAGE_VERSION, 2) for engine in engines[:2]]
        both_s = max(await asyncio.gather(*from_store))
        sent_bytes = world.store.sent_bytes
        first = complete_order(client, engines[2], OrderKind.STAGE_VERSION, 2, engines[0].address)
        first = asyncio.ensure_future(first)
        await asyncio.sleep(0.01)
        await complete_order(client, engines[3], OrderKind.STAGE_VERSION, 2, engines[2].address)
        chain_s = max(monotonic_s(), await first) - both_s
        return both_s, chain_s, sent_bytes, world.store.sent_bytes

    both_s, chain_s, sent_bytes, sent_bytes_later = run_in_world(scenario)
    size, parameters = MODEL.weight_bytes, OLHAR.store
    assert sent_bytes == sent_bytes_later == 2 * size
    assert both_s == pytest.approx(2 * size / parameters.bytes_per_s + parameters.first_byte_s, rel=0.05)
    hop_s = size / OLHAR.engines.engine.transfer_bytes_per_s
    assert hop_s < chain_s < 1.2 * hop_s


def test_engine_forwards_weights_only_as_it_receives_them():
    async def scenario(world):
        client, engines = world.engine_client("caruaru"), list(world.engines.values())
        world.publish(MODEL.name, 2)
        world.store.set_rate(0.5e9)
        first = asyncio.ensure_future(complete_order(client, engines[0], OrderKind.STAGE_VERSION, 2))
        await asyncio.sleep(0.01)
        second_s = await complete_order(client, engines[1], OrderKind.STAGE_VERSION, 2, engines[0].address)
        return await first, second_s, world.store.sent_bytes

    first_s, second_s, sent_bytes = run_in_world(scenario)
    assert first_s <= second_s < 1.1 * first_s
    assert sent_bytes == MODEL.weight_bytes


@pytest.mark.parametrize("source", ["store", "10.9.9.9:1", "modelos-1"])
def test_failed_transfer_is_reported_when_the_order_is_repeated(source):
    async def scenario(world):
        client, engine = world.engine_client("caruaru"), world.engines[ENGINE]
        world.publish(MODEL.name, 2)
        peer = world.engines.get(source)
        await complete_order(client, engine, OrderKind.STAGE_VERSION, 2, peer.address if peer else source)

    with pytest.raises(OrderRefused) as caught:
        run_in_world(scenario, faults=[StoreOutage(0.3, 5.0)])
    assert caught.value.details["reason"] == "transfer_failed"


# --- applications ---------------------------------------------------------------------------------


def test_application_counts_runs_and_refuses_without_running():
    parameters = msgspec.structs.replace(
        OLHAR,
        apps=msgspec.structs.replace(OLHAR.apps, app=AppParameters(concurrency=1, max_waiting=1)),
    )

    async def scenario(world):
        client, address = world.app_client("caruaru"), world.apps[APP].address
        calls = [client.call(address, make_app_request(f"a{i}", repeatable=False)) for i in range(4)]
        outcomes = await asyncio.gather(*calls, return_exceptions=True)
        ran = next(i for i in range(4) if world.run_recorder.run_count(f"a{i}"))
        repetition = make_app_request("again", body=f"a{ran}".encode(), repeatable=False)
        await client.call(address, repetition)
        return outcomes, [world.run_recorder.run_count(f"a{i}") for i in range(4)], world.run_recorder

    outcomes, runs, ledger = run_in_world(scenario, parameters=parameters)
    assert sorted(runs) == [0, 0, 1, 1]
    for number, outcome in enumerate(outcomes):
        if runs[number]:
            assert outcome.body == expected_app_body(make_app_request(f"a{number}"))
        else:
            assert isinstance(outcome, BackendRefused) and outcome.retry_after_s
    assert len(ledger.repeated_unrepeatable_effects()) == 1


def test_crashed_application_leaves_the_outcome_unknown():
    async def scenario(world):
        client, address = world.app_client("caruaru"), world.apps[APP].address
        running = asyncio.ensure_future(client.call(address, make_app_request("a")))
        await asyncio.sleep(0.01)
        with pytest.raises(BackendUnreachable) as refused:
            await client.call(address, make_app_request("b"))
        with pytest.raises(BackendUnreachable) as lost:
            await running
        await asyncio.sleep(6.0)
        await client.call(address, make_app_request("c"))
        return lost.value.execution, refused.value.execution, world.run_recorder.run_count("b")

    assert run_in_world(scenario, faults=[AppCrash(0.005, APP)]) == (UNKNOWN, NOT_RUN, 0)


def test_app_load_report_lags_includes_draining_and_restarts_after_a_crash() -> None:
    parameters = AppParameters(
        concurrency=2, service_mean_s=50.0, service_variation=0.1, report_interval_s=0.25, report_lag_s=0.25
    )
    app = AppModel("a", parameters, Random(3), now_s=0.0)
    for number in range(3):
        app.submit(make_app_request(f"r{number}"), 1.0)
    early, late = app.load_report(1.3), app.load_report(1.6)
    assert (early.running, early.waiting) == (0, 0)
    assert (late.running, late.waiting, late.leaving) == (2, 1, False)
    assert late.sequence > early.sequence
    app.set_draining(True, 2.0)
    assert not app.load_report(2.1).leaving
    assert app.load_report(2.6).leaving
    app.crash(3.0, restart_after_s=1.0)
    restarted = app.load_report(4.5)
    assert (restarted.running, restarted.waiting) == (0, 0)
    assert restarted.sequence < late.sequence


def test_app_accounts_for_every_call_and_wait_times_are_not_negative():
    app = AppModel("a", AppParameters(concurrency=2, max_waiting=3), Random(3), now_s=0.0)
    random, at_s = Random(4), 0.0
    for number in range(400):
        at_s += random.expovariate(30.0)
        with contextlib.suppress(BackendRefused):
            app.submit(make_app_request(f"a{number}"), at_s)
        if number % 100 == 99:
            app.crash(at_s)
        app.advance(at_s)
        counters = app.counters
        assert counters.submitted == counters.refused + counters.lost + counters.finished + app.running + (
            app.waiting
        )
        assert counters.total_wait_s >= 0.0
    assert min(counters.refused, counters.lost, counters.finished) > 0


# --- log ------------------------------------------------------------------------------------------------


def test_append_with_a_lost_answer_takes_effect():
    async def scenario(world):
        client = world.log_client("caruaru")
        with pytest.raises(LogAppendUnknown):
            await client.append("s", [b"a", b"b"], 1.0)
        await asyncio.sleep(2.0)
        assert await client.append("s", [b"c"], 1.0) == 2
        return [entry.payload for entry in (await client.read("s", 0, 10, 0.0)).entries]

    assert run_in_world(scenario, faults=[LogLosesAnswers(0.0, 1.0, 1.0)]) == [b"a", b"b", b"c"]


def test_slow_append_takes_effect_after_its_timeout():
    async def scenario(world):
        world.log.faults.extra_s = 3.0
        client = world.log_client("caruaru")
        with pytest.raises(LogAppendUnknown):
            await client.append("s", [b"a"], 1.0)
        before = world.log.visible_end("s", 0.0, monotonic_s())
        await asyncio.sleep(5.0)
        return before, world.log.visible_end("s", 0.0, monotonic_s())

    assert run_in_world(scenario) == (0, 1)


@pytest.mark.parametrize(
    ("fault", "error"),
    [
        (LogOutage(0.0, 5.0), LogUnavailable),
        (LogOutage(0.0, 5.0, hangs=True), LogAppendUnknown),
        (LinkCut(0.0, "caruaru", PLATFORM_ZONE, 5.0), LogUnavailable),
    ],
)
def test_unreachable_log_appends_nothing_and_recovers(fault, error):
    async def scenario(world):
        client = world.log_client("caruaru")
        await asyncio.sleep(0.1)
        with pytest.raises(error):
            await client.append("s", [b"a"], 1.0)
        with pytest.raises(LogUnavailable):
            await client.read("s", 0, 1, 0.1)
        await asyncio.sleep(6.0)
        return await client.append("s", [b"b"], 1.0)

    assert run_in_world(scenario, faults=[fault]) == 0


def test_append_in_transit_when_an_outage_begins_is_unknown_and_not_applied():
    async def scenario(world):
        with pytest.raises(LogAppendUnknown):
            await world.log_client("caruaru").append("s", [b"a"], 1.0)
        return world.log.visible_end("s", 0.0, monotonic_s())

    assert run_in_world(scenario, faults=[LogOutage(0.002, 5.0)]) == 0


def test_overlapping_log_outages_end_with_the_last_one():
    async def scenario(world):
        await asyncio.sleep(2.5)
        during = world.log.faults.down
        await asyncio.sleep(2.0)
        return during, world.log.faults.down

    assert run_in_world(scenario, faults=[LogOutage(0.0, 2.0), LogOutage(1.0, 3.0)]) == (True, False)


def test_reads_of_a_lagging_zone_see_the_end_move_back_and_catch_up():
    async def scenario(world):
        client = world.log_client("campina")
        await world.log_client("caruaru").append("s", [b"a", b"b"], 1.0)
        ends = [(await client.read("s", 0, 10, 0.0)).end_offset for _ in range(20)]
        waited = await client.read("s", 1, 10, 30.0)
        return ends, [entry.payload for entry in waited.entries], monotonic_s()

    ends, payloads, at_s = run_in_world(scenario, faults=[LogReaderBehind(0.0, "campina", 4.0, 20.0)])
    assert set(ends) == {0, 2}
    assert any(later < earlier for earlier, later in zip(ends, ends[1:], strict=False))
    assert payloads == [b"b"]
    assert at_s < 5.0


def test_long_poll_returns_at_the_append():
    async def scenario(world):
        reading = asyncio.ensure_future(world.log_client("campina").read("s", 0, 10, 30.0))
        await asyncio.sleep(3.0)
        await world.log_client("caruaru").append("s", [b"a"], 1.0)
        batch = await reading
        return len(batch.entries), monotonic_s()

    count, at_s = run_in_world(scenario)
    assert count == 1
    assert 3.0 < at_s < 3.1


# --- machine list ------------------------------------------------------------------------------------


def test_machine_list_lags_and_a_leaving_machine_stops_after_its_notice():
    async def scenario(world):
        states = []
        for _ in range(2):
            await asyncio.sleep(1.5)
            listed = {machine.machine_id: machine for machine in await world.machine_list.machines()}
            states.append(listed[ENGINE].state)
        await asyncio.sleep(10.0)
        return states, world.engines[ENGINE].up

    states, up = run_in_world(scenario, faults=[MachineLeaves(0.0, ENGINE, notice_s=5.0)])
    assert states == [MachineState.LIVE, MachineState.LEAVING]
    assert not up


def test_replaced_machine_comes_back_under_a_new_generation():
    async def scenario(world):
        await asyncio.sleep(10.0)
        listed = {machine.machine_id: machine for machine in await world.machine_list.machines()}
        return listed[APP].state, listed[APP].generation, world.apps[APP].up

    fault = MachineLeaves(0.0, APP, notice_s=2.0, return_after_s=3.0)
    assert run_in_world(scenario, faults=[fault]) == (MachineState.LIVE, 1, True)


def test_unavailable_platform_raises_platform_errors():
    async def scenario(world):
        world.machine_list.available = False
        with pytest.raises(PlatformError):
            await world.machine_list.machines()
        with pytest.raises(PlatformError):
            await world.store.size_bytes(MODEL.name, 99)

    run_in_world(scenario)


def test_fault_of_an_unknown_replica_is_rejected():
    async def scenario(world):
        pass

    with pytest.raises(SettingsError):
        run_in_world(scenario, faults=[EngineCrash(0.0, "nobody")])


# --- queueing theory ----------------------------------------------------------------------------------


def test_waiting_times_match_queueing_theory():
    for result in (compare_app_wait_with_mmc(1, 0.5, 8_000, 1), compare_app_wait_with_mmc(4, 0.7, 8_000, 1)):
        assert abs(result.relative_error) < 3 * result.standard_error < 0.3
    result = compare_engine_wait_with_md1(0.5, 2_000, 1)
    assert abs(result.relative_error) < 3 * result.standard_error < 0.4
    assert abs(compare_engine_with_lindley(0.8, 1_000, 1).relative_error) < 1e-9
    assert abs(compare_engine_with_littles_law(500, 1).relative_error) < 1e-9
    assert abs(compare_full_batch_rate().relative_error) < 0.01
