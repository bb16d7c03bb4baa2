"""One TCP connection between two peers: handshake, then frames in both directions.

Both sides send Hello first.  If a credential is configured, each side then proves by an HMAC over the other
side's nonce that it knows the credential, which is never sent.  Frames to be sent before the handshake is
complete are queued.
"""

from __future__ import annotations

import asyncio
import hmac
from collections.abc import Callable

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from passgate.clock import monotonic_s
from passgate.errors import (
    PeerConnectionLost,
    PeerCredentialRefused,
    PeerError,
    PeerMalformedFrame,
    PeerUnreachable,
)
from passgate.peers.frames import (
    PROTOCOL_VERSION,
    Frame,
    FrameDecoder,
    Goodbye,
    Hello,
    Proof,
    encode_frame,
)
from passgate.peers.transport import TrafficCounters

HANDSHAKE_TIMEOUT_S = 5.0
"""Time within which a new connection has to be open and the handshake complete."""
READ_CHUNK_BYTES = 65536
"""Maximum number of bytes read from a connection at once."""
MAX_QUEUED_FRAMES = 256
"""Maximum number of frames queued until the handshake is complete; further frames are dropped."""

CONNECTING = "connecting"
ACCEPTING = "accepting"


def proof_digest(credential: str, role: str, nonce: str) -> str:
    """Return the digest by which the side in ``role`` proves that it knows the credential.

    The digest contains the role, so that a side does not accept its own digest sent back by the other side.
    """
    return hmac.new(credential.encode(), f"passgate-peer|{role}|{nonce}".encode(), "sha256").hexdigest()


