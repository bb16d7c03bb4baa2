"""Deterministic output of emulated engines, and the verification of results against it.

Each token is a function of model, prompt, seed, position and weight version, and the
output's length is a function of prompt, seed and the request's token limit.  A caller
can therefore verify that a result belongs to its request, is complete, and was
produced by the weight versions that it names.

>>> key = output_key("m", prompt_digest((1, 2, 3)), seed=7, version=4)
>>> output_token(key, 0) == output_token(key, 0), output_token(key, 0) == output_token(key, 1)
(True, False)
>>> 1 <= output_length((1, 2, 3), 7, LengthDistribution(median_tokens=200, sigma=1.0))
True
"""

from __future__ import annotations

import enum
import math
from array import array
from collections.abc import Sequence
from statistics import NormalDist

import msgspec
import xxhash

from passgate.schema import FinishReason, GenerateRequest, GenerateResult, VersionSpan

VOCABULARY_TOKENS = 50_000
"""Output token identifiers are below this number."""

_HASH_RANGE = 2.0**64
_LENGTH_HASH_SEED = 0x6C656E
"""Separates the hash of the output length from other hashes of the same input."""
_POSITION_BYTES = 4


class LengthDistribution(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Log-normal distribution of output lengths before the request's token limit."""

    median_tokens: float = 180.0
    sigma: float = 0.9
    """Standard deviation of the logarithm; with 0.9, the 99.9 % quantile is 16 times the median."""

    def mean_tokens(self) -> float:
        """Return the mean length in tokens."""
        return self.median_tokens * math.exp(self.sigma**2 / 2)


class Verdict(enum.Enum):
    """Outcome of verifying a result against its request."""

    CORRECT = "right"
    ANOTHER_REQUEST = "another_request"
    """The result has another request identifier."""
    WRONG_LENGTH = "wrong_length"
    """The number of tokens is not that of the request's complete output."""
    WRONG_FINISH = "wrong_finish"
    """The finish reason is not that of the request's complete output."""
    WRONG_SPANS = "wrong_spans"
    """The version spans do not cover each token exactly once, in order."""
    WRONG_TOKENS = "wrong_tokens"
    """At least one token differs from what the version of its span produces."""


def prompt_digest(prompt: Sequence[int]) -> int:
    """Return a 64-bit digest of prompt tokens."""
    return xxhash.xxh64_intdigest(array("Q", prompt).tobytes())


def output_key(model: str, digest: int, seed: int, version: int) -> int:
    """Return the key from which :func:`output_token` derives the tokens of one version."""
    return xxhash.xxh64_intdigest(f"{model}/{digest}/{seed}/{version}".encode())


def output_token(key: int, position: int) -> int:
    """Return the token at ``position`` for a key made by :func:`output_key`."""
    return xxhash.xxh64_intdigest(position.to_bytes(_POSITION_BYTES, "little"), seed=key) % VOCABULARY_TOKENS


def output_length(prompt: Sequence[int], seed: int, lengths: LengthDistribution) -> int:
    """Return the output length in tokens before the request's token limit."""
    digest = xxhash.xxh64_intdigest(f"{prompt_digest(prompt)}/{seed}".encode(), seed=_LENGTH_HASH_SEED)
    uniform = (digest + 0.5) / _HASH_RANGE
    deviate = NormalDist().inv_cdf(min(max(uniform, 1e-12), 1 - 1e-12))
    return max(1, round(lengths.median_tokens * math.exp(lengths.sigma * deviate)))


def expected_length(
    prompt: Sequence[int], seed: int, max_tokens: int, lengths: LengthDistribution
) -> tuple[int, FinishReason]:
    """Return the length and finish reason of the complete output under the request's token limit."""
    unlimited_length = output_length(prompt, seed, lengths)
    if unlimited_length > max_tokens:
        return max_tokens, FinishReason.LENGTH
    return unlimited_length, FinishReason.STOP


def expected_tokens(request: GenerateRequest, spans: Sequence[VersionSpan]) -> tuple[int, ...]:
    """Return the tokens that the versions of ``spans`` produce for ``request``."""
    digest = prompt_digest(request.prompt)
    tokens: list[int] = []
    for span in spans:
        key = output_key(request.model, digest, request.seed, span.version)
        tokens.extend(output_token(key, position) for position in range(span.start, span.end))
    return tuple(tokens)


def verify_result(request: GenerateRequest, result: GenerateResult, lengths: LengthDistribution) -> Verdict:
    """Verify that a result is the complete output of ``request``; report the first deviation."""
    if result.request_id != request.request_id:
        return Verdict.ANOTHER_REQUEST
    return verify_output(request, result.tokens, result.spans, result.finish_reason, lengths)


def verify_output(
    request: GenerateRequest,
    tokens: Sequence[int],
    spans: Sequence[VersionSpan],
    finish_reason: FinishReason,
    lengths: LengthDistribution,
) -> Verdict:
    """Verify tokens, spans and finish reason like :func:`verify_result`, but no request identifier."""
    length, reason = expected_length(request.prompt, request.seed, request.max_tokens, lengths)
    if len(tokens) != length:
        return Verdict.WRONG_LENGTH
    if finish_reason is not reason:
        return Verdict.WRONG_FINISH
    if not _spans_cover(spans, length):
        return Verdict.WRONG_SPANS
    if tuple(tokens) != expected_tokens(request, spans):
        return Verdict.WRONG_TOKENS
    return Verdict.CORRECT


def _spans_cover(spans: Sequence[VersionSpan], length: int) -> bool:
    position = 0
    for span in spans:
        if span.start != position or span.end <= span.start:
            return False
        position = span.end
    return position == length
