"""The output that an emulated engine must produce, so that anyone can verify an answer.

Every token is a function of model, prompt, seed, position and weight version;
the output's natural length is a heavy-tailed function of prompt and seed.  A
caller that knows its own request can therefore tell whether an answer is whole,
its own, and truly produced by the versions it names.

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
_LENGTH_SEED = 0x6C656E
_TOKEN_BYTES = 4


class LengthDistribution(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Log-normal distribution of natural output lengths."""

    median_tokens: float = 180.0
    sigma: float = 0.9
    """Standard deviation of the logarithm; 0.9 puts the 99.9 % quantile at 16 medians."""

    def mean_tokens(self) -> float:
        """Return the mean length before any cap."""
        return self.median_tokens * math.exp(self.sigma**2 / 2)


class Verdict(enum.Enum):
    """Result of verifying an answer."""

    RIGHT = "right"
    ANOTHER_REQUEST = "another_request"
    """The answer carries another request identifier."""
    WRONG_LENGTH = "wrong_length"
    WRONG_FINISH = "wrong_finish"
    """The finish reason does not fit the length."""
    WRONG_SPANS = "wrong_spans"
    """The version spans do not cover the tokens exactly once in order."""
    WRONG_TOKENS = "wrong_tokens"
    """Some token is not what its reported version produces for this request."""


def prompt_digest(prompt: Sequence[int]) -> int:
    """Return a 64-bit digest of prompt tokens."""
    return xxhash.xxh64_intdigest(array("Q", prompt).tobytes())


def output_key(model: str, digest: int, seed: int, version: int) -> int:
    """Return the key that all tokens of one output under one version derive from."""
    return xxhash.xxh64_intdigest(f"{model}/{digest}/{seed}/{version}".encode())


def output_token(key: int, position: int) -> int:
    """Return the token at ``position`` for a key made by :func:`output_key`."""
    return xxhash.xxh64_intdigest(position.to_bytes(_TOKEN_BYTES, "little"), seed=key) % VOCABULARY_TOKENS


def output_length(prompt: Sequence[int], seed: int, lengths: LengthDistribution) -> int:
    """Return the natural output length in tokens, before the request's own cap."""
    digest = xxhash.xxh64_intdigest(f"{prompt_digest(prompt)}/{seed}".encode(), seed=_LENGTH_SEED)
    uniform = (digest + 0.5) / _HASH_RANGE
    deviate = NormalDist().inv_cdf(min(max(uniform, 1e-12), 1 - 1e-12))
    return max(1, round(lengths.median_tokens * math.exp(lengths.sigma * deviate)))


def expected_length(
    prompt: Sequence[int], seed: int, max_tokens: int, lengths: LengthDistribution
) -> tuple[int, FinishReason]:
    """Return the length of the whole output and its finish reason under the request's cap."""
    natural = output_length(prompt, seed, lengths)
    if natural > max_tokens:
        return max_tokens, FinishReason.LENGTH
    return natural, FinishReason.STOP


def expected_tokens(request: GenerateRequest, spans: Sequence[VersionSpan]) -> tuple[int, ...]:
    """Return the tokens that the versions in ``spans`` produce for ``request``."""
    digest = prompt_digest(request.prompt)
    tokens: list[int] = []
    for span in spans:
        key = output_key(request.model, digest, request.seed, span.version)
        tokens.extend(output_token(key, position) for position in range(span.start, span.end))
    return tuple(tokens)


def verify(request: GenerateRequest, result: GenerateResult, lengths: LengthDistribution) -> Verdict:
    """Judge an answer that claims to be the whole answer to ``request``."""
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
    """Judge tokens, spans and finish reason without regard to identifiers."""
    length, reason = expected_length(request.prompt, request.seed, request.max_tokens, lengths)
    if len(tokens) != length:
        return Verdict.WRONG_LENGTH
    if finish_reason is not reason:
        return Verdict.WRONG_FINISH
    if not _covers(spans, length):
        return Verdict.WRONG_SPANS
    if tuple(tokens) != expected_tokens(request, spans):
        return Verdict.WRONG_TOKENS
    return Verdict.RIGHT


def _covers(spans: Sequence[VersionSpan], length: int) -> bool:
    position = 0
    for span in spans:
        if span.start != position or span.end <= span.start:
            return False
        position = span.end
    return position == length
