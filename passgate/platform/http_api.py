"""The platform's HTTP interface: requests of callers, and control calls of daemons to replicas."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable
from typing import TypeVar
from urllib.parse import parse_qs

import msgspec

from passgate.clients.curl import HttpClient
from passgate.clients.http_call import HttpCall, SendPolicy
from passgate.daemon.gateway_daemon import GatewayDaemon
from passgate.decimal_numbers import parse_decimal
from passgate.decisions import RequestRefused
from passgate.errors import (
    ExecutionStatus,
    InvalidRequest,
    NotFound,
    NotReady,
    PassgateError,
    Unauthorized,
)
from passgate.gateway.access import Caller, tenant_scoped_id
from passgate.gateway.messages import GatewayAnswer, IncomingRequest, StreamAnswer, json_answer
from passgate.gateway.routes import RouteKind, RouteTable
from passgate.gateway.shutdown_deadline import draining
from passgate.platform import documents, names
from passgate.versions.loader import LoadOrder, ReplicaReport

MAX_WAIT_S = 1.0
"""Longest time for which the platform lets a read of a job's results wait for new ones."""
DEFAULT_DEADLINE_S = 4.0
"""Timeout, from the request's arrival, of submitting or cancelling a job without a deadline header."""
ANSWER_MARGIN_S = 0.1
"""Time before a caller's deadline that is reserved for sending the answer."""
REPORT_TIMEOUT_S = 1.0
"""Timeout of reading a replica's report."""
ORDER_TIMEOUT_S = 1.5
"""Timeout of a load order.  With the default lease, an order that leaves at the last moment (0.6 of the
lease) normally ends before another daemon takes over (after the lease plus TAKEOVER_MARGIN_S)."""
NO_ROUTE = "no_route"
LOGGED_PATH_CHARACTERS = 80
BINARY_HEADERS = (("Content-Type", "application/octet-stream"),)
Read = TypeVar("Read")


