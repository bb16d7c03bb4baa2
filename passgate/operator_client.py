"""Client of a daemon's operators' port, used by the operators' commands.

::

    client = OperatorClient(http, "127.0.0.1:8101")
    answer = await client.list_objects("Pool", "tier=gold")
"""

from __future__ import annotations

from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec

from passgate import errors
from passgate.clients.curl import HttpClient
from passgate.clients.http_call import HttpAnswer, HttpCall, SendPolicy
from passgate.errors import ErrorBody, PassgateError
from passgate.server.wire import (
    ApplyAnswer,
    ApplyObject,
    ApplyRequest,
    ChangeAnswer,
    ConfigList,
    ConfigObjectView,
    ErrorAnswer,
    WatchAnswer,
)
from passgate.settings import Credential

CALL_TIMEOUT_S = 30.0
FIRST_ERROR_STATUS = 400

T = TypeVar("T")


class OperatorClient:
    """Client of ``/v1/config`` and ``/v1/watch`` of one daemon.

    Methods raise the errors of :mod:`passgate.errors` that the daemon returned, and those of the transfer.
    """

    def __init__(self, http: HttpClient, address: str, credential: Credential | None = None) -> None:
        self._http = http
        self._base_url = f"http://{address}/v1"
        self._credential = credential or Credential("")

    async def list_objects(self, kind: str = "", selector: str = "") -> ConfigList:
        """Return the objects, of one kind or of all, whose labels match a selector."""
        path = f"/config/{quote(kind, safe='')}" if kind else "/config"
        query = f"?{urlencode({'selector': selector})}" if selector else ""
        return await self._call("GET", path + query, None, ConfigList)

    async def get_object(self, kind: str, name: str) -> ConfigObjectView:
        """Return one object; raises NotFound if it does not exist."""
        return await self._call("GET", _object_path(kind, name), None, ConfigObjectView)

    async def apply(self, objects: tuple[ApplyObject, ...]) -> ApplyAnswer:
        """Put objects in order up to the first that fails, whose error is in the answer and is not raised."""
        answer = await self._send("POST", "/config", msgspec.json.encode(ApplyRequest(objects=objects)))
        try:
            return msgspec.json.decode(answer.body, type=ApplyAnswer)
        except msgspec.MsgspecError:
            raise _answer_error(answer) from None

    async def delete(self, kind: str, name: str, expected_revision: int | None = None) -> ChangeAnswer:
        """Delete one object, if a revision is given only at that revision."""
        query = "" if expected_revision is None else f"?expected_revision={expected_revision}"
        return await self._call("DELETE", _object_path(kind, name) + query, None, ChangeAnswer)

    async def watch(self) -> WatchAnswer:
        """Return the configuration revision of each daemon."""
        return await self._call("GET", "/watch", None, WatchAnswer)

    async def _call(self, method: str, path: str, body: bytes | None, answer_type: type[T]) -> T:
        answer = await self._send(method, path, body)
        if answer.status >= FIRST_ERROR_STATUS:
            raise _answer_error(answer)
        try:
            return msgspec.json.decode(answer.body, type=answer_type)
        except msgspec.MsgspecError:
            raise PassgateError("answer is not in passgate's form", status=answer.status) from None

    async def _send(self, method: str, path: str, body: bytes | None) -> HttpAnswer:
        headers = {"Content-Type": "application/json"}
        if self._credential:
            headers["Authorization"] = f"Bearer {self._credential.reveal()}"
        call = HttpCall(
            method=method,
            url=self._base_url + path,
            body=body,
            headers=headers,
            send=SendPolicy.REPEAT if method == "GET" else SendPolicy.ONCE,
            timeout_s=CALL_TIMEOUT_S,
        )
        return await self._http.fetch(call)


def _object_path(kind: str, name: str) -> str:
    return f"/config/{quote(kind, safe='')}/{quote(name, safe='')}"


def _answer_error(answer: HttpAnswer) -> PassgateError:
    try:
        return rebuild_error(msgspec.json.decode(answer.body, type=ErrorAnswer).error)
    except msgspec.MsgspecError:
        return PassgateError("error answer is not in passgate's form", status=answer.status)


def rebuild_error(body: ErrorBody) -> PassgateError:
    """Return the error that an answer's body describes; of an unknown type, a plain PassgateError.

    >>> rebuild_error(errors.NotFound("no such pool", kind="Pool").body())
    NotFound('no such pool')
    """
    error_class = getattr(errors, body.type, PassgateError)
    if not (isinstance(error_class, type) and issubclass(error_class, PassgateError)):
        error_class = PassgateError
    error = PassgateError.__new__(error_class)  # constructors of subclasses differ
    PassgateError.__init__(
        error, body.message, execution=body.execution, retry_after_s=body.retry_after_s, **body.details
    )
    return error
