"""Emulated interactive callers: calls that arrive at random, whether or not earlier ones were answered.

Arrivals form a Poisson process with the rate :func:`arrival_rate_per_s`, drawn by thinning.  A failed
attempt is repeated after the error's ``retry_after_s``, or else after an exponential backoff, unless the
error says that the outcome of a non-repeatable call is unknown.  All attempts of a non-repeatable call
carry the same idempotency key.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator, Callable
from random import Random

import msgspec
import xxhash

from passgate.check.events import (
    AnyEvent,
    AppCompleted,
    AppInvoked,
    GenerateCompleted,
    GenerateInvoked,
    RequestAbandoned,
    RequestFailed,
)
from passgate.clock import monotonic_s
from passgate.emulator.app_model import expected_app_body
from passgate.emulator.caller_outcomes import ArrivalOutcomes
from passgate.emulator.expected_output import Verdict, expected_length, verify_result
from passgate.emulator.parameters import ArrivalParameters, CallKind, ModelParameters
from passgate.emulator.passgate_client import PassgateClient
from passgate.emulator.prompts import PromptSource
from passgate.errors import ExecutionStatus, OutcomeUnknown, PassgateError
from passgate.schema import AppRequest, GenerateRequest

INITIAL_BACKOFF_S = 0.1
TIMEOUT_MARGIN_S = 0.5
"""Added to the deadline that the caller sends with a request; then it stops waiting for the answer."""


class AppCallBody(msgspec.Struct, frozen=True, kw_only=True):
    """JSON body of a call to an emulated application."""

    order: str
    """Identifies the call; the same in all of its attempts."""
    items: int


class _Call(msgspec.Struct, frozen=True, kw_only=True):
    """One call, made in one or more attempts; an app gets the items, a model the prompt and the seed."""

    name: str
    arrived_s: float
    repeatable: bool
    prompt: tuple[int, ...] = ()
    seed: int = 0
    items: int = 0


def arrival_rate_per_s(parameters: ArrivalParameters, at_s: float) -> float:
    """Return the arrival rate ``at_s`` after the start: a daily sine curve, raised during the surge.

    >>> calls = ArrivalParameters(name="c", kind=CallKind.APP, rate_per_s=10.0, daily_amplitude=0.5,
    ...                           day_s=400.0, surge_factor=3.0, surge_start_s=100.0, surge_end_s=200.0)
    >>> arrival_rate_per_s(calls, 0.0), arrival_rate_per_s(calls, 100.0)
    (10.0, 45.0)
    """
    daily_factor = 1.0 + parameters.daily_amplitude * math.sin(2 * math.pi * at_s / parameters.day_s)
    in_surge = parameters.surge_start_s <= at_s < parameters.surge_end_s
    return parameters.rate_per_s * daily_factor * (parameters.surge_factor if in_surge else 1.0)


class ArrivalStream:
    """One stream of interactive calls to one model, or to the application service if ``model`` is None.

    ``record_event`` receives each attempt and its result for later checks.
    """

    def __init__(
        self,
        parameters: ArrivalParameters,
        model: ModelParameters | None,
        pool: str,
        client: PassgateClient,
        random: Random,
        record_event: Callable[[AnyEvent], None] | None = None,
    ) -> None:
        self.parameters = parameters
        self.outcomes = ArrivalOutcomes(name=parameters.name)
        self._model = model
        self._pool = pool
        self._client = client
        self._random = random
        self._record_event = record_event or _discard_event
        self._prompts = PromptSource(model, random) if model is not None else None
        self._open_calls: dict[asyncio.Task[None], None] = {}
        self._unexpected_error: BaseException | None = None

    async def run(self, duration_s: float, drain_timeout_s: float = 60.0) -> None:
        """Make calls for ``duration_s``, wait up to ``drain_timeout_s`` for open ones, then cancel those.

        Raises the last exception of a call that was not a PassgateError.
        """
        async for call in self._arrivals(duration_s):
            task = asyncio.ensure_future(self._run_call(call))
            self._open_calls[task] = None
            task.add_done_callback(self._on_call_done)
        if self._open_calls:
            await asyncio.wait(list(self._open_calls), timeout=drain_timeout_s)
        self.outcomes.pending = len(self._open_calls)
        for task in list(self._open_calls):
            task.cancel()
        if self._unexpected_error is not None:
            raise self._unexpected_error

    def _on_call_done(self, task: asyncio.Task[None]) -> None:
        del self._open_calls[task]
        if not task.cancelled() and task.exception() is not None:
            self._unexpected_error = task.exception()

    async def _arrivals(self, duration_s: float) -> AsyncIterator[_Call]:
        started_s = monotonic_s()
        parameters = self.parameters
        max_rate = (
            parameters.rate_per_s * (1 + parameters.daily_amplitude) * max(1.0, parameters.surge_factor)
        )
        at_s = self._random.expovariate(max_rate)
        while at_s < duration_s:
            await asyncio.sleep(max(0.0, started_s + at_s - monotonic_s()))
            if self._random.random() * max_rate < arrival_rate_per_s(parameters, at_s):
                yield self._new_call()
            at_s += self._random.expovariate(max_rate)

    def _new_call(self) -> _Call:
        self.outcomes.arrived += 1
        repeatable = self._random.random() >= self.parameters.not_repeatable_share
        name = f"{self.parameters.name}-{self.outcomes.arrived}"
        if self._prompts is None:
            items = self._random.randint(1, 40)
            return _Call(name=name, arrived_s=monotonic_s(), repeatable=repeatable, items=items)
        return _Call(
            name=name,
            arrived_s=monotonic_s(),
            repeatable=repeatable,
            prompt=self._prompts.next_prompt(),
            seed=self._prompts.next_seed(),
        )

    # --- one call ------------------------------------------------------------------------

    async def _run_call(self, call: _Call) -> None:
        for attempt in range(self.parameters.attempts):
            wait_s = await self._attempt(call, attempt)
            if wait_s is None:
                return
            if attempt + 1 < self.parameters.attempts:
                await asyncio.sleep(wait_s)
        self.outcomes.given_up += 1

    async def _attempt(self, call: _Call, attempt: int) -> float | None:
        """Send the call once; return the wait before the next attempt, or None if there must be none.

        None means that an answer arrived, correct or not, or that the outcome of a non-repeatable call is
        unknown.
        """
        request_id = f"{call.name}-{attempt}"
        self.outcomes.attempts += 1
        backoff_s = INITIAL_BACKOFF_S * 2**attempt * self._random.uniform(0.5, 1.0)
        try:
            async with asyncio.timeout(self.parameters.deadline_s + TIMEOUT_MARGIN_S):
                correct = await self._send(call, request_id)
        except TimeoutError:
            self.outcomes.unknown += 1
            self.outcomes.count_error("caller_timeout")
            self._record_event(RequestAbandoned(time_s=monotonic_s(), request_id=request_id))
            return backoff_s
        except PassgateError as error:
            return self._record_failure(request_id, error, backoff_s)
        self._record_answer(call, correct)
        return None

    async def _send(self, call: _Call, request_id: str) -> bool:
        """Return whether the answer is correct; raises PassgateError."""
        if self.parameters.kind == CallKind.APP:
            return await self._send_app(call, request_id)
        return await self._send_generate(call, request_id)

    async def _send_app(self, call: _Call, request_id: str) -> bool:
        request = AppRequest(
            request_id=request_id,
            caller=self.parameters.name,
            pool=self._pool,
            method="POST",
            path="/calls",
            body=msgspec.json.encode(AppCallBody(order=call.name, items=call.items)),
            priority_class=self.parameters.priority_class,
            deadline_s=monotonic_s() + self.parameters.deadline_s,
            repeatable=call.repeatable,
        )
        expected = expected_app_body(request)
        invoked = AppInvoked(
            time_s=monotonic_s(),
            request_id=request_id,
            daemon=self._client.daemon,
            expected_digest=answer_digest(expected),
            key=_idempotency_key(call) or "",
            repeatable=call.repeatable,
        )
        self._record_event(invoked)
        response = await self._client.call_app(request, _idempotency_key(call))
        digest = answer_digest(response.body)
        self._record_event(AppCompleted(time_s=monotonic_s(), request_id=request_id, answer_digest=digest))
        return response.status == 200 and response.body == expected

    async def _send_generate(self, call: _Call, request_id: str) -> bool:
        assert self._model is not None
        request = GenerateRequest(
            request_id=request_id,
            caller=self.parameters.name,
            pool=self._pool,
            model=self._model.name,
            prompt=call.prompt,
            max_tokens=self.parameters.max_tokens,
            seed=call.seed,
            priority_class=self.parameters.priority_class,
            deadline_s=monotonic_s() + self.parameters.deadline_s,
            repeatable=call.repeatable,
        )
        length, _ = expected_length(request.prompt, request.seed, request.max_tokens, self._model.lengths)
        invoked = GenerateInvoked(
            time_s=monotonic_s(),
            request_id=request_id,
            daemon=self._client.daemon,
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            seed=request.seed,
            expected_length=length,
            key=_idempotency_key(call) or "",
            repeatable=call.repeatable,
        )
        self._record_event(invoked)
        result = await self._client.generate(request, _idempotency_key(call))
        completed = GenerateCompleted(
            time_s=monotonic_s(),
            request_id=request_id,
            answer_request_id=result.request_id,
            tokens=result.tokens,
            spans=result.spans,
            finish_reason=result.finish_reason,
        )
        self._record_event(completed)
        return verify_result(request, result, self._model.lengths) is Verdict.CORRECT

    # --- outcomes -----------------------------------------------------------------------------

    def _record_answer(self, call: _Call, correct: bool) -> None:
        if not correct:
            self.outcomes.wrong += 1
            return
        latency_s = monotonic_s() - call.arrived_s
        self.outcomes.answered += 1
        self.outcomes.latencies_s.append(latency_s)
        if latency_s > self.parameters.deadline_s:
            self.outcomes.late += 1

    def _record_failure(self, request_id: str, error: PassgateError, backoff_s: float) -> float | None:
        self.outcomes.count_error(error.code)
        failed = RequestFailed(
            time_s=monotonic_s(), request_id=request_id, error=error.code, execution=error.execution
        )
        self._record_event(failed)
        if error.execution is ExecutionStatus.NOT_RUN:
            self.outcomes.refused += 1
            self.outcomes.not_run_ids.append(request_id)
        else:
            self.outcomes.unknown += 1
        if isinstance(error, OutcomeUnknown):
            self.outcomes.outcome_lost += 1
            return None
        return backoff_s if error.retry_after_s is None else error.retry_after_s


def answer_digest(body: bytes) -> str:
    """Return the digest of an application's answer, as recorded in events."""
    return xxhash.xxh64_hexdigest(body)


def _idempotency_key(call: _Call) -> str | None:
    return None if call.repeatable else call.name


def _discard_event(event: AnyEvent) -> None:
    pass
