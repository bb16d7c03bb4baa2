"""Calls between peers: matching answers to open calls, and answering calls."""

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
    """A call that waits for its answer."""

    call_id: int
    answer: asyncio.Future


class CallTable:
    """Open calls of one transport by id; ids are never reused, so a late answer is dropped."""

    def __init__(self) -> None:
        self._open: dict[int, OpenCall] = {}
        self._last_id = 0

    def open(self) -> OpenCall:
        """Return a new open call."""
        self._last_id += 1
        call = OpenCall(self._last_id, asyncio.get_running_loop().create_future())
        self._open[call.call_id] = call
        return call

    def resolve(self, frame: CallReply | CallFailure) -> None:
        """Give an answer to its call; unknown ids are ignored."""
        call = self._open.get(frame.call_id)
        if call is None or call.answer.done():
            return
        if isinstance(frame, CallReply):
            call.answer.set_result(frame.payload)
        else:
            call.answer.set_exception(PeerCallFailed(frame.message, peer_code=frame.code))

    def fail(self, call: OpenCall, error: PeerError) -> None:
        """End one call with an error."""
        if not call.answer.done():
            call.answer.set_exception(error)

    def fail_all(self, error: PeerError) -> None:
        """End all open calls with an error."""
        for call in list(self._open.values()):
            self.fail(call, error)

    async def wait(self, call: OpenCall, timeout_s: float) -> bytes:
        """Return the answer; raises PeerError."""
        try:
            return await asyncio.wait_for(call.answer, timeout_s)
        except TimeoutError as error:
            raise PeerTimeout(f"no answer within {timeout_s} s") from error
        finally:
            del self._open[call.call_id]


def check_payload(payload: bytes) -> None:
    """Refuse a payload that fits into no frame; raises PeerCallFailed as not run."""
    if len(payload) > MAXIMUM_PAYLOAD_BYTES:
        raise PeerCallFailed("payload too large", peer_code="payload_too_large", size_bytes=len(payload))


async def answer_call(handler: CallHandler, sender: str, request: CallRequest) -> CallReply | CallFailure:
    """Run the handler and return the frame that answers the call."""
    try:
        payload = await handler(sender, request.method, request.payload)
        check_payload(payload)
    except PassgateError as error:
        return CallFailure(request.call_id, error.code, str(error))
    except Exception as error:  # noqa: BLE001  a faulty handler must not end the connection of its peers
        return CallFailure(request.call_id, PassgateError.code, type(error).__name__)
    return CallReply(request.call_id, payload)
