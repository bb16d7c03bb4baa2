"""One sequence inside an emulated engine, and the batch step it takes part in."""

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
    """State of one request in an engine, waiting or running."""

    __slots__ = (
        "_key_version",
        "_version_key",
        "arrival",
        "arrived_s",
        "cache_version",
        "cancelled",
        "computed",
        "context",
        "digest",
        "finish_reason",
        "held_keys",
        "length",
        "output",
        "prefix_hashes",
        "priority",
        "private_blocks",
        "remaining",
        "request",
        "sent",
        "sent_pieces",
        "started_s",
    )

    def __init__(
        self,
        request: GenerateRequest,
        priority: int,
        arrival: int,
        now_s: float,
        lengths: LengthDistribution,
        block_tokens: int,
    ) -> None:
        self.request = request
        self.priority = priority
        self.arrival = arrival
        self.arrived_s = now_s
        self.started_s: float | None = None
        self.cancelled = False
        self.digest = prompt_digest(request.prompt)
        self.length, self.finish_reason = expected_length(
            request.prompt, request.seed, request.max_tokens, lengths
        )
        self.output = list(request.resume_tokens)
        self.sent = len(self.output)
        self.sent_pieces = 0
        self._key_version = 0
        self._version_key = 0
        self.context = len(request.prompt) + len(self.output)
        """Tokens that must have KV entries before the next token can be decoded."""
        self.remaining = max(0, self.length - len(self.output))
        """Tokens still to be decoded."""
        self.prefix_hashes = block_hashes((*request.prompt, *request.resume_tokens), block_tokens)
        self.computed = 0
        """Tokens whose KV entries exist; below ``context`` while prefilling."""
        self.cache_version = 0
        """Weight version under which the held keys were matched."""
        self.held_keys: list[BlockKey] = []
        self.private_blocks = 0

    @property
    def order(self) -> tuple[int, int]:
        """Sort key: more urgent first, then earlier arrival."""
        return (self.priority, self.arrival)

    @property
    def prefilling(self) -> bool:
        """Whether KV entries are still being computed."""
        return self.computed < self.context

    @property
    def blocks(self) -> int:
        """Blocks held."""
        return len(self.held_keys) + self.private_blocks

    def keys(self, version: int) -> list[BlockKey]:
        """Return the cache keys of the whole blocks known at submission."""
        model = self.request.model
        return [BlockKey(model, version, prefix_hash) for prefix_hash in self.prefix_hashes]

    def produce(self, count: int, version: int) -> int:
        """Decode up to ``count`` tokens under ``version``; return how many."""
        start = len(self.output)
        if count > self.remaining:
            count = self.remaining
        key = self._key(version)
        self.output.extend([output_token(key, position) for position in range(start, start + count)])
        self.remaining -= count
        self.context += count
        self.computed = self.context
        return count

    @property
    def unsent(self) -> int:
        """Decoded tokens that have not been streamed yet."""
        return len(self.output) - self.sent

    def take_chunk(self, version: int) -> GenerateChunk:
        """Return the unsent tokens as one piece; all of them were decoded under ``version``."""
        start = self.sent
        self.sent = len(self.output)
        self.sent_pieces += 1
        return GenerateChunk(
            request_id=self.request.request_id,
            start=start,
            tokens=tuple(self.output[start:]),
            version=version,
            finish_reason=self._finish_reason(),
        )

    def _key(self, version: int) -> int:
        if self._key_version != version:
            self._key_version = version
            self._version_key = output_key(self.request.model, self.digest, self.request.seed, version)
        return self._version_key

    def _finish_reason(self) -> FinishReason | None:
        return self.finish_reason if self.remaining == 0 else None


class Step:
    """One or several consecutive steps of an unchanged batch."""

    __slots__ = ("base_s", "count", "decoding", "growth_s", "prefilling", "start_s")

    def __init__(
        self,
        start_s: float,
        count: int,
        base_s: float,
        growth_s: float,
        decoding: list[Sequence],
        prefilling: list[tuple[Sequence, int]],
    ) -> None:
        self.start_s = start_s
        self.count = count
        self.base_s = base_s
        """Time of the first step."""
        self.growth_s = growth_s
        """How much longer each later step takes, because the KV cache has grown."""
        self.decoding = decoding
        self.prefilling = prefilling

    def duration_s(self, count: int) -> float:
        """Return the time of the first ``count`` steps."""
        return count * self.base_s + self.growth_s * count * (count - 1) / 2

    @property
    def end_s(self) -> float:
        """Time at which the step's output exists."""
        return self.start_s + self.duration_s(self.count)

    def truncate(self, now_s: float) -> None:
        """End at the first step boundary at or after ``now_s``."""
        count = 1
        while count < self.count and self.start_s + self.duration_s(count) < now_s:
            count += 1
        self.count = count
