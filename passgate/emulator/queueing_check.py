"""Compares the emulator with the results of queueing theory.

``python -m passgate.emulator.queueing_check`` prints for each case the simulated and
the theoretical value, their relative error, and the relative standard error of the
simulation by batch means: an error within a few standard errors may be noise.

>>> round(erlang_c(servers=1, load=0.5), 3), round(erlang_c(servers=4, load=2.8), 3)
(0.5, 0.429)
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterator
from random import Random

import fire
import msgspec

from passgate.emulator.app_model import AppModel
from passgate.emulator.engine_events import ChunkProduced
from passgate.emulator.engine_model import EngineModel
from passgate.emulator.expected_output import LengthDistribution
from passgate.emulator.parameters import AppParameters, EngineParameters, ModelParameters
from passgate.schema import AppRequest, GenerateRequest

BATCH_COUNT = 20
"""Number of batches for the standard error by batch means."""
_ENGINE_OUTPUT_TOKENS = 20
_PROMPT_TOKENS = 12


class QueueingResult(msgspec.Struct, frozen=True, kw_only=True):
    """Simulated and theoretical value of one case."""

    case: str
    measure: str
    simulated: float
    theory: float
    standard_error: float
    """Relative standard error of the simulated value; 0 where the values must be equal."""

    @property
    def relative_error(self) -> float:
        """Relative error of the simulated value."""
        return self.simulated / self.theory - 1.0


def erlang_c(servers: int, load: float) -> float:
    """Return the probability that an arrival waits in M/M/c; ``load`` in Erlang must be below ``servers``."""
    weights_below_capacity = [load**k / math.factorial(k) for k in range(servers)]
    weight_at_capacity = load**servers / math.factorial(servers) * servers / (servers - load)
    return weight_at_capacity / (sum(weights_below_capacity) + weight_at_capacity)


def compare_app_wait_with_mmc(servers: int, utilisation: float, calls: int, seed: int) -> QueueingResult:
    """Compare the mean wait of calls with exponential service times at one replica with M/M/c."""
    service_s = 0.08
    parameters = AppParameters(
        service_mean_s=service_s, exponential=True, concurrency=servers, max_waiting=10**9
    )
    app = AppModel("app", parameters, Random(f"{seed}/service"), now_s=0.0)
    rate_per_s = utilisation * servers / service_s
    waits_s: list[float] = []
    for at_s in _poisson_arrivals_s(rate_per_s, calls, seed):
        earlier_totals = app.counters.total_wait_s, app.counters.started
        app.submit(_app_request(), at_s)
        app.advance(at_s)
        _record_waits(waits_s, app, earlier_totals)
    while (due_s := app.next_event_s()) is not None:
        earlier_totals = app.counters.total_wait_s, app.counters.started
        app.advance(due_s)
        _record_waits(waits_s, app, earlier_totals)
    theory_s = erlang_c(servers, utilisation * servers) * service_s / (servers * (1 - utilisation))
    return _result_of_samples(f"M/M/{servers} at {utilisation:.2f}", "mean wait, s", waits_s, theory_s)


def compare_engine_wait_with_md1(utilisation: float, calls: int, seed: int) -> QueueingResult:
    """Compare the mean wait at an engine with one request at a time, all of equal size, with M/D/1."""
    engine = _engine_with_constant_service(max_running=1)
    service_s = _service_s(engine.parameters)
    sojourns_s = _run_engine(engine, utilisation / service_s, calls, seed).sojourns_s
    waits_s = [sojourn_s - service_s for sojourn_s in sojourns_s]
    theory_s = utilisation * service_s / (2 * (1 - utilisation))
    return _result_of_samples(f"engine as M/D/1 at {utilisation:.2f}", "mean wait, s", waits_s, theory_s)


def compare_engine_with_lindley(utilisation: float, calls: int, seed: int) -> QueueingResult:
    """Compare the mean sojourn time at the same engine with Lindley's recursion over the same arrivals."""
    engine = _engine_with_constant_service(max_running=1)
    service_s = _service_s(engine.parameters)
    rate_per_s = utilisation / service_s
    simulated = statistics.fmean(_run_engine(engine, rate_per_s, calls, seed).sojourns_s)
    total_wait_s = 0.0
    free_at_s = 0.0
    for at_s in _poisson_arrivals_s(rate_per_s, calls, seed):
        total_wait_s += max(0.0, free_at_s - at_s)
        free_at_s = max(free_at_s, at_s) + service_s
    return QueueingResult(
        case=f"engine, Lindley at {utilisation:.2f}",
        measure="mean sojourn, s",
        simulated=simulated,
        theory=total_wait_s / calls + service_s,
        standard_error=0.0,
    )