class PeerConnection:
    """A connection that one side opened (CONNECTING) and the other accepted (ACCEPTING).

    :meth:`run` does the handshake and reads frames until the connection is closed.  ``on_ready`` is called
    when the handshake is complete, ``on_frame`` for each later frame but Goodbye.
    """

    def __init__(
        self,
        stream: IOStream,
        role: str,
        hello: Hello,
        credential: str,
        counters: TrafficCounters,
        on_ready: Callable[[PeerConnection], None],
        on_frame: Callable[[PeerConnection, Frame], None],
        connect_to: tuple[str, int] | None = None,
    ) -> None:
        self.peer_address = ""
        """Address in the peer's Hello; empty until the handshake is complete."""
        self.error: PeerError | None = None
        """Why the connection was closed; None while it is open, or if :meth:`run` was cancelled."""
        self.calls_in_progress = 0
        """Calls in progress on this connection, in both directions."""
        self.last_received_s = monotonic_s()
        """Loop time of the last bytes received; at first that of the connection's creation."""
        self._stream = stream
        self._role = role
        self._hello = hello
        self._credential = credential
        self._counters = counters
        self._on_ready = on_ready
        self._on_frame = on_frame
        self._connect_to = connect_to
        self._peer_hello: Hello | None = None
        self._ready = False
        self._queued_frames: list[Frame] = []

    @property
    def ready(self) -> bool:
        """Whether the handshake is complete; queued frames are sent only then."""
        return self._ready

    @property
    def closed(self) -> bool:
        """Whether the connection is closed, so that no frame can be sent."""
        return self._stream.closed()

    def send(self, frame: Frame) -> bool:
        """Send a frame, or queue it until the handshake is complete; return False if the frame was dropped.

        A frame that was sent or queued can still be lost with the connection.
        """
        if self.closed:
            return False
        if self._ready:
            return self._write(frame)
        if len(self._queued_frames) >= MAX_QUEUED_FRAMES:
            return False
        self._queued_frames.append(frame)
        return True

    def close(self) -> None:
        """Close at once, without a Goodbye."""
        self._stream.close()

    async def run(self) -> None:
        """Connect if necessary, do the handshake and read frames until the connection closes.

        Failures of the connection and violations of the protocol set ``error`` and are not raised.
        """
        loop = asyncio.get_running_loop()
        handshake_timer = loop.call_later(HANDSHAKE_TIMEOUT_S, self._close_unless_ready)
        try:
            if self._connect_to is not None:
                await self._stream.connect(self._connect_to)
            self._write(self._hello)
            await self._read_frames()
        except (StreamClosedError, OSError):
            self.error = self.error or self._closed_error()
        except PeerError as error:
            self._fail(error)
        finally:
            handshake_timer.cancel()
            self._counters.frames_dropped += len(self._queued_frames)
            self._queued_frames.clear()
            self._stream.close()

    async def _read_frames(self) -> None:
        decoder = FrameDecoder()
        while True:
            data = await self._stream.read_bytes(READ_CHUNK_BYTES, partial=True)
            self._counters.bytes_received += len(data)
            self.last_received_s = monotonic_s()
            for frame in decoder.feed(data):
                self._counters.frames_received += 1
                self._receive(frame)

    def _receive(self, frame: Frame) -> None:
        if isinstance(frame, Goodbye):
            raise _goodbye_error(frame)
        if self._ready:
            if isinstance(frame, Hello | Proof):
                raise PeerMalformedFrame("handshake frame after the handshake")
            self._on_frame(self, frame)
        elif isinstance(frame, Hello) and self._peer_hello is None:
            self._receive_hello(frame)
        elif isinstance(frame, Proof) and self._peer_hello is not None:
            self._receive_proof(frame)
        else:
            raise PeerMalformedFrame("unexpected frame during the handshake")

    def _receive_hello(self, hello: Hello) -> None:
        if hello.version != PROTOCOL_VERSION:
            raise PeerMalformedFrame(f"unsupported protocol version {hello.version}")
        if bool(hello.nonce) != bool(self._credential):
            raise PeerCredentialRefused("only one of the two peers has a credential")
        self._peer_hello = hello
        if self._credential:
            self._write(Proof(proof_digest(self._credential, self._role, hello.nonce)))
        else:
            self._become_ready()

    def _receive_proof(self, proof: Proof) -> None:
        other_role = ACCEPTING if self._role == CONNECTING else CONNECTING
        expected = proof_digest(self._credential, other_role, self._hello.nonce)
        if not hmac.compare_digest(expected, proof.digest):
            raise PeerCredentialRefused("the peer's credential differs")
        self._become_ready()

    def _become_ready(self) -> None:
        assert self._peer_hello is not None, "no Hello was received"
        self._ready = True
        self.peer_address = self._peer_hello.address
        self._on_ready(self)
        queued_frames, self._queued_frames = self._queued_frames, []
        for frame in queued_frames:
            self._write(frame)

    def _write(self, frame: Frame) -> bool:
        data = encode_frame(frame)
        try:
            written = self._stream.write(data)
        except (StreamBufferFullError, StreamClosedError):
            return False
        written.add_done_callback(_retrieve_exception)
        self._counters.frames_sent += 1
        self._counters.bytes_sent += len(data)
        return True

    def _close_unless_ready(self) -> None:
        if not self._ready:
            self.error = PeerUnreachable("handshake timed out")
            self._stream.close()

    def _closed_error(self) -> PeerError:
        # No call is sent before the handshake is complete, so no call can have run if it never was.
        if self._ready:
            return PeerConnectionLost("connection closed by either side, or lost")
        return PeerUnreachable("connection closed before the handshake was complete")

    def _fail(self, error: PeerError) -> None:
        """Record and count an error, and send its code to the peer before the connection is closed."""
        self.error = error
        if isinstance(error, PeerCredentialRefused):
            self._counters.refused += 1
        elif isinstance(error, PeerMalformedFrame):
            self._counters.malformed += 1
        self._write(Goodbye(error.code))


def _goodbye_error(frame: Goodbye) -> PeerError:
    for kind in (PeerCredentialRefused, PeerMalformedFrame):
        if frame.code == kind.code:
            return kind("reported by the peer")
    return PeerConnectionLost(f"the peer closed the connection with error {frame.code}")


def _retrieve_exception(written: asyncio.Future) -> None:
    # The read loop handles a lost connection; retrieving the exception keeps asyncio from logging it.
    if not written.cancelled():
        written.exception()
