"""AppClient over HTTP: forwards a call and verifies that the answer is complete and belongs to the call."""

from __future__ import annotations

from passgate.clients import wire
from passgate.clients.answer_decoding import control_call_error, decode_body, decode_error, retry_after_s
from passgate.clients.curl import HttpClient
from passgate.clients.http_call import HttpAnswer, HttpCall, control_get, remaining_s, send_policy
from passgate.errors import AnswerMismatch, BackendRefused, ExecutionStatus, PassgateError
from passgate.schema import AppRequest, AppResponse, LoadReport

OK_STATUS = 200
BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})


class HttpAppClient:
    """Client of application services; the answer to a call must carry the ``X-Request-Id`` of the call."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def call(self, address: str, request: AppRequest) -> AppResponse:
        """Forward one call; see :meth:`passgate.interfaces.AppClient.call`.

        An answer of any status is returned, unless the service marks the call as not run; this raises
        BackendRefused.  Raises DeadlineExceeded as well.
        """
        answer = await self._http.fetch(_build_call(address, request))
        _check_request_id(answer, request.request_id)
        if answer.headers.get(wire.EXECUTION_HEADER) == ExecutionStatus.NOT_RUN.value:
            raise _refusal_error(answer)
        return AppResponse(
            request_id=request.request_id,
            status=answer.status,
            body=answer.body,
            content_type=answer.headers.get("Content-Type", ""),
            replica_id=answer.headers.get(wire.REPLICA_HEADER, ""),
        )

    async def load_report(self, address: str) -> LoadReport:
        """Return the replica's latest report; see :meth:`passgate.interfaces.AppClient.load_report`."""
        answer = await self._http.fetch(control_get(address, wire.LOAD_PATH))
        if answer.status != OK_STATUS:
            raise control_call_error(answer)
        return decode_body(answer, wire.AppLoadAnswer).to_report()


def _build_call(address: str, request: AppRequest) -> HttpCall:
    timeout_s = remaining_s(request.deadline_s)
    headers = {
        "Content-Type": request.content_type,
        wire.REQUEST_ID_HEADER: wire.encode_header_value(request.request_id),
        wire.CALLER_HEADER: wire.encode_header_value(request.caller),
        wire.PRIORITY_HEADER: wire.encode_header_value(request.priority_class),
    }
    if timeout_s is not None:
        headers[wire.TIMEOUT_HEADER] = str(int(timeout_s * 1000))
    if not request.repeatable:
        headers[wire.NOT_REPEATABLE_HEADER] = "true"
    has_body = bool(request.body) or request.method not in BODILESS_METHODS
    return HttpCall(
        method=request.method,
        url=f"http://{address}{request.path}",
        body=request.body if has_body else None,
        headers=headers,
        send=send_policy(request.repeatable),
        timeout_s=timeout_s,
    )


def _check_request_id(answer: HttpAnswer, request_id: str) -> None:
    echoed = answer.headers.get(wire.REQUEST_ID_HEADER)
    if echoed != wire.encode_header_value(request_id):
        raise AnswerMismatch("answer belongs to another request", expected=request_id, got=echoed)


def _refusal_error(answer: HttpAnswer) -> PassgateError:
    error = decode_error(answer)
    details = {} if error is None else error.details
    wait_s = retry_after_s(answer)
    return BackendRefused(
        "the application service refused the call",
        retry_after_s=wait_s,
        **{**details, "status": answer.status},
    )