def compare_engine_with_littles_law(calls: int, seed: int) -> QueueingResult:
    """Compare the mean number of requests in a batching engine with Little's law."""
    engine = _engine_with_constant_service(max_running=16)
    run = _run_engine(engine, 16.0, calls, seed)
    mean_requests = run.request_seconds / run.duration_s
    theory = len(run.sojourns_s) / run.duration_s * statistics.fmean(run.sojourns_s)
    return QueueingResult(
        case="engine, Little's law",
        measure="mean requests in system",
        simulated=mean_requests,
        theory=theory,
        standard_error=0.0,
    )


def compare_full_batch_rate(context_tokens: int = 500, output_tokens: int = 400) -> QueueingResult:
    """Compare the decode rate of a full batch of equal sequences with the step time formula."""
    parameters = EngineParameters()
    lengths = LengthDistribution(median_tokens=output_tokens, sigma=0.0)
    model = ModelParameters(name="m", lengths=lengths)
    engine = EngineModel("engine", parameters, [model], Random(1), now_s=0.0)
    prompt = tuple(range(context_tokens))
    for number in range(parameters.max_running):
        engine.submit(_generate_request(number, number, prompt, 2 * output_tokens), 0.0)
    while (due_s := engine.next_event_s()) is not None:
        engine.advance(due_s)
        finished_s = due_s
    # The first sequence prefills in a step of its own; the others then find the prefix cached.
    prefill_s = parameters.step_base_s + context_tokens * parameters.step_per_prefill_token_s
    decode_s = finished_s - prefill_s
    return QueueingResult(
        case="engine, full batch",
        measure="tokens/s",
        simulated=(engine.counters.decoded_tokens - 1) / decode_s,
        theory=_full_batch_rate(parameters, context_tokens, output_tokens),
        standard_error=0.0,
    )


def _full_batch_rate(parameters: EngineParameters, context_tokens: int, output_tokens: int) -> float:
    """Return tokens per second of steps whose sequences have the mean context of the run."""
    sequences = parameters.max_running
    mean_context_tokens = context_tokens + output_tokens / 2
    step_s = (
        parameters.step_base_s
        + sequences * parameters.step_per_sequence_s
        + sequences * mean_context_tokens * parameters.step_per_kv_token_s
    )
    return sequences / step_s


