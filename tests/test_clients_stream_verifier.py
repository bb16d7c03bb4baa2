"""StreamVerifier returns only verified chunks, however the stream is split, truncated or malformed."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from passgate.clients import wire
from passgate.clients.answer_decoding import engine_failure
from passgate.clients.http_call import HttpAnswer
from passgate.clients.stream_verifier import StreamVerifier
from passgate.errors import (
    AnswerMismatch,
    BackendRefused,
    Draining,
    ExecutionFailed,
    ExecutionStatus,
    IncompleteAnswer,
    Overloaded,
    PassgateError,
    VersionNotReported,
)
from passgate.schema import FinishReason, GenerateChunk, GenerateRequest

DONE = wire.encode_event(wire.DONE_MARK)
REQUEST = GenerateRequest(request_id="r1", caller="t", pool="p", model="m", prompt=(1,), max_tokens=8)


def chunk(start, tokens, finish=None, version=3, request_id="r1"):
    return GenerateChunk(
        request_id=request_id, start=start, tokens=tuple(tokens), version=version, finish_reason=finish
    )


def error_body(error):
    return msgspec.json.encode(wire.ErrorAnswer(error=error.body()))


def complete_stream():
    return [chunk(0, (5, 6)), chunk(2, (7,), version=4), chunk(3, (8,), FinishReason.STOP, version=4)]


def encode(chunks):
    total = sum(len(each.tokens) for each in chunks)
    return b"".join(wire.encode_chunk(each, total if each.finish_reason else None) for each in chunks)


def read_all(verifier, pieces):
    chunks = []
    for piece in pieces:
        chunks += verifier.feed(piece)
        if verifier.done:
            return chunks
    verifier.feed(b"")
    raise AssertionError("a truncated body was accepted")


@given(st.lists(st.integers(0, 400), max_size=12))
def test_chunks_do_not_depend_on_how_the_stream_is_split(cuts):
    data = b": keep-alive\r\n\r\n" + encode(complete_stream()) + DONE
    edges = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    pieces = [data[start:end] for start, end in zip(edges, edges[1:], strict=False)]
    assert read_all(StreamVerifier(REQUEST), pieces) == complete_stream()


@given(st.integers(1, 600))
def test_truncated_stream_is_never_complete(length):
    data = encode(complete_stream()) + DONE.rstrip()
    verifier = StreamVerifier(REQUEST)
    chunks = verifier.feed(data[: min(length, len(data) - 1)])
    assert not verifier.done
    assert all(each.finish_reason is None for each in chunks)
    with pytest.raises(IncompleteAnswer):
        verifier.feed(b"")


@given(st.binary(max_size=200))
def test_arbitrary_bytes_give_no_chunk_and_raise_only_passgate_errors(data):
    verifier = StreamVerifier(REQUEST)
    try:
        assert verifier.feed(data + b"\n\n") == []
    except PassgateError:
        return


@pytest.mark.parametrize(
    ("chunks", "error"),
    [
        ([chunk(0, (5,), FinishReason.STOP, request_id="other")], AnswerMismatch),
        ([chunk(1, (5,), FinishReason.STOP)], IncompleteAnswer),
        ([chunk(0, (5, 6)), chunk(1, (6,), FinishReason.STOP)], IncompleteAnswer),
        ([chunk(0, (5,), FinishReason.STOP, version=None)], VersionNotReported),
        ([chunk(0, range(9), FinishReason.STOP)], IncompleteAnswer),
        ([chunk(0, (5,), FinishReason.STOP), chunk(1, (6,))], IncompleteAnswer),
        ([chunk(0, (5,), FinishReason.STOP), chunk(1, (6,), FinishReason.STOP)], IncompleteAnswer),
    ],
    ids=["other", "gap", "overlap", "no-version", "too-many", "after-finish", "two-finishes"],
)
def test_stream_with_one_defect_raises(chunks, error):
    with pytest.raises(error):
        StreamVerifier(REQUEST).feed(b"".join(wire.encode_chunk(each) for each in chunks) + DONE)


def test_end_mark_without_finish_reason_is_incomplete():
    with pytest.raises(IncompleteAnswer):
        StreamVerifier(REQUEST).feed(encode([chunk(0, (5,))]) + DONE)


def test_wrong_reported_token_count_is_incomplete():
    with pytest.raises(IncompleteAnswer):
        StreamVerifier(REQUEST).feed(wire.encode_chunk(chunk(0, (5,), FinishReason.STOP), 2) + DONE)


@pytest.mark.parametrize(
    ("status", "headers", "body", "error", "execution", "retry_after_s"),
    [
        (429, {"Retry-After": "7"}, b"busy", BackendRefused, ExecutionStatus.NOT_RUN, 7.0),
        (429, {"Retry-After": "Wed, 02 Dec 2026"}, b"", BackendRefused, ExecutionStatus.NOT_RUN, None),
        (503, {}, error_body(Overloaded(retry_after_s=2.5)), BackendRefused, ExecutionStatus.NOT_RUN, 2.5),
        (503, {}, b"", ExecutionFailed, ExecutionStatus.UNKNOWN, None),
        (500, {}, error_body(IncompleteAnswer()), ExecutionFailed, ExecutionStatus.UNKNOWN, None),
        (500, {}, b'{"error": 1}', ExecutionFailed, ExecutionStatus.UNKNOWN, None),
    ],
)
def test_error_answer_is_not_run_only_if_the_engine_says_so(
    status, headers, body, error, execution, retry_after_s
):
    failure = engine_failure(HttpAnswer(status=status, headers=HTTPHeaders(headers), body=body))
    assert type(failure) is error
    assert failure.execution is execution
    assert failure.retry_after_s == retry_after_s


def test_token_count_may_follow_the_finish_reason_in_a_separate_event():
    last = wire.encode_chunk(chunk(0, (5,), FinishReason.STOP))
    for total, is_complete in ((1, True), (2, False)):
        event = wire.CompletionEvent(id="r1", usage=wire.Usage(completion_tokens=total))
        data = last + wire.encode_event(msgspec.json.encode(event)) + DONE
        verifier = StreamVerifier(REQUEST)
        if is_complete:
            assert len(verifier.feed(data)) == 1
        else:
            with pytest.raises(IncompleteAnswer):
                verifier.feed(data)


@pytest.mark.parametrize(
    ("reported", "version"), [("12", 12), (12, 12), ("default", None), ("", None), (0, None), (None, None)]
)
def test_weight_version_may_be_a_number_or_decimal_text(reported, version):
    choice = wire.CompletionChoice(token_ids=(5,))
    event = wire.CompletionEvent(id="cmpl-r1", choices=(choice,), weight_version=reported)
    data = wire.encode_event(msgspec.json.encode(event))
    if version is None:
        with pytest.raises(VersionNotReported):
            StreamVerifier(REQUEST).feed(data)
    else:
        assert StreamVerifier(REQUEST).feed(data)[0].version == version


def test_positions_are_counted_if_the_engine_does_not_report_them():
    event = wire.CompletionEvent(
        id="r1", choices=(wire.CompletionChoice(token_ids=(5, 6)),), weight_version=3
    )
    verifier = StreamVerifier(REQUEST)
    data = wire.encode_event(msgspec.json.encode(event))
    assert [each.start for each in verifier.feed(data * 2)] == [0, 2]


def test_error_event_is_a_refusal_only_before_the_first_token():
    refusal = wire.CompletionEvent(error=Draining().body())
    data = wire.encode_event(msgspec.json.encode(refusal))
    with pytest.raises(BackendRefused):
        StreamVerifier(REQUEST).feed(data)
    with pytest.raises(IncompleteAnswer):
        StreamVerifier(REQUEST).feed(encode([chunk(0, (5,))]) + data)
