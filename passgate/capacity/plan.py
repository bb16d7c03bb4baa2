"""Plans how many replicas and daemons a load needs: ``passgate plan capacity``.

The rate of one engine follows from its step time: with ``n`` sequences of mean
context ``c`` a step takes ``base + n × per_sequence + n × c × per_kv_token`` and
yields ``n`` tokens; prefill takes its share of the time.  ``n`` is bounded by the
engine's own limit and by its KV memory.

>>> from passgate.emulator.parameters import load_deployment
>>> plan = plan_capacity(load_deployment("olhar").engines.engine, CapacityDemand(requests_per_s=20.0))
>>> plan.replicas >= 1 and plan.sequences_per_replica >= 1
True
"""

from __future__ import annotations

import math

import msgspec

from passgate.emulator.parameters import EngineParameters
from passgate.errors import InvalidRequest

DEFAULT_UTILISATION = 0.8
"""Planned share of an engine's rate; the rest absorbs crashes and uneven load."""


class CapacityDemand(msgspec.Struct, frozen=True, kw_only=True):
    """What callers ask for, at the peak."""

    requests_per_s: float
    output_tokens: float = 404.0
    """Mean length of an output."""
    prompt_tokens: float = 448.0
    cached_share: float = 0.5
    """Share of prompt tokens found in prefix caches."""
    utilisation: float = DEFAULT_UTILISATION


class CapacityPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What the demand needs."""

    replicas: int
    sequences_per_replica: int
    """Sequences that a replica runs at once at its full rate."""
    tokens_per_replica_s: float
    """Output tokens per second of one replica at its full rate, prefill included in the time."""
    kv_tokens: int
    """KV memory of one replica at that rate, in tokens."""
    stream_s: float
    """Mean time of one output at the full rate, without waiting."""
    daemons: int


def plan_capacity(
    engine: EngineParameters, demand: CapacityDemand, daemon_tokens_per_s: float = 5_000.0
) -> CapacityPlan:
    """Return the plan.

    Raises:
        InvalidRequest: a quantity is not positive, or one request exceeds an engine's KV memory.
    """
    _check(demand)
    context = demand.prompt_tokens + demand.output_tokens / 2
    longest = demand.prompt_tokens + demand.output_tokens
    sequences = _sequences(engine, longest, context)
    rate = _tokens_per_s(engine, demand, sequences, context)
    needed = demand.requests_per_s * demand.output_tokens
    return CapacityPlan(
        replicas=max(1, math.ceil(needed / (rate * demand.utilisation))),
        sequences_per_replica=sequences,
        tokens_per_replica_s=round(rate, 1),
        kv_tokens=int(sequences * context),
        stream_s=round(demand.output_tokens * sequences / rate, 2),
        daemons=max(1, math.ceil(needed / daemon_tokens_per_s)),
    )


def _sequences(engine: EngineParameters, longest: float, context: float) -> int:
    usable = engine.kv_blocks * engine.block_tokens * (1.0 - engine.kv_watermark)
    if longest > usable:
        raise InvalidRequest("one request exceeds an engine's KV memory", kv_tokens=int(usable))
    return max(1, min(engine.max_running, int(usable / context)))


def _tokens_per_s(engine: EngineParameters, demand: CapacityDemand, sequences: int, context: float) -> float:
    step_s = engine.step_base_s
    step_s += sequences * engine.step_per_sequence_s
    step_s += sequences * context * engine.step_per_kv_token_s
    computed = demand.prompt_tokens * (1.0 - demand.cached_share)
    prefill_s = computed * engine.step_per_prefill_token_s
    # One request needs its prefill time and its output's share of the decode steps.
    request_s = prefill_s + demand.output_tokens * step_s / sequences
    return demand.output_tokens / request_s


def _check(demand: CapacityDemand) -> None:
    for name in ("requests_per_s", "output_tokens", "prompt_tokens", "utilisation"):
        if getattr(demand, name) <= 0:
            raise InvalidRequest(f"{name} must be positive", field=name, expected="> 0")
    if not 0.0 <= demand.cached_share <= 1.0:
        raise InvalidRequest("cached_share must be within 0 and 1", field="cached_share", expected="0..1")
