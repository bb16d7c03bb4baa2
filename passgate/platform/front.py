"""The platform's calls to the system, mapped to the gateway's services."""

from __future__ import annotations

from urllib.parse import parse_qs

import msgspec

from passgate.clients.calls import HttpCall, SendPolicy
from passgate.clients.curl import HttpClient
from passgate.daemon.gateway_daemon import GatewayDaemon
from passgate.decisions import RequestRefused
from passgate.errors import (
    ExecutionStatus,
    InvalidRequest,
    NotFound,
    NotReady,
    PassgateError,
    Unauthorized,
)
from passgate.gateway.access import Caller, scoped_id
from passgate.gateway.messages import GatewayAnswer, IncomingRequest, StreamAnswer, json_answer
from passgate.gateway.routes import RouteKind, RouteTable
from passgate.platform import documents, names
from passgate.versions.loader import LoadOrder, ReplicaReport

MAX_WAIT_S = 1.0
"""Longest hold of a read of results that the platform allows."""
DEFAULT_DEADLINE_S = 4.0
"""Time that a caller of a job is taken to wait when it does not say."""
ANSWER_MARGIN_S = 0.1
"""Part of a caller's time that is left for the answer to travel."""
REPORT_TIMEOUT_S = 1.0
"""Time for a replica's report; a calm one takes some ms."""
ORDER_TIMEOUT_S = 1.5
"""Time for the answer to an order; half of the lease, so that a leader's last order ends within it."""
NO_ROUTE = "no_route"
LOGGED_PATH_CHARACTERS = 80
OCTETS = (("Content-Type", "application/octet-stream"),)


