"""The platform's calls to the system, mapped to the gateway's services."""

from __future__ import annotations

from urllib.parse import parse_qs

from passgate.clients.calls import HttpCall, SendPolicy
from passgate.clients.curl import HttpClient
from passgate.decisions import RequestRefused
from passgate.errors import ExecutionStatus, InvalidRequest, NotFound, NotReady
from passgate.gateway.daemon import GatewayDaemon
from passgate.gateway.messages import GatewayAnswer, IncomingRequest, StreamAnswer, json_answer
from passgate.gateway.routes import RouteKind
from passgate.platform import documents, names
from passgate.versions.loader import LoadOrder, ReplicaReport

MAX_WAIT_S = 1.0
DEFAULT_DEADLINE_S = 4.0
ANSWER_MARGIN_S = 0.1
REPORT_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 1.5
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
        table = self._daemon.config.table
        if table is None:
            raise NotReady("no configuration is known yet", execution=ExecutionStatus.NOT_RUN)
        route = table.match(request.host, request.path)
        if route is None:
            self._daemon.decisions.write(
                RequestRefused(
                    request_id=request.header(names.HEADERS.request_id),
                    path=request.path[:80],
                    status=404,
                    reason="no_route",
                    configuration_version=table.config.version,
                )
            )
            raise NotFound("no such route", execution=ExecutionStatus.NOT_RUN)
        if route.kind is RouteKind.BATCH:
            return await self._submit(request)
        if route.kind is RouteKind.STREAMING:
            return await self._daemon.stream_forwarder.forward(request, route)
        return await self._daemon.forwarder.forward(request, route)

    async def _submit(self, request: IncomingRequest) -> GatewayAnswer:
        job_id = request.header(names.HEADERS.request_id)
        if not job_id:
            raise InvalidRequest("a batch job needs an id", execution=ExecutionStatus.NOT_RUN)
        spec = documents.decode_job(job_id, request.host, request.path, request.body)
        await self._daemon.jobs.submit(spec, _deadline_s(request))
        return GatewayAnswer(status=202)

    async def _job_call(self, request: IncomingRequest, job_id: str, query: str) -> GatewayAnswer:
        if request.method == "DELETE":
            await self._daemon.jobs.end(request.host, job_id, _deadline_s(request))
            return GatewayAnswer(status=200)
        after = parse_qs(query).get("afterRev", ["0"])[0]
        told_ms = request.header(names.HEADERS.wait_ms)
        wait_s = min(int(told_ms) / 1000 if told_ms.isdigit() else 0.0, MAX_WAIT_S)
        position = int(after) if after.isdigit() else 0
        page = await self._daemon.jobs.read(request.host, job_id, position, wait_s)
        return json_answer(200, documents.results_document(page))

    async def _item_call(self, request: IncomingRequest, job_id: str, query: str) -> GatewayAnswer:
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
        return documents.decode_report(answer.body)

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
