"""Builds requests that resume an interrupted output on another replica.

The request includes the tokens received so far, so that the replica generates only the
rest.  Their version spans stay as the engines reported them, so the result states the
weight version that produced each token.

>>> from passgate.schema import GenerateRequest, VersionSpan
>>> request = GenerateRequest(request_id="r", caller="c", pool="p", model="m", prompt=(1,), max_tokens=9,
...                           minimum_version=4)
>>> resumed = make_resumed_request(request, "r~2", [5, 6], [VersionSpan(0, 2, 4)])
>>> resumed.resume_tokens, resumed.request_id
((5, 6), 'r~2')
>>> make_resumed_request(request, "r~2", [5, 6], [VersionSpan(0, 2, 3)]).resume_tokens
()
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from passgate.schema import GenerateRequest, VersionSpan


def make_attempt_request_id(request_id: str, attempt: int) -> str:
    """Return the request identifier of an attempt, counted from 1.

    It differs per attempt, so that the chunks of two attempts can not be confused.
    """
    return request_id if attempt <= 1 else f"{request_id}~{attempt}"


def make_resumed_request(
    request: GenerateRequest, request_id: str, tokens: Sequence[int], spans: Sequence[VersionSpan]
) -> GenerateRequest:
    """Return a copy of the request that resumes after ``tokens``.

    When any span is older than the request's minimum version, the copy resumes from the
    caller's own tokens instead.  At least one token is left to be generated, because an
    output is complete only with an engine's finish mark.
    """
    if any(span.version < request.minimum_version for span in spans):
        return msgspec.structs.replace(request, request_id=request_id)
    kept_tokens = min(len(tokens), request.max_tokens - 1)
    return msgspec.structs.replace(
        request,
        request_id=request_id,
        resume_tokens=tuple(tokens[:kept_tokens]),
        resume_spans=_cut_spans(spans, kept_tokens),
    )


def _cut_spans(spans: Sequence[VersionSpan], end: int) -> tuple[VersionSpan, ...]:
    return tuple(
        VersionSpan(span.start, min(span.end, end), span.version) for span in spans if span.start < end
    )
