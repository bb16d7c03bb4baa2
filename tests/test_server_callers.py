import asyncio
import socket

import msgspec
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from passgate.errors import BackendUnreachable, ExecutionStatus
from passgate.server.wire import CompletionRequest
from passgate.settings import Credential, CredentialSettings, LimitSettings
from tests.conftest import FakeEngine

COMPLETIONS = "/v1/completions"
BODY = {"model": "m", "prompt": "hello", "max_tokens": 6}
LONG_TOKENS = 1_500_000
"""Output that is larger than the socket buffers."""
KEY_HEADERS = {"Idempotency-Key": "order-17"}


def test_completion_reports_weight_versions_and_request_ids(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        answer = await cluster.post(
            daemon,
            COMPLETIONS,
            BODY,
            {"X-Request-Id": "mine", "X-Passgate-Caller": "c1"},
        )
        assert answer.status == 200
        assert answer.headers["X-Request-Id"] == "mine"
        assert answer.json["choices"][0]["text"] == "ABCDEF"
        assert answer.json["passgate"]["weight_versions"] == [{"start": 0, "end": 6, "version": 3}]
        request = cluster.engine.requests[0]
        assert request.caller == "c1"
        assert request.request_id != "mine", "two callers may send the same X-Request-Id"
        assert answer.json["passgate"]["request_id"] == request.request_id

    run_cluster(scenario)


def test_streams_end_with_provenance_and_done(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        chat = {
            "model": "m",
            "messages": [{"role": "user", "content": "hi"}],
            "max_tokens": 4,
            "stream": True,
        }
        for path, body in ((COMPLETIONS, {**BODY, "stream": True}), ("/v1/chat/completions", chat)):
            answer = await cluster.post(daemon, path, body)
            *chunks, last_chunk, done = answer.events
            assert done == "[DONE]"
            tokens = [
                token for chunk in chunks for token in msgspec.json.decode(chunk)["choices"][0]["token_ids"]
            ]
            provenance = msgspec.json.decode(last_chunk)["passgate"]
            assert provenance["weight_versions"] == [{"start": 0, "end": len(tokens), "version": 3}]

    run_cluster(scenario)


def test_a_failed_stream_ends_with_an_error_and_without_done(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        cluster.engine.hold = asyncio.Event()
        headers = {"X-Passgate-Deadline-Ms": "150"}
        stream_body = {**BODY, "stream": True}
        answer = await cluster.post(daemon, COMPLETIONS, stream_body, headers)
        assert msgspec.json.decode(answer.events[-1])["error"]["code"] == "deadline_exceeded"
        assert "[DONE]" not in answer.events

    run_cluster(scenario)


def test_an_idempotency_key_runs_once_across_daemons(run_cluster):
    async def scenario(cluster):
        first = await cluster.start("d1")
        second = await cluster.start("d2")
        await cluster.configure(first)
        revision = first.components.configuration.state.revision
        await cluster.until(lambda: second.components.configuration.state.revision == revision)
        for path, body in ((COMPLETIONS, BODY), (COMPLETIONS, {**BODY, "stream": True})):
            headers = {"Idempotency-Key": f"key-{body.get('stream', False)}"}
            runs_before = len(cluster.engine.requests)
            answers = [await cluster.post(daemon, path, body, headers) for daemon in (first, second, first)]
            assert [answer.status for answer in answers] == [200, 200, 200]
            assert len(cluster.engine.requests) == runs_before + 1
        assert answers[0].events[-1] == answers[1].events[-1] == "[DONE]"
        other_request = await cluster.post(second, COMPLETIONS, {**BODY, "seed": 9}, headers)
        assert (other_request.status, other_request.error["code"]) == (422, "key_reused")

    run_cluster(scenario)


def test_app_calls_are_forwarded_unchanged_and_run_at_most_once_per_key(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        path = "/v1/apps/linha/verdict%2Fa?line=4"
        plain = await cluster.post(daemon, path, b"photo")
        assert (plain.status, plain.body) == (207, b"verdict of photo")
        assert plain.headers["Content-Type"] == "text/x"
        assert cluster.app.requests[0].path == "/verdict%2Fa?line=4"
        selected = {"X-Passgate-Selector": "tier in (line)"}
        assert (await cluster.post(daemon, "/v1/apps/-/v", b"", selected)).status == 207
        runs_before = len(cluster.app.requests)
        for _ in range(2):
            assert (await cluster.post(daemon, path, b"photo", KEY_HEADERS)).status == 207
        assert len(cluster.app.requests) == runs_before + 1
        assert not cluster.app.requests[-1].repeatable

    run_cluster(scenario)


def test_a_not_repeatable_call_with_unknown_outcome_is_never_run_again(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        cluster.app.failure = BackendUnreachable("answer lost", execution=ExecutionStatus.UNKNOWN)
        not_repeatable = {"X-Passgate-Not-Repeatable": "true", "X-Request-Id": "r1"}
        first = await cluster.post(daemon, "/v1/apps/linha/v", b"", not_repeatable)
        assert first.error["execution"] == "unknown"
        cluster.app.failure = None
        again = await cluster.post(daemon, "/v1/apps/linha/v", b"", not_repeatable)
        assert (again.status, again.error["code"]) == (409, "outcome_unknown")
        assert len(cluster.app.requests) == 1

    run_cluster(scenario)


def test_while_the_log_is_down_only_calls_with_a_key_are_refused(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start(limits=LimitSettings(durability_timeout_s=0.3))
        await cluster.configure(daemon)
        cluster.log_clients["d1"].down = True
        plain = await cluster.post(daemon, COMPLETIONS, BODY)
        assert plain.status == 200
        for path in (COMPLETIONS, "/v1/apps/linha/v"):
            refused = await cluster.post(daemon, path, BODY, KEY_HEADERS)
            assert (refused.status, refused.error["code"]) == (503, "durability_unavailable")
            assert refused.error["execution"] == "not_run"
            assert int(refused.headers["Retry-After"]) >= 1
        assert len(cluster.engine.requests) == 1
        assert cluster.app.requests == []

    run_cluster(scenario)


def test_a_disconnect_cancels_only_repeatable_work(run_cluster):
    async def start_stream_and_disconnect(daemon, headers):
        host, port = daemon.caller_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        body = msgspec.json.encode({**BODY, "stream": True})
        head = f"POST {COMPLETIONS} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
        writer.write(head.encode() + body)
        await reader.readuntil(b"data: ")
        writer.close()

    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        cluster.engine.hold = asyncio.Event()
        await start_stream_and_disconnect(daemon, "")
        await cluster.until(lambda: cluster.engine.cancelled)
        await cluster.until(daemon.context.admission.is_idle)
        await start_stream_and_disconnect(daemon, "Idempotency-Key: k\r\n")
        assert not daemon.context.admission.is_idle()
        cluster.engine.hold.set()
        await cluster.until(daemon.context.admission.is_idle)
        assert len(set(cluster.engine.cancelled)) == 1
        stored = await cluster.post(daemon, COMPLETIONS, {**BODY, "stream": True}, {"Idempotency-Key": "k"})
        assert stored.events[-1] == "[DONE]"
        assert len(cluster.engine.requests) == 2

    run_cluster(scenario)


def test_invalid_requests_get_typed_errors_and_never_run(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start(limits=LimitSettings(max_body_bytes=2000))
        await cluster.configure(daemon)
        cases = [
            (COMPLETIONS, b"{", {}, 400, "malformed_body"),
            (COMPLETIONS, b"\xff\xfe", {}, 400, "malformed_body"),
            (COMPLETIONS, b"[" * 1500, {}, 400, "malformed_body"),
            (COMPLETIONS, {**BODY, "max_tokens": "six"}, {}, 400, "malformed_body"),
            (COMPLETIONS, {**BODY, "max_tokens": 0}, {}, 400, "invalid_request"),
            (COMPLETIONS, {**BODY, "prompt": [-1]}, {}, 400, "invalid_request"),
            (COMPLETIONS, {**BODY, "prompt": [2**40]}, {}, 400, "invalid_request"),
            (COMPLETIONS, {**BODY, "n": 2}, {}, 400, "invalid_request"),
            (COMPLETIONS, {**BODY, "prompt": "x" * 3000}, {}, 413, "payload_too_large"),
            (COMPLETIONS, {**BODY, "model": "absent"}, {}, 404, "no_matching_pool"),
            (COMPLETIONS, BODY, {"X-Passgate-Selector": "tier in ("}, 400, "bad_selector"),
            (COMPLETIONS, BODY, {"X-Passgate-Selector": "tier=iron"}, 404, "no_matching_pool"),
            (COMPLETIONS, BODY, {"X-Passgate-Priority": "absent"}, 404, "not_found"),
            (COMPLETIONS, BODY, {"X-Passgate-Deadline-Ms": "nan"}, 400, "invalid_request"),
            (COMPLETIONS, BODY, {"X-Passgate-Not-Repeatable": "perhaps"}, 400, "invalid_request"),
            (COMPLETIONS, BODY, {"X-Passgate-Caller": "a b"}, 400, "invalid_request"),
            (COMPLETIONS, BODY, {f"X-Flood-{i}": "x" for i in range(120)}, 431, "headers_too_large"),
            ("/v1/apps/modelos/x", b"", {}, 404, "no_matching_pool"),
            ("/v1/nothing", b"", {}, 404, "not_found"),
            ("/v1/lots", {"staleness_bound": 1}, {}, 400, "malformed_body"),
        ]
        for path, body, headers, status, code in cases:
            answer = await cluster.post(daemon, path, body, headers)
            assert (answer.status, answer.error["code"]) == (status, code), (path, body, headers)
            assert answer.error["execution"] == "not_run"
        wrong_method = await cluster.get(daemon, COMPLETIONS)
        assert wrong_method.status == 405
        assert cluster.engine.requests == []
        assert daemon.context.admission.is_idle()

    run_cluster(scenario)


def test_slow_and_oversized_bodies_are_rejected_while_others_are_served(run_cluster):
    async def scenario(cluster):
        limits = LimitSettings(max_body_bytes=1000, body_timeout_s=0.2)
        daemon = await cluster.start(limits=limits)
        await cluster.configure(daemon)
        head = f"POST {COMPLETIONS} HTTP/1.1\r\nHost: x\r\n".encode()
        slow_body = asyncio.ensure_future(
            cluster.raw(daemon.caller_address, head + b"Content-Length: 50\r\n\r\n{")
        )
        chunk = b"200\r\n" + b"x" * 512 + b"\r\n"
        oversized_body = await cluster.raw(
            daemon.caller_address, head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 3
        )
        assert b" 413 " in oversized_body and b"payload_too_large" in oversized_body
        assert (await cluster.post(daemon, COMPLETIONS, BODY)).status == 200
        assert b" 408 " in await slow_body
        await cluster.until(daemon.context.admission.is_idle)

    run_cluster(scenario)


def test_the_credential_identifies_the_caller(run_cluster):
    async def scenario(cluster):
        credentials = CredentialSettings(callers={"linha-app": Credential("t0ken")})
        daemon = await cluster.start(credentials=credentials)
        await cluster.configure(daemon)
        for headers in ({}, {"Authorization": "Bearer wrong"}, {"Authorization": "Bearer t\xf6ken"}):
            answer = await cluster.post(daemon, COMPLETIONS, BODY, headers)
            assert (answer.status, answer.error["code"]) == (401, "unauthorized")
        valid_headers = {"Authorization": "Bearer t0ken", "X-Passgate-Caller": "another"}
        assert (await cluster.post(daemon, COMPLETIONS, BODY, valid_headers)).status == 200
        assert cluster.engine.requests[0].caller == "linha-app"

    run_cluster(scenario)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=3) | st.dictionaries(st.text(max_size=5), children, max_size=3)
    ),
    max_leaves=6,
)
FIELDS = st.sampled_from(CompletionRequest.__struct_fields__)
CHANGED_FIELDS = st.dictionaries(FIELDS, JSON_VALUES, max_size=4)
HEADER_NAMES = st.sampled_from(
    (
        "X-Passgate-Selector",
        "X-Passgate-Deadline-Ms",
        "X-Passgate-Priority",
        "Idempotency-Key",
        "X-Request-Id",
    )
)
HEADER_VALUES = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=12)


def requires_unavailable_version(body):
    """Return whether a valid field requires a newer version than the engine has, known only by running."""
    version = body.get("minimum_version") if isinstance(body, dict) else None
    return isinstance(version, int) and version > FakeEngine().version


@settings(max_examples=10, deadline=None, suppress_health_check=list(HealthCheck))
@example([({**BODY, "minimum_version": 5093462}, {})])
@given(
    st.lists(
        st.tuples(
            st.binary(max_size=40)
            | st.dictionaries(FIELDS, JSON_VALUES, max_size=4).map(lambda v: {**BODY, **v}),
            st.dictionaries(HEADER_NAMES, HEADER_VALUES, max_size=2),
        ),
        min_size=10,
        max_size=20,
    )
)
def test_arbitrary_input_gets_a_result_or_a_typed_error(run_cluster, inputs):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        for body, headers in inputs:
            answer = await cluster.post(daemon, COMPLETIONS, body, headers)
            if requires_unavailable_version(body) and answer.status >= 500:
                assert (answer.status, answer.error["code"]) == (502, "version_too_old")
                assert answer.error["execution"] == "ran"
                continue
            assert answer.status == 200 or (
                400 <= answer.status < 500 and answer.error["execution"] == "not_run"
            )
        assert daemon.context.admission.is_idle()

    run_cluster(scenario)


def test_the_connection_of_a_caller_that_does_not_read_is_closed(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start(limits=LimitSettings(write_timeout_s=0.3, max_output_tokens=LONG_TOKENS))
        await cluster.configure(daemon)
        host, port = daemon.caller_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
        body = msgspec.json.encode({**BODY, "max_tokens": LONG_TOKENS, "stream": True, "prompt": [1]})
        head = f"POST {COMPLETIONS} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        writer.write(head.encode() + body)
        await cluster.until(lambda: cluster.engine.requests)
        writer.transport.pause_reading()
        await cluster.until(daemon.context.admission.is_idle)
        writer.close()

    run_cluster(scenario)


def test_oversized_headers_and_other_protocols_close_only_their_connection(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        oversized_head = b"GET /healthz HTTP/1.1\r\nHost: x\r\n" + b"X-Flood: " + b"x" * 200_000 + b"\r\n\r\n"
        other_protocols = (b"\x16\x03\x01\x02\x00", b"HELO there\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n")
        for data in (oversized_head, *other_protocols):
            answer = await cluster.raw(daemon.caller_address, data, eof=True)
            assert b" 200 " not in answer
        negative_length = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n"
        assert b" 200 " not in await cluster.raw(daemon.caller_address, negative_length, eof=True)
        assert (await cluster.post(daemon, COMPLETIONS, BODY)).status == 200
        await cluster.until(daemon.context.admission.is_idle)

    run_cluster(scenario)


def test_the_outcome_of_a_keyed_call_that_exceeds_its_deadline_is_stored(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        cluster.app.hold = asyncio.Event()
        path, short_deadline = "/v1/apps/linha/v", {**KEY_HEADERS, "X-Passgate-Deadline-Ms": "150"}
        timed_out = await cluster.post(daemon, path, b"photo", short_deadline)
        assert (timed_out.status, timed_out.error["code"], timed_out.error["execution"]) == (
            504,
            "deadline_exceeded",
            "unknown",
        )
        running = await cluster.post(daemon, path, b"photo", short_deadline)
        assert (running.status, running.error["code"]) == (409, "request_in_progress")
        cluster.app.hold.set()
        await cluster.until(daemon.context.admission.is_idle)
        stored = await cluster.post(daemon, path, b"photo", short_deadline)
        assert (stored.status, stored.body) == (207, b"verdict of photo")
        assert len(cluster.app.requests) == 1

    run_cluster(scenario)
