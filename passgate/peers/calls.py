"""Both ends of a call between daemons: matches answers to open calls, and runs the handler of a call."""

from __future__ import annotations

import asyncio

import msgspec

from passgate.errors import PassgateError, PeerCallFailed, PeerError, PeerTimeout
from passgate.peers.frames import (
    MAXIMUM_PAYLOAD_BYTES,
    CallFailure,
    CallReply,
    CallRequest,
)
from passgate.peers.transport import CallHandler


class OpenCall(msgspec.Struct):
    """A call that waits for its answer; ``answer`` resolves to the payload or to a PeerError."""

    call_id: int
    answer: asyncio.Future


class CallTable:
    """Open calls of one transport by identifier.

    Identifiers are never reused, so a late answer can not be taken for the answer of another call.
    """

    def __init__(self) -> None:
        self._open: dict[int, OpenCall] = {}
        self._last_id = 0

    def open(self) -> OpenCall:
        """Register a new call, which stays registered until :meth:`wait` ends."""
        self._last_id += 1
        call = OpenCall(self._last_id, asyncio.get_running_loop().create_future())
        self._open[call.call_id] = call
        return call

    def resolve(self, frame: CallReply | CallFailure) -> None:
        """Complete the call that a frame answers; does nothing for an unknown or complete call."""
        call = self._open.get(frame.call_id)
        if call is None or call.answer.done():
            return
        if isinstance(frame, CallReply):
            call.answer.set_result(frame.payload)
        else:
            call.answer.set_exception(PeerCallFailed(frame.message, peer_code=frame.code))

    def fail(self, call: OpenCall, error: PeerError) -> None:
        """Complete one call with an error, unless it is already complete."""
        if not call.answer.done():
            call.answer.set_exception(error)

    def fail_all(self, error: PeerError) -> None:
        """Complete all open calls with an error."""
        for call in list(self._open.values()):
            self.fail(call, error)

    async def wait(self, call: OpenCall, timeout_s: float) -> bytes:
        """Return the answer's payload and remove the call.

        Raises PeerTimeout, or the PeerError with which the call was completed.
        """
        try:
            # wait_for loses a cancellation that comes together with the answer.
            async with asyncio.timeout(timeout_s):
                return await call.answer
        except TimeoutError as error:
            raise PeerTimeout(f"no answer within {timeout_s} s") from error
        finally:
            del self._open[call.call_id]


def check_payload(payload: bytes) -> None:
    """Raise PeerCallFailed if a payload does not fit into a frame."""
    if len(payload) > MAXIMUM_PAYLOAD_BYTES:
        raise PeerCallFailed("payload too large", peer_code="payload_too_large", size_bytes=len(payload))


async def answer_call(handler: CallHandler, sender: str, request: CallRequest) -> CallReply | CallFailure:
    """Run the handler and return the answer frame; an exception of the handler becomes a CallFailure.

    Of an exception that is no PassgateError, only the type is sent and not the text.
    """
    try:
        payload = await handler(sender, request.method, request.payload)
        check_payload(payload)
    except PassgateError as error:
        return CallFailure(request.call_id, error.code, str(error))
    except Exception as error:  # noqa: BLE001  a handler's bug must not close the connection
        return CallFailure(request.call_id, PassgateError.code, type(error).__name__)
    return CallReply(request.call_id, payload)
