"""One request's sequence in an emulated engine, and a run of batch steps."""

from __future__ import annotations

from passgate.emulator.expected_output import (
    LengthDistribution,
    expected_length,
    output_key,
    output_token,
    prompt_digest,
)
from passgate.emulator.kv_cache import BlockKey
from passgate.routing.prefix import block_hashes
from passgate.schema import FinishReason, GenerateChunk, GenerateRequest


class Sequence:
    """State of one waiting or running request of an engine."""

    __slots__ = (
        "_output_key_version",
        "_output_key",
        "arrival_number",
        "arrived_s",
        "cache_version",
        "cancelled",
        "computed_tokens",
        "context_tokens",
        "prompt_digest",
        "finish_reason",
        "held_keys",
        "output_length",
        "output",
        "prefix_hashes",
        "priority",
        "private_blocks",
        "remaining_tokens",
        "request",
        "sent_tokens",
        "sent_chunks",
        "started_s",
    )

    def __init__(
        self,
        request: GenerateRequest,
        priority: int,
        arrival_number: int,
        now_s: float,
        lengths: LengthDistribution,
        block_tokens: int,
    ) -> None:
        self.request = request
        self.priority = priority
        self.arrival_number = arrival_number
        self.arrived_s = now_s
        self.started_s: float | None = None
        self.cancelled = False
        """Whether to leave the batch at the next step boundary."""
        self.prompt_digest = prompt_digest(request.prompt)
        self.output_length, self.finish_reason = expected_length(
            request.prompt, request.seed, request.max_tokens, lengths
        )
        self.output = list(request.resume_tokens)
        """Output tokens: those of an earlier attempt that the request resumes, then the decoded ones."""
        self.sent_tokens = len(self.output)
        self.sent_chunks = 0
        self._output_key_version = 0
        self._output_key = 0
        self.context_tokens = len(request.prompt) + len(self.output)
        """Prompt and output tokens, which need KV entries before the next token can be decoded."""
        self.remaining_tokens = max(0, self.output_length - len(self.output))
        """Tokens still to be decoded."""
        self.prefix_hashes = block_hashes((*request.prompt, *request.resume_tokens), block_tokens)
        self.computed_tokens = 0
        """Tokens whose KV entries exist; below ``context_tokens`` while prefilling."""
        self.cache_version = 0
        """Weight version that was active when the sequence entered the batch."""
        self.held_keys: list[BlockKey] = []
        """Cached blocks that the sequence references, in order from the prompt's start."""
        self.private_blocks = 0

    @property
    def scheduling_key(self) -> tuple[int, int]:
        """Sort key: lower ``priority`` value first, then earlier arrival."""
        return (self.priority, self.arrival_number)

    @property
    def is_prefilling(self) -> bool:
        """Whether KV entries of the context are still to be computed."""
        return self.computed_tokens < self.context_tokens

    @property
    def held_blocks(self) -> int:
        """Number of cached and private blocks that the sequence holds."""
        return len(self.held_keys) + self.private_blocks

    def block_keys(self, version: int) -> list[BlockKey]:
        """Return the cache keys under ``version`` of the full blocks of prompt and resumed tokens."""
        model = self.request.model
        return [BlockKey(model, version, prefix_hash) for prefix_hash in self.prefix_hashes]

    def decode(self, count: int, version: int) -> int:
        """Decode up to ``count`` tokens under ``version``, no more than remain; return their number."""
        start = len(self.output)
        if count > self.remaining_tokens:
            count = self.remaining_tokens
        key = self._output_key_of(version)
        self.output.extend([output_token(key, position) for position in range(start, start + count)])
        self.remaining_tokens -= count
        self.context_tokens += count
        self.computed_tokens = self.context_tokens
        return count

    @property
    def unsent_tokens(self) -> int:
        """Number of decoded tokens that have not been streamed."""
        return len(self.output) - self.sent_tokens

    def take_chunk(self, version: int) -> GenerateChunk:
        """Return the unsent tokens as one chunk and count them as sent.

        The caller guarantees that all of them were decoded under ``version``.
        """
        start = self.sent_tokens
        self.sent_tokens = len(self.output)
        self.sent_chunks += 1
        return GenerateChunk(
            request_id=self.request.request_id,
            start=start,
            tokens=tuple(self.output[start:]),
            version=version,
            finish_reason=self._finish_reason_if_complete(),
        )

    def _output_key_of(self, version: int) -> int:
        if self._output_key_version != version:
            self._output_key_version = version
            self._output_key = output_key(self.request.model, self.prompt_digest, self.request.seed, version)
        return self._output_key

    def _finish_reason_if_complete(self) -> FinishReason | None:
        return self.finish_reason if self.remaining_tokens == 0 else None


class StepRun:
    """One or more consecutive steps of an unchanged batch, computed at once."""

    __slots__ = ("first_step_s", "step_count", "decoding", "growth_per_step_s", "prefilling", "start_s")

    def __init__(
        self,
        start_s: float,
        step_count: int,
        first_step_s: float,
        growth_per_step_s: float,
        decoding: list[Sequence],
        prefilling: list[tuple[Sequence, int]],
    ) -> None:
        self.start_s = start_s
        self.step_count = step_count
        self.first_step_s = first_step_s
        """Duration of the first step."""
        self.growth_per_step_s = growth_per_step_s
        """Extra duration of each step compared with the one before, as the KV cache grows."""
        self.decoding = decoding
        self.prefilling = prefilling
        """Sequences with their number of tokens to prefill; only in runs of one step."""

    def duration_s(self, step_count: int) -> float:
        """Return the duration of the first ``step_count`` steps."""
        return step_count * self.first_step_s + self.growth_per_step_s * step_count * (step_count - 1) / 2

    @property
    def end_s(self) -> float:
        """Time at which the last step ends."""
        return self.start_s + self.duration_s(self.step_count)

    def truncate(self, now_s: float) -> None:
        """Drop the steps after the first step boundary at or after ``now_s``."""
        kept_steps = 1
        while kept_steps < self.step_count and self.start_s + self.duration_s(kept_steps) < now_s:
            kept_steps += 1
        self.step_count = kept_steps
