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
"""Output that no socket buffer holds."""
KEY = {"Idempotency-Key": "order-17"}


def test_whole_completion_names_its_versions(run_cluster):
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


def test_streams_give_pieces_then_provenance_then_done(run_cluster):
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
            *pieces, last, done = answer.events
            assert done == "[DONE]"
            tokens = [
                token for piece in pieces for token in msgspec.json.decode(piece)["choices"][0]["token_ids"]
            ]
            provenance = msgspec.json.decode(last)["passgate"]
            assert provenance["weight_versions"] == [{"start": 0, "end": len(tokens), "version": 3}]

    run_cluster(scenario)


def test_a_failed_stream_has_no_done_mark(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        cluster.engine.hold = asyncio.Event()
        headers = {"X-Passgate-Deadline-Ms": "150"}
        streamed = {**BODY, "stream": True}
        answer = await cluster.post(daemon, COMPLETIONS, streamed, headers)
        assert msgspec.json.decode(answer.events[-1])["error"]["code"] == "deadline_exceeded"
        assert "[DONE]" not in answer.events

    run_cluster(scenario)


def test_a_key_runs_once_over_all_daemons(run_cluster):
    async def scenario(cluster):
        first = await cluster.start("d1")
        second = await cluster.start("d2")
        await cluster.configure(first)
        revision = first.parts.configuration.state.revision
        await cluster.until(lambda: second.parts.configuration.state.revision == revision)
        for path, body in ((COMPLETIONS, BODY), (COMPLETIONS, {**BODY, "stream": True})):
            headers = {"Idempotency-Key": f"key-{body.get('stream', False)}"}
            ran = len(cluster.engine.requests)
            answers = [await cluster.post(daemon, path, body, headers) for daemon in (first, second, first)]
            assert [answer.status for answer in answers] == [200, 200, 200]
            assert len(cluster.engine.requests) == ran + 1
        assert answers[0].events[-1] == answers[1].events[-1] == "[DONE]"
        other = await cluster.post(second, COMPLETIONS, {**BODY, "seed": 9}, headers)
        assert (other.status, other.error["code"]) == (422, "key_reused")

    run_cluster(scenario)


def test_app_call_is_forwarded_whole_and_at_most_once(run_cluster):
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
        ran = len(cluster.app.requests)
        for _ in range(2):
            assert (await cluster.post(daemon, path, b"photo", KEY)).status == 207
        assert len(cluster.app.requests) == ran + 1
        assert not cluster.app.requests[-1].repeatable

    run_cluster(scenario)


def test_a_lost_answer_of_a_claimed_call_is_never_run_again(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        cluster.app.failure = BackendUnreachable("answer lost", execution=ExecutionStatus.UNKNOWN)
        marked = {"X-Passgate-Not-Repeatable": "true", "X-Request-Id": "r1"}
        first = await cluster.post(daemon, "/v1/apps/linha/v", b"", marked)
        assert first.error["execution"] == "unknown"
        cluster.app.failure = None
        again = await cluster.post(daemon, "/v1/apps/linha/v", b"", marked)
        assert (again.status, again.error["code"]) == (409, "outcome_unknown")
        assert len(cluster.app.requests) == 1

    run_cluster(scenario)


def test_without_the_log_claimed_calls_are_refused_and_others_run(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start(limits=LimitSettings(durability_timeout_s=0.3))
        await cluster.configure(daemon)
        cluster.log_clients["d1"].down = True
        plain = await cluster.post(daemon, COMPLETIONS, BODY)
        assert plain.status == 200
        for path in (COMPLETIONS, "/v1/apps/linha/v"):
            refused = await cluster.post(daemon, path, BODY, KEY)
            assert (refused.status, refused.error["code"]) == (503, "durability_unavailable")
            assert refused.error["execution"] == "not_run"
            assert int(refused.headers["Retry-After"]) >= 1
        assert len(cluster.engine.requests) == 1
        assert cluster.app.requests == []

    run_cluster(scenario)


def test_a_caller_that_leaves_cancels_repeatable_work_only(run_cluster):
    async def leave(daemon, headers):
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
        await leave(daemon, "")
        await cluster.until(lambda: cluster.engine.cancelled)
        await cluster.until(daemon.context.gate.idle)
        await leave(daemon, "Idempotency-Key: k\r\n")
        assert not daemon.context.gate.idle()
        cluster.engine.hold.set()
        await cluster.until(daemon.context.gate.idle)
        assert len(set(cluster.engine.cancelled)) == 1
        stored = await cluster.post(daemon, COMPLETIONS, {**BODY, "stream": True}, {"Idempotency-Key": "k"})
        assert stored.events[-1] == "[DONE]"
        assert len(cluster.engine.requests) == 2

    run_cluster(scenario)


def test_bad_requests_are_typed_and_never_run(run_cluster):
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
        assert daemon.context.gate.idle()

    run_cluster(scenario)


def test_slow_and_endless_bodies_are_ended_while_others_are_served(run_cluster):
    async def scenario(cluster):
        limits = LimitSettings(max_body_bytes=1000, body_timeout_s=0.2)
        daemon = await cluster.start(limits=limits)
        await cluster.configure(daemon)
        head = f"POST {COMPLETIONS} HTTP/1.1\r\nHost: x\r\n".encode()
        slow = asyncio.ensure_future(
            cluster.raw(daemon.caller_address, head + b"Content-Length: 50\r\n\r\n{")
        )
        chunk = b"200\r\n" + b"x" * 512 + b"\r\n"
        endless = await cluster.raw(
            daemon.caller_address, head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 3
        )
        assert b" 413 " in endless and b"payload_too_large" in endless
        assert (await cluster.post(daemon, COMPLETIONS, BODY)).status == 200
        assert b" 408 " in await slow
        await cluster.until(daemon.context.gate.idle)

    run_cluster(scenario)


def test_caller_credentials_name_the_caller(run_cluster):
    async def scenario(cluster):
        credentials = CredentialSettings(callers={"linha-app": Credential("t0ken")})
        daemon = await cluster.start(credentials=credentials)
        await cluster.configure(daemon)
        for headers in ({}, {"Authorization": "Bearer wrong"}, {"Authorization": "Bearer t\xf6ken"}):
            answer = await cluster.post(daemon, COMPLETIONS, BODY, headers)
            assert (answer.status, answer.error["code"]) == (401, "unauthorized")
        own = {"Authorization": "Bearer t0ken", "X-Passgate-Caller": "another"}
        assert (await cluster.post(daemon, COMPLETIONS, BODY, own)).status == 200
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


def asks_for_newer_weights(body):
    """Whether a well-formed field asks for weights that the engine says to lack only by running."""
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
def test_any_input_is_answered_typed(run_cluster, inputs):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        for body, headers in inputs:
            answer = await cluster.post(daemon, COMPLETIONS, body, headers)
            if asks_for_newer_weights(body) and answer.status >= 500:
                assert (answer.status, answer.error["code"]) == (502, "version_too_old")
                assert answer.error["execution"] == "ran"
                continue
            assert answer.status == 200 or (
                400 <= answer.status < 500 and answer.error["execution"] == "not_run"
            )
        assert daemon.context.gate.idle()

    run_cluster(scenario)


def test_a_caller_that_never_reads_is_cut_off(run_cluster):
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
        await cluster.until(daemon.context.gate.idle)
        writer.close()

    run_cluster(scenario)


def test_floods_past_the_hard_limit_and_other_protocols_end_their_connection_only(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        flood = b"GET /healthz HTTP/1.1\r\nHost: x\r\n" + b"X-Flood: " + b"x" * 200_000 + b"\r\n\r\n"
        others = (b"\x16\x03\x01\x02\x00", b"HELO there\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n")
        for data in (flood, *others):
            answer = await cluster.raw(daemon.caller_address, data, eof=True)
            assert b" 200 " not in answer
        length = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n"
        assert b" 200 " not in await cluster.raw(daemon.caller_address, length, eof=True)
        assert (await cluster.post(daemon, COMPLETIONS, BODY)).status == 200
        await cluster.until(daemon.context.gate.idle)

    run_cluster(scenario)


def test_the_answer_of_a_claimed_call_that_outlasts_its_deadline_is_kept(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        cluster.app.hold = asyncio.Event()
        path, hasty = "/v1/apps/linha/v", {**KEY, "X-Passgate-Deadline-Ms": "150"}
        late = await cluster.post(daemon, path, b"photo", hasty)
        assert (late.status, late.error["code"], late.error["execution"]) == (
            504,
            "deadline_exceeded",
            "unknown",
        )
        running = await cluster.post(daemon, path, b"photo", hasty)
        assert (running.status, running.error["code"]) == (409, "request_in_progress")
        cluster.app.hold.set()
        await cluster.until(daemon.context.gate.idle)
        kept = await cluster.post(daemon, path, b"photo", hasty)
        assert (kept.status, kept.body) == (207, b"verdict of photo")
        assert len(cluster.app.requests) == 1

    run_cluster(scenario)
