import asyncio
import socket

import pytest

from passgate.clock import new_virtual_loop
from passgate.errors import (
    Overloaded,
    PeerCallFailed,
    PeerConnectionLost,
    PeerCredentialRefused,
    PeerError,
    PeerMalformedFrame,
    PeerTimeout,
    PeerUnreachable,
)
from passgate.peers.calls import CallTable
from passgate.peers.frames import (
    MAXIMUM_FRAME_BYTES,
    PROTOCOL_VERSION,
    CallReply,
    Hello,
    Proof,
    encode_frame,
)
from passgate.peers.memory_transport import MemoryNetwork
from passgate.peers.peer_connection import CONNECTING, proof_digest
from passgate.peers.peer_transport import TcpPeerTransport, parse_address

TIMEOUT_S = 5.0


async def echo(sender, method, payload):
    if method == "fail":
        raise Overloaded("too busy")
    if method == "hang":
        await asyncio.Event().wait()
    return method.encode() + b":" + payload


class Peer:
    """A started transport that queues received messages and answers calls with :func:`echo`."""

    def __init__(self, transport):
        self.transport = transport
        self.received = asyncio.Queue()
        transport.start(lambda sender, payload: self.received.put_nowait((sender, payload)), echo)

    @property
    def address(self):
        return self.transport.address


def run_over_tcp(scenario, **options):
    async def run():
        peers = [Peer(TcpPeerTransport(**options)) for _ in range(2)]
        try:
            await scenario(*peers)
        finally:
            for peer in peers:
                await peer.transport.close()

    asyncio.run(run())


def run_in_memory(scenario):
    async def run():
        from random import Random

        network = MemoryNetwork(Random(1))
        peers = [Peer(network.transport(f"10.0.0.{index}:1", "z")) for index in range(2)]
        await scenario(*peers)
        for peer in peers:
            await peer.transport.close()

    loop = new_virtual_loop()
    loop.run_until_complete(run())
    loop.close()


@pytest.mark.parametrize("run_scenario", [run_over_tcp, run_in_memory])
def test_messages_and_calls_on_both_transports(run_scenario):
    async def scenario(one, two):
        one.transport.send(two.address, b'["x"]')
        assert await asyncio.wait_for(two.received.get(), TIMEOUT_S) == (one.address, b'["x"]')
        answers = await asyncio.gather(
            *(one.transport.call(two.address, "m", b"%d" % n, TIMEOUT_S) for n in range(20))
        )
        assert answers == [b"m:%d" % n for n in range(20)]
        with pytest.raises(PeerCallFailed) as failure:
            await one.transport.call(two.address, "fail", b"", TIMEOUT_S)
        assert failure.value.details["peer_code"] == "overloaded"
        with pytest.raises(PeerTimeout):
            await one.transport.call(two.address, "hang", b"", 0.05)
        with pytest.raises(PeerCallFailed):
            await one.transport.call(two.address, "m", bytes(MAXIMUM_FRAME_BYTES), TIMEOUT_S)

    run_scenario(scenario)


def test_peer_sends_on_the_connection_that_the_caller_opened():
    async def scenario(one, two):
        await one.transport.call(two.address, "m", b"", TIMEOUT_S)
        two.transport.send(one.address, b"[1]")
        await asyncio.wait_for(one.received.get(), TIMEOUT_S)
        assert two.transport.counters.connections_opened == 1

    run_over_tcp(scenario)


def test_call_to_a_closed_port_is_unreachable():
    async def scenario(one, two):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
        with pytest.raises(PeerUnreachable):
            await one.transport.call(f"127.0.0.1:{port}", "m", b"", TIMEOUT_S)

    run_over_tcp(scenario)


def test_call_fails_when_the_peer_closes_before_answering():
    async def scenario(one, two):
        call = asyncio.ensure_future(one.transport.call(two.address, "hang", b"", TIMEOUT_S))
        await two.transport.call(one.address, "m", b"", TIMEOUT_S)
        while not two.transport._incoming_calls:
            await asyncio.sleep(0)
        await two.transport.close()
        with pytest.raises(PeerConnectionLost):
            await call

    run_over_tcp(scenario)