def run_all(calls: int = 100_000, seed: int = 1) -> list[QueueingResult]:
    """Run every comparison."""
    return [
        compare_app_wait_with_mmc(1, 0.5, calls, seed),
        compare_app_wait_with_mmc(1, 0.8, calls, seed),
        compare_app_wait_with_mmc(4, 0.7, calls, seed),
        compare_app_wait_with_mmc(4, 0.9, calls, seed),
        compare_engine_wait_with_md1(0.5, calls // 4, seed),
        compare_engine_wait_with_md1(0.8, calls // 4, seed),
        compare_engine_with_lindley(0.8, calls // 20, seed),
        compare_engine_with_littles_law(calls // 50, seed),
        compare_full_batch_rate(),
    ]


class _EngineRun(msgspec.Struct):
    sojourns_s: list[float]
    """Time from arrival to end of each finished request."""
    request_seconds: float = 0.0
    """Integral of the number of requests in the engine over time."""
    duration_s: float = 0.0


def _run_engine(engine: EngineModel, rate_per_s: float, calls: int, seed: int) -> _EngineRun:
    arrived_s_by_request: dict[str, float] = {}
    run = _EngineRun(sojourns_s=[])
    for number, at_s in enumerate(_poisson_arrivals_s(rate_per_s, calls, seed)):
        _advance_to(engine, at_s, arrived_s_by_request, run)
        request = _generate_request(number, seed)
        arrived_s_by_request[request.request_id] = at_s
        engine.submit(request, at_s)
    _advance_to(engine, math.inf, arrived_s_by_request, run)
    return run


def _advance_to(
    engine: EngineModel, at_s: float, arrived_s_by_request: dict[str, float], run: _EngineRun
) -> None:
    while (due_s := engine.next_event_s()) is not None and due_s <= at_s:
        _add_request_seconds(engine, due_s, run)
        for event in engine.advance(due_s):
            if isinstance(event, ChunkProduced) and event.chunk.finish_reason is not None:
                run.sojourns_s.append(due_s - arrived_s_by_request[event.chunk.request_id])
    if at_s < math.inf:
        _add_request_seconds(engine, at_s, run)


def _add_request_seconds(engine: EngineModel, at_s: float, run: _EngineRun) -> None:
    requests_in_engine = len(engine.batch.running) + len(engine.batch.waiting)
    run.request_seconds += requests_in_engine * (at_s - run.duration_s)
    run.duration_s = at_s


def _record_waits(waits_s: list[float], app: AppModel, earlier_totals: tuple[float, int]) -> None:
    """Append the mean wait of the calls that started since the earlier totals, once for each call."""
    started = app.counters.started - earlier_totals[1]
    if started:
        waits_s.extend([(app.counters.total_wait_s - earlier_totals[0]) / started] * started)


def _engine_with_constant_service(max_running: int) -> EngineModel:
    parameters = EngineParameters(
        max_running=max_running, max_waiting=10**9, step_per_kv_token_s=0.0, cache_events_kept=1
    )
    lengths = LengthDistribution(median_tokens=_ENGINE_OUTPUT_TOKENS, sigma=0.0)
    model = ModelParameters(name="m", lengths=lengths)
    return EngineModel("engine", parameters, [model], Random(1), now_s=0.0)


def _service_s(parameters: EngineParameters) -> float:
    prefill_s = parameters.step_base_s + _PROMPT_TOKENS * parameters.step_per_prefill_token_s
    decode_s = parameters.step_base_s + parameters.step_per_sequence_s
    return prefill_s + (_ENGINE_OUTPUT_TOKENS - 1) * decode_s


def _generate_request(
    number: int, seed: int, prompt: tuple[int, ...] = (), max_tokens: int = 10 * _ENGINE_OUTPUT_TOKENS
) -> GenerateRequest:
    return GenerateRequest(
        request_id=f"r{number}",
        caller="check",
        pool="check",
        model="m",
        prompt=prompt or (number, *range(1, _PROMPT_TOKENS)),
        max_tokens=max_tokens,
        seed=seed,
    )


def _app_request() -> AppRequest:
    return AppRequest(request_id="r", caller="check", pool="check", method="POST", path="/", body=b"")


def _poisson_arrivals_s(rate_per_s: float, count: int, seed: int) -> Iterator[float]:
    random = Random(f"{seed}/arrivals")
    at_s = 0.0
    for _ in range(count):
        at_s += random.expovariate(rate_per_s)
        yield at_s


def _result_of_samples(case: str, measure: str, values: list[float], theory: float) -> QueueingResult:
    batch_size = len(values) // BATCH_COUNT
    batch_means = [
        statistics.fmean(values[index * batch_size : (index + 1) * batch_size])
        for index in range(BATCH_COUNT)
    ]
    simulated = statistics.fmean(values)
    standard_error = statistics.stdev(batch_means) / math.sqrt(BATCH_COUNT) / simulated
    return QueueingResult(
        case=case, measure=measure, simulated=simulated, theory=theory, standard_error=standard_error
    )


def main(calls: int = 100_000, seed: int = 1) -> None:
    """Print one line for each comparison."""
    print(f"{'case':<26} {'measure':<24} {'simulated':>10} {'theory':>10} {'error':>8} {'std.err':>8}")
    for result in run_all(calls, seed):
        print(
            f"{result.case:<26} {result.measure:<24} {result.simulated:>10.5f} {result.theory:>10.5f}"
            f" {result.relative_error:>+8.2%} {result.standard_error:>8.2%}"
        )


if __name__ == "__main__":
    fire.Fire(main)