class Front:
    """Handles every request that comes to the front address."""

    def __init__(self, daemon: GatewayDaemon) -> None:
        self._daemon = daemon

    async def handle(self, request: IncomingRequest) -> GatewayAnswer | StreamAnswer:
        """Answer a request; raises PassgateError."""
        path, _, query = request.path.partition("?")
        if path.startswith(names.JOB_PATH):
            return await self._job_call(request, path.removeprefix(names.JOB_PATH), query)
        if path.startswith(names.ITEM_PATH):
            return await self._item_call(request, path.removeprefix(names.ITEM_PATH), query)
        return await self._routed(request)

    async def _routed(self, request: IncomingRequest) -> GatewayAnswer | StreamAnswer:
        table = self._table()
        route = table.match(request.host, request.path)
        if route is None:
            self._note_refusal(request, NotFound.http_status, NO_ROUTE)
            raise self._unless_stale(NotFound("no such route", execution=ExecutionStatus.NOT_RUN))
        caller = self._caller_of(request, table, public=route.public)
        if route.kind is RouteKind.BATCH:
            return await self._submit(request, caller)
        if route.kind is RouteKind.STREAMING:
            return await self._daemon.stream_forwarder.forward(request, route, caller)
        return await self._daemon.forwarder.forward(request, route, caller)

    def _table(self) -> RouteTable:
        table = self._daemon.config.table
        if table is None:
            raise NotReady("no configuration is known yet", execution=ExecutionStatus.NOT_RUN)
        if self._daemon.configuration_expired:
            raise NotReady("the configuration is too old to be used", execution=ExecutionStatus.NOT_RUN)
        return table

    def _caller_of(self, request: IncomingRequest, table: RouteTable, *, public: bool) -> Caller:
        """Return who sent a request; raises Unauthorized, or NotReady while that may be out of date."""
        try:
            return table.keys.caller_of(request.headers, public=public)
        except Unauthorized as error:
            self._note_refusal(request, error.http_status, error.code)
            raise self._unless_stale(error) from error

    def _unless_stale(self, refusal: PassgateError) -> PassgateError:
        """Return a refusal for good, or one that lets the caller come back while the log is away.

        A route or a key that is not known here may have been added meanwhile.
        """
        if self._daemon.configuration_may_be_stale:
            return NotReady("the configuration may be out of date", execution=ExecutionStatus.NOT_RUN)
        return refusal

    def _note_refusal(self, request: IncomingRequest, status: int, reason: str) -> None:
        self._daemon.decisions.write(
            RequestRefused(
                request_id=request.header(names.HEADERS.request_id),
                path=request.path[:LOGGED_PATH_CHARACTERS],
                status=status,
                reason=reason,
                configuration_version=self._daemon.config.version,
            )
        )

    async def _submit(self, request: IncomingRequest, caller: Caller) -> GatewayAnswer:
        job_id = request.header(names.HEADERS.request_id)
        if not job_id:
            raise InvalidRequest("a batch job needs an id", execution=ExecutionStatus.NOT_RUN)
        spec = documents.decode_job(job_id, request.host, request.path, request.body, caller)
        await self._daemon.jobs.submit(spec, _deadline_s(request))
        return GatewayAnswer(status=202)

    def _job_key(self, request: IncomingRequest, job_id: str) -> str:
        """Return the job that a caller means; no other tenant's job has that name.

        Raises NotReady or Unauthorized.
        """
        table = self._table()
        caller = self._caller_of(request, table, public=table.takes_public_jobs(request.host))
        return scoped_id(caller.tenant, job_id)

    async def _job_call(self, request: IncomingRequest, told_id: str, query: str) -> GatewayAnswer:
        job_id = self._job_key(request, told_id)
        if request.method == "DELETE":
            await self._daemon.jobs.end(request.host, job_id, _deadline_s(request))
            return GatewayAnswer(status=200)
        after = parse_qs(query).get("afterRev", ["0"])[0]
        told_ms = request.header(names.HEADERS.wait_ms)
        wait_s = min(int(told_ms) / 1000 if told_ms.isdigit() else 0.0, MAX_WAIT_S)
        position = int(after) if after.isdigit() else 0
        page = await self._daemon.jobs.read(request.host, job_id, position, wait_s)
        return json_answer(200, documents.results_document(page))

    async def _item_call(self, request: IncomingRequest, told_id: str, query: str) -> GatewayAnswer:
        job_id = self._job_key(request, told_id)
        item_id = parse_qs(query).get("id", [""])[0]
        body = await self._daemon.jobs.body(request.host, job_id, item_id)
        return GatewayAnswer(status=200, headers=OCTETS, body=body)


def _deadline_s(request: IncomingRequest) -> float:
    return request.deadline_s(names.HEADERS.deadline_ms, DEFAULT_DEADLINE_S) - ANSWER_MARGIN_S


class PlatformReplicaControl:
    """Reports and orders in the platform's form."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def report(self, replica_id: str, address: str) -> ReplicaReport:
        """Read a replica's report."""
        call = HttpCall(
            method="GET",
            url=f"http://{address}{names.REPORT_PATH}",
            headers={names.HEADERS.expected_replica: replica_id},
            send=SendPolicy.ONCE,
            timeout_s=REPORT_TIMEOUT_S,
            control=True,
        )
        answer = await self._http.fetch(call)
        if answer.status != 200:
            raise NotReady("no report", execution=ExecutionStatus.NOT_RUN, status=answer.status)
        try:
            return documents.decode_report(answer.body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise NotReady("unreadable report", execution=ExecutionStatus.NOT_RUN) from error

    async def order(self, order: LoadOrder) -> int:
        """Send an order; return the status."""
        document = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "mode": "keep",
            "holder": order.holder,
            "fence": order.fence,
            "expected": order.expected,
        }
        body = json_answer(200, document).body
        call = HttpCall(
            method="POST",
            url=f"http://{order.address}{names.ORDER_PATH}",
            headers={names.HEADERS.expected_replica: order.replica_id, "Content-Type": "application/json"},
            body=body,
            send=SendPolicy.ONCE,
            timeout_s=ORDER_TIMEOUT_S,
            control=True,
        )
        return (await self._http.fetch(call)).status