def test_surplus_connections_are_closed_but_not_those_with_calls_in_progress():
    async def scenario(hub, _other):
        others = [Peer(TcpPeerTransport()) for _ in range(5)]
        open_call = asyncio.ensure_future(hub.transport.call(others[0].address, "hang", b"", TIMEOUT_S))
        for peer in others[1:]:
            await hub.transport.call(peer.address, "m", b"", TIMEOUT_S)
        assert len(hub.transport._connections) == 3
        assert not open_call.done()
        open_call.cancel()
        for peer in others:
            await peer.transport.close()

    run_over_tcp(scenario, max_connections=3)


# --- credentials ------------------------------------------------------------------------


def test_peers_with_the_same_credential_accept_each_other():
    async def scenario(one, two):
        assert await one.transport.call(two.address, "m", b"1", TIMEOUT_S) == b"m:1"

    run_over_tcp(scenario, credential="secret")


@pytest.mark.parametrize(
    ("caller_credential", "peer_credential"), [("wrong", "right"), ("", "right"), ("right", "")]
)
def test_peers_with_different_credentials_refuse_each_other(caller_credential, peer_credential):
    async def run():
        one = Peer(TcpPeerTransport(credential=caller_credential))
        two = Peer(TcpPeerTransport(credential=peer_credential))
        one.transport.send(two.address, b"[1]")
        with pytest.raises(PeerCredentialRefused):
            await one.transport.call(two.address, "m", b"", TIMEOUT_S)
        assert two.received.empty()
        assert one.transport.counters.refused + two.transport.counters.refused > 0
        await one.transport.close()
        await two.transport.close()

    asyncio.run(run())


def test_reflected_proof_is_refused():
    # An attacker without the credential sends the victim's own proof back to it.
    async def run():
        victim = Peer(TcpPeerTransport(credential="secret"))
        reader, writer = await asyncio.open_connection(*parse_address(victim.address))
        hello = await _read_frame(reader)
        writer.write(encode_frame(Hello(PROTOCOL_VERSION, "10.0.0.1:1", hello["nonce"])))
        proof = await _read_frame(reader)
        writer.write(encode_frame(Proof(proof["digest"])))
        assert (await _read_frame(reader))["code"] == PeerCredentialRefused.code
        assert proof["digest"] != proof_digest("secret", CONNECTING, hello["nonce"])
        writer.close()
        await victim.transport.close()

    asyncio.run(run())


async def _read_frame(reader):
    import msgspec

    length = int((await reader.readuntil(b":"))[:-1])
    document = await reader.readexactly(length)
    assert await reader.readexactly(1) == b","
    return msgspec.json.decode(document)


# --- malformed input ----------------------------------------------------------------------

HELLO = encode_frame(Hello(PROTOCOL_VERSION, "10.0.0.1:1"))


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"5:hello,",
        b"99999999:",
        b"2:{}x",
        HELLO + HELLO,
        HELLO + b'14:{"type":"what"},',
        HELLO + encode_frame(Proof("x")),
        encode_frame(Hello(PROTOCOL_VERSION + 1, "10.0.0.1:1")),
        b'30:{"type":"m","body":[1,2,3,4,5]},',
    ],
)
def test_malformed_frames_close_only_their_own_connection(data):
    async def scenario(one, two):
        reader, writer = await asyncio.open_connection(*parse_address(one.address))
        writer.write(data)
        await asyncio.wait_for(reader.read(), TIMEOUT_S)
        writer.close()
        assert one.transport.counters.malformed == 1
        assert one.received.empty()
        assert await two.transport.call(one.address, "m", b"", TIMEOUT_S) == b"m:"

    run_over_tcp(scenario)


def test_call_to_a_server_of_another_protocol_raises_malformed_frame():
    async def scenario(one, _two):
        async def answer_http(_reader, writer):
            writer.write(b"HTTP/1.1 400 Bad Request\r\n\r\n")

        server = await asyncio.start_server(answer_http, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(PeerMalformedFrame) as caught:
            await one.transport.call(f"127.0.0.1:{port}", "m", b"", TIMEOUT_S)
        assert isinstance(caught.value, PeerError)
        server.close()

    run_over_tcp(scenario)


async def test_a_call_stays_cancelled_when_its_answer_arrives_at_the_same_time():
    """The cancelled task went on with the answer; a daemon that stopped waited for it until it was killed."""
    calls = CallTable()
    call = calls.open()
    waiting = asyncio.create_task(calls.wait(call, TIMEOUT_S))
    await asyncio.sleep(0)
    calls.resolve(CallReply(call.call_id, b"answer"))
    waiting.cancel()
    await asyncio.wait([waiting])
    assert waiting.cancelled()
