"""Plans how many replicas and daemons a load needs: ``passgate plan capacity``.

The output rate of an engine follows from the time of its steps.  With ``n`` sequences of mean context
``c``, a decode step takes ``base + n × per_sequence + n × c × per_kv_token`` and yields ``n`` tokens;
prefill of uncached prompt tokens takes further time.  ``n`` is limited by ``max_running`` of the engine
and by its KV memory.

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
"""Share of an engine's full rate that the load may use; the rest is reserve for crashes and uneven load."""


class CapacityDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Load at its peak."""

    requests_per_s: float
    output_tokens: float = 404.0
    """Mean length of an output."""
    prompt_tokens: float = 448.0
    """Mean length of a prompt."""
    cached_share: float = 0.5
    """Share of prompt tokens found in prefix caches, 0 to 1."""
    utilisation: float = DEFAULT_UTILISATION
    """Share of an engine's full rate that the load may use."""


class CapacityPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Replicas and daemons that a load needs, and figures of one replica at its full rate."""

    replicas: int
    sequences_per_replica: int
    """Sequences that a replica decodes at once."""
    tokens_per_replica_s: float
    """Output tokens per second of a replica that also prefills the prompts."""
    kv_tokens: int
    """KV memory in use at one replica, in tokens."""
    stream_s: float
    """Mean time from a request's start to its last token, without time in a queue."""
    daemons: int


def plan_capacity(
    engine: EngineParameters, demand: CapacityDemand, daemon_tokens_per_s: float = 5_000.0
) -> CapacityPlan:
    """Return the replicas and daemons that a load needs.

    Args:
        engine: parameters of each replica's engine.
        demand: the load.
        daemon_tokens_per_s: output tokens per second that one daemon can pass on.

    Raises:
        InvalidRequest: a number of ``demand`` is not positive, ``cached_share`` is not within 0 and 1, or
            one request of mean length exceeds an engine's KV memory.
    """
    _validate(demand)
    mean_context_tokens = demand.prompt_tokens + demand.output_tokens / 2
    complete_request_tokens = demand.prompt_tokens + demand.output_tokens
    sequences = _concurrent_sequences(engine, complete_request_tokens, mean_context_tokens)
    replica_tokens_per_s = _tokens_per_s(engine, demand, sequences, mean_context_tokens)
    needed_tokens_per_s = demand.requests_per_s * demand.output_tokens
    return CapacityPlan(
        replicas=max(1, math.ceil(needed_tokens_per_s / (replica_tokens_per_s * demand.utilisation))),
        sequences_per_replica=sequences,
        tokens_per_replica_s=round(replica_tokens_per_s, 1),
        kv_tokens=int(sequences * mean_context_tokens),
        stream_s=round(demand.output_tokens * sequences / replica_tokens_per_s, 2),
        daemons=max(1, math.ceil(needed_tokens_per_s / daemon_tokens_per_s)),
    )


def _concurrent_sequences(
    engine: EngineParameters, complete_request_tokens: float, mean_context_tokens: float
) -> int:
    usable_kv_tokens = engine.kv_blocks * engine.block_tokens * (1.0 - engine.kv_watermark)
    if complete_request_tokens > usable_kv_tokens:
        raise InvalidRequest("one request exceeds an engine's KV memory", kv_tokens=int(usable_kv_tokens))
    return max(1, min(engine.max_running, int(usable_kv_tokens / mean_context_tokens)))


def _tokens_per_s(
    engine: EngineParameters, demand: CapacityDemand, sequences: int, mean_context_tokens: float
) -> float:
    step_s = engine.step_base_s
    step_s += sequences * engine.step_per_sequence_s
    step_s += sequences * mean_context_tokens * engine.step_per_kv_token_s
    uncached_tokens = demand.prompt_tokens * (1.0 - demand.cached_share)
    prefill_s = uncached_tokens * engine.step_per_prefill_token_s
    # A request takes its prefill, and of each decode step of its output the share of one sequence.
    request_s = prefill_s + demand.output_tokens * step_s / sequences
    return demand.output_tokens / request_s


def _validate(demand: CapacityDemand) -> None:
    for name in ("requests_per_s", "output_tokens", "prompt_tokens", "utilisation"):
        if getattr(demand, name) <= 0:
            raise InvalidRequest(f"{name} must be positive", field=name, expected="> 0")
    if not 0.0 <= demand.cached_share <= 1.0:
        raise InvalidRequest("cached_share must be within 0 and 1", field="cached_share", expected="0..1")