class FrontRequestHandler:
    """Handles all requests to ``GatewaySettings.front_address``, where callers connect.

    These are requests of routes, and requests for the results, the cancellation and the items of jobs.
    """

    def __init__(self, daemon: GatewayDaemon) -> None:
        self._daemon = daemon

    async def handle(self, request: IncomingRequest) -> GatewayAnswer | StreamAnswer:
        """Answer a request; a refusal is raised as PassgateError."""
        path, _, query = request.path.partition("?")
        if path.startswith(names.JOB_PATH):
            return await self._handle_job_request(request, path.removeprefix(names.JOB_PATH), query)
        if path.startswith(names.ITEM_PATH):
            return await self._handle_item_request(request, path.removeprefix(names.ITEM_PATH), query)
        return await self._handle_routed(request)

    async def _handle_routed(self, request: IncomingRequest) -> GatewayAnswer | StreamAnswer:
        table = self._usable_routes()
        route = table.match(request.host, request.path)
        if route is None:
            self._log_refusal(request, NotFound.http_status, NO_ROUTE)
            raise self._retryable_if_stale(
                NotFound("no route matches the host and path", execution=ExecutionStatus.NOT_RUN)
            )
        caller = self._authenticate(request, table, public=route.public)
        if route.kind is RouteKind.BATCH:
            return await self._submit_job(request, caller)
        if route.kind is RouteKind.STREAMING:
            return await self._daemon.stream_forwarder.forward(request, route, caller)
        return await self._daemon.forwarder.forward(request, route, caller)

    async def _end_in_time(self, reading: Awaitable[Read]) -> Read:
        """Return what is read of a job, or raise Draining when the daemon's shutdown is about to end."""
        ends_by_s = self._daemon.shutdown_deadline.ends_by_s
        try:
            async with asyncio.timeout_at(None if math.isinf(ends_by_s) else ends_by_s):
                return await reading
        except TimeoutError as error:
            raise draining("the daemon shuts down") from error

    def _deadline_s(self, request: IncomingRequest) -> float:
        """Return the loop time by which the work for a request has to end, so that its answer arrives."""
        caller_deadline_s = request.deadline_s(names.HEADERS.deadline_ms, DEFAULT_DEADLINE_S)
        return min(caller_deadline_s - ANSWER_MARGIN_S, self._daemon.shutdown_deadline.ends_by_s)

    def _usable_routes(self) -> RouteTable:
        """Return the routes; raises NotReady if there is no configuration or the configuration is too old."""
        table = self._daemon.config_holder.table
        if table is None:
            raise NotReady("no configuration was received yet", execution=ExecutionStatus.NOT_RUN)
        if self._daemon.configuration_expired:
            raise NotReady("the configuration is too old to be used", execution=ExecutionStatus.NOT_RUN)
        return table

    def _authenticate(self, request: IncomingRequest, table: RouteTable, *, public: bool) -> Caller:
        """Return the caller; raises Unauthorized, or NotReady if the configuration may be stale."""
        try:
            return table.api_key_index.authenticate(request.headers, public=public)
        except Unauthorized as error:
            self._log_refusal(request, error.http_status, error.code)
            raise self._retryable_if_stale(error) from error

    def _retryable_if_stale(self, refusal: PassgateError) -> PassgateError:
        """Return ``refusal``, or a retryable NotReady instead if the configuration may be stale.

        A newer configuration, which this daemon could not read, may contain the unknown route or key.
        """
        if self._daemon.configuration_may_be_stale:
            return NotReady("the configuration may be out of date", execution=ExecutionStatus.NOT_RUN)
        return refusal

    def _log_refusal(self, request: IncomingRequest, status: int, reason: str) -> None:
        """Write a decision event; ``status`` differs from the answer's if NotReady replaces the refusal."""
        self._daemon.decisions.write(
            RequestRefused(
                request_id=request.header(names.HEADERS.request_id),
                path=request.path[:LOGGED_PATH_CHARACTERS],
                status=status,
                reason=reason,
                configuration_version=self._daemon.config_holder.version,
            )
        )

    async def _submit_job(self, request: IncomingRequest, caller: Caller) -> GatewayAnswer:
        job_id = request.header(names.HEADERS.request_id)
        if not job_id:
            raise InvalidRequest(
                "a batch job needs the header X-Attempt-Id, which identifies the job",
                execution=ExecutionStatus.NOT_RUN,
            )
        # decode_job scopes job_id to the caller's tenant, as _tenant_job_id does for later requests.
        spec = documents.decode_job(job_id, request.host, request.path, request.body, caller)
        await self._daemon.jobs.submit(spec, self._deadline_s(request))
        return GatewayAnswer(status=202)

    def _tenant_job_id(self, request: IncomingRequest, job_id: str) -> str:
        """Authenticate the caller and return ``job_id`` scoped to its tenant.

        The scope separates the jobs of different tenants; for a caller without a tenant's name, ``job_id``
        stays as it is.  Raises NotReady or Unauthorized.
        """
        table = self._usable_routes()
        caller = self._authenticate(request, table, public=table.accepts_public_jobs(request.host))
        return tenant_scoped_id(caller.tenant, job_id)

    async def _handle_job_request(
        self, request: IncomingRequest, caller_job_id: str, query: str
    ) -> GatewayAnswer:
        """Cancel a job (DELETE), or return its results from the position ``afterRev`` on (other methods)."""
        job_id = self._tenant_job_id(request, caller_job_id)
        if request.method == "DELETE":
            await self._daemon.jobs.cancel(request.host, job_id, self._deadline_s(request))
            return GatewayAnswer(status=200)
        after = parse_qs(query).get("afterRev", ["0"])[0]
        wait_ms = request.header(names.HEADERS.wait_ms)
        wait_s = min((parse_decimal(wait_ms) or 0) / 1000, MAX_WAIT_S)
        position = parse_decimal(after) or 0
        reading = self._daemon.jobs.read_results(request.host, job_id, position, wait_s)
        page = await self._end_in_time(reading)
        return json_answer(200, documents.results_document(page))

    async def _handle_item_request(
        self, request: IncomingRequest, caller_job_id: str, query: str
    ) -> GatewayAnswer:
        """Return the request body of one item of a job."""
        job_id = self._tenant_job_id(request, caller_job_id)
        item_id = parse_qs(query).get("id", [""])[0]
        body = await self._end_in_time(self._daemon.jobs.read_body(request.host, job_id, item_id))
        return GatewayAnswer(status=200, headers=BINARY_HEADERS, body=body)


class PlatformReplicaControl:
    """Reads replicas' reports and sends them load orders over HTTP, each call at most once."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def report(self, replica_id: str, address: str) -> ReplicaReport:
        """Return a replica's report about itself.

        Raises NotReady if the answer is not a valid report, another PassgateError if there is no answer.
        """
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
            raise NotReady(
                "the replica did not answer with a report",
                execution=ExecutionStatus.NOT_RUN,
                status=answer.status,
            )
        try:
            return documents.decode_report(answer.body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise NotReady("the replica's report is not valid", execution=ExecutionStatus.NOT_RUN) from error

    async def order(self, order: LoadOrder) -> int:
        """Send a load order and return the HTTP status; raises PassgateError without a complete answer.

        Raises SendTooLate if ``not_sent_after_s`` has passed when the connection is ready.
        """
        document = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "mode": "wait" if order.waits_for_runs else "keep",
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
            not_sent_after_s=order.not_sent_after_s,
        )
        return (await self._http.fetch(call)).status
