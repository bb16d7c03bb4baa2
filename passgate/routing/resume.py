"""Continues an interrupted output on another replica.

The tokens already received are sent along, so only the rest is generated; their
version spans are kept as the engines reported them, so the result stays truthful
about each token.

>>> from passgate.schema import GenerateRequest, VersionSpan
>>> request = GenerateRequest(request_id="r", caller="c", pool="p", model="m", prompt=(1,), max_tokens=9,
...                           minimum_version=4)
>>> resumed = resumed_request(request, "r~2", [5, 6], [VersionSpan(0, 2, 4)])
>>> resumed.resume_tokens, resumed.request_id
((5, 6), 'r~2')
>>> resumed_request(request, "r~2", [5, 6], [VersionSpan(0, 2, 3)]).resume_tokens
()
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from passgate.schema import GenerateRequest, VersionSpan


def attempt_request_id(request_id: str, attempt: int) -> str:
    """Return the identifier of a later attempt, so that pieces of two attempts can not be confused."""
    return request_id if attempt <= 1 else f"{request_id}~{attempt}"


def resumed_request(
    request: GenerateRequest, request_id: str, tokens: Sequence[int], spans: Sequence[VersionSpan]
) -> GenerateRequest:
    """Return the request that continues after ``tokens``.

    Tokens older than the request's minimum version are refused: the output then
    starts again from what the caller itself brought.  At least one token is left
    to be generated, because only an engine's finish mark makes an answer whole.
    """
    if any(span.version < request.minimum_version for span in spans):
        return msgspec.structs.replace(request, request_id=request_id)
    kept = min(len(tokens), request.max_tokens - 1)
    return msgspec.structs.replace(
        request,
        request_id=request_id,
        resume_tokens=tuple(tokens[:kept]),
        resume_spans=_cut_spans(spans, kept),
    )


def _cut_spans(spans: Sequence[VersionSpan], end: int) -> tuple[VersionSpan, ...]:
    return tuple(
        VersionSpan(span.start, min(span.end, end), span.version) for span in spans if span.start < end
    )
