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
from passgate.peers.frames import (
    MAXIMUM_FRAME_BYTES,
    PROTOCOL_VERSION,
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
    """A started transport that keeps what it receives."""

    def __init__(self, transport):
        self.transport = transport
        self.received = asyncio.Queue()
        transport.start(lambda sender, payload: self.received.put_nowait((sender, payload)), echo)

    @property
    def address(self):
        return self.transport.address


def over_tcp(scenario, **options):
    async def run():
        peers = [Peer(TcpPeerTransport(**options)) for _ in range(2)]
        try:
            await scenario(*peers)
        finally:
            for peer in peers:
                await peer.transport.close()

    asyncio.run(run())


def in_memory(scenario):
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


@pytest.mark.parametrize("carry", [over_tcp, in_memory])
def test_both_transports_carry_messages_and_calls(carry):
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

    carry(scenario)


def test_answer_comes_back_on_the_connection_of_the_caller():
    async def scenario(one, two):
        await one.transport.call(two.address, "m", b"", TIMEOUT_S)
        two.transport.send(one.address, b"[1]")
        await asyncio.wait_for(one.received.get(), TIMEOUT_S)
        assert two.transport.counters.connections_opened == 1

    over_tcp(scenario)


def test_call_to_a_closed_port_was_surely_not_run():
    async def scenario(one, two):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
        with pytest.raises(PeerUnreachable):
            await one.transport.call(f"127.0.0.1:{port}", "m", b"", TIMEOUT_S)

    over_tcp(scenario)


def test_call_fails_when_the_peer_closes_before_answering():
    async def scenario(one, two):
        calling = asyncio.ensure_future(one.transport.call(two.address, "hang", b"", TIMEOUT_S))
        await two.transport.call(one.address, "m", b"", TIMEOUT_S)
        while not two.transport._answering:
            await asyncio.sleep(0)
        await two.transport.close()
        with pytest.raises(PeerConnectionLost):
            await calling

    over_tcp(scenario)


def test_least_recently_used_connections_are_closed_and_open_calls_survive():
    async def scenario(hub, _other):
        others = [Peer(TcpPeerTransport()) for _ in range(5)]
        hanging = asyncio.ensure_future(hub.transport.call(others[0].address, "hang", b"", TIMEOUT_S))
        for peer in others[1:]:
            await hub.transport.call(peer.address, "m", b"", TIMEOUT_S)
        assert len(hub.transport._connections) == 3
        assert not hanging.done()
        hanging.cancel()
        for peer in others:
            await peer.transport.close()

    over_tcp(scenario, connections_maximum=3)


# --- credentials ------------------------------------------------------------------------


def test_peers_with_one_credential_talk():
    async def scenario(one, two):
        assert await one.transport.call(two.address, "m", b"1", TIMEOUT_S) == b"m:1"

    over_tcp(scenario, credential="secret")


@pytest.mark.parametrize(("of_caller", "of_peer"), [("wrong", "right"), ("", "right"), ("right", "")])
def test_peers_with_different_credentials_refuse_each_other(of_caller, of_peer):
    async def run():
        one = Peer(TcpPeerTransport(credential=of_caller))
        two = Peer(TcpPeerTransport(credential=of_peer))
        one.transport.send(two.address, b"[1]")
        with pytest.raises(PeerCredentialRefused):
            await one.transport.call(two.address, "m", b"", TIMEOUT_S)
        assert two.received.empty()
        assert one.transport.counters.refused + two.transport.counters.refused > 0
        await one.transport.close()
        await two.transport.close()

    asyncio.run(run())


def test_proof_of_the_other_role_is_refused():
    # An attacker without the credential returns the victim's own proof to it.
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
def test_malformed_frames_close_only_the_connection_they_came_on(data):
    async def scenario(one, two):
        reader, writer = await asyncio.open_connection(*parse_address(one.address))
        writer.write(data)
        await asyncio.wait_for(reader.read(), TIMEOUT_S)
        writer.close()
        assert one.transport.counters.malformed == 1
        assert one.received.empty()
        assert await two.transport.call(one.address, "m", b"", TIMEOUT_S) == b"m:"

    over_tcp(scenario)


def test_caller_of_a_peer_that_answers_nonsense_gets_a_typed_error():
    async def scenario(one, _two):
        async def nonsense(_reader, writer):
            writer.write(b"HTTP/1.1 400 Bad Request\r\n\r\n")

        server = await asyncio.start_server(nonsense, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(PeerMalformedFrame) as refusal:
            await one.transport.call(f"127.0.0.1:{port}", "m", b"", TIMEOUT_S)
        assert isinstance(refusal.value, PeerError)
        server.close()

    over_tcp(scenario)
