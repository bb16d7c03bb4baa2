"""Base of the plain and the streaming forwarder: state of a forwarded request, checks before each attempt."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Protocol

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import AttemptFailed, DecisionLog, ForwardEnded, ForwardSent
from passgate.eligibility.replica_info import ReplicaIncarnation
from passgate.eligibility.rules import SendContext
from passgate.errors import (
    BackendUnreachable,
    NoRegionAllowed,
    NoReplicaAvailable,
    NoReplicaInRegions,
    NotReady,
    ReplicaReplaced,
    Unauthorized,
)
from passgate.errors.base import ExecutionStatus, PassgateError
from passgate.gateway.access import Caller
from passgate.gateway.header_names import HeaderNames
from passgate.gateway.messages import IncomingRequest
from passgate.gateway.replica_client import ReplicaClient
from passgate.gateway.replica_request import ReplicaRequest
from passgate.gateway.replica_state import ReplicaQuery, ReplicaState
from passgate.gateway.replica_table import ReplicaTable
from passgate.gateway.routes import ConfigHolder, Route, RouteKind, WeightedServicePicker
from passgate.gateway.shutdown_deadline import ShutdownDeadline
from passgate.quarantine.identity import RequestIdentity

RETRY_AFTER_S = 0.15
"""Value of ``Retry-After`` when no replica is available."""


UNREACHED_ERRORS = (BackendUnreachable, ReplicaReplaced)
"""Errors that, with the execution status NOT_RUN, mean that the request never reached the replica."""


class ForwardedRequest(msgspec.Struct, kw_only=True):
    """State of one request while it is forwarded."""

    request: IncomingRequest
    caller: Caller
    configuration_version: int
    """Version of the configuration with which the caller's API key was last checked."""
    route: Route
    service: str
    """Service of the route that was picked for the request.  Another one is picked only once a newer
    configuration's route has no requests for it."""
    request_id: str
    answer_by_s: float
    """Loop time by which the answer has to end: the route's timeout or, if earlier, the caller's deadline."""
    caller_deadline_s: float
    """Loop time until which the caller waits, by the deadline header or else DEFAULT_DEADLINE_S."""
    tried_replicas: list[ReplicaIncarnation] = []
    """Replicas of all attempts, in order; they are not chosen again."""
    unreached_count: int = 0
    """Number of attempts that never reached their replica; see UNREACHED_ERRORS."""
    may_have_run: bool = False
    """Whether the request may have run in an attempt that is over."""
    usage_counted: bool = False
    """Whether a stream's run is already counted for the usage report."""
    last_event_id: str = ""
    """Last event identifier sent to the caller; at first the one in the caller's ``last_event_id`` header."""

    @property
    def identity(self) -> RequestIdentity:
        """Content of the request, by which crashes of replicas are attributed to it."""
        request = self.request
        return RequestIdentity(
            host=request.host,
            method=request.method,
            path=request.path,
            tenant=self.caller.tenant,
            body=request.body,
        )

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once, even at two replicas at the same time."""
        return self.route.kind is RouteKind.SAFE or self.route.resumable

    @property
    def has_attempts_left(self) -> bool:
        """Whether the route's maximum of attempts permits another attempt.

        Attempts that never reached their replica don't count: otherwise a few replicas that have just
        exited would make a request fail although others are available.
        """
        return len(self.tried_replicas) - self.unreached_count < self.route.max_attempts

    @property
    def may_be_sent_again(self) -> bool:
        """Whether another attempt is permitted; a request that may have run also has to be repeatable."""
        return self.has_attempts_left and (self.repeatable or not self.may_have_run)

    @property
    def is_time_over(self) -> bool:
        """Whether the answer had to end by now, so that nothing is sent for the request any more."""
        return monotonic_s() >= self.answer_by_s


class UsageRecorder(Protocol):
    """Counts the runs of requests by tenant, for the usage report."""

    def now_s(self) -> float:
        """Return the wall-clock time, to be passed to :meth:`record_started`."""
        ...

    def record_started(self, tenant: str | None, at_s: float) -> None:
        """Count a run that a replica started or may have started, in the window of a wall-clock time."""
        ...


class ForwarderBase:
    """Steps that are common to forwarders: checks, choice of a replica, decision log, usage."""

    def __init__(
        self,
        replica_client: ReplicaClient,
        replicas: ReplicaTable,
        header_names: HeaderNames,
        decisions: DecisionLog,
        config_holder: ConfigHolder,
        usage: UsageRecorder | None = None,
        shutdown_deadline: ShutdownDeadline | None = None,
    ) -> None:
        self._usage = usage
        self._shutdown_deadline = shutdown_deadline or ShutdownDeadline()
        self._config_holder = config_holder
        self._replica_client = replica_client
        self._replicas = replicas
        self._header_names = header_names
        self._decisions = decisions
        self._service_picker = WeightedServicePicker()

    def _begin_forwarding(self, request: IncomingRequest, route: Route, caller: Caller) -> ForwardedRequest:
        deadline_s = request.deadline_s(self._header_names.deadline_ms)
        return ForwardedRequest(
            request=request,
            caller=caller,
            configuration_version=self._config_holder.version,
            route=route,
            service=self._service_picker.pick(route),
            request_id=request.header(self._header_names.request_id),
            answer_by_s=min(deadline_s, request.received_s + route.timeout_s),
            caller_deadline_s=deadline_s,
            last_event_id=request.header(self._header_names.last_event_id),
        )

    def _recheck_api_key(self, forwarding: ForwardedRequest) -> None:
        """Check the caller's API key and the age of the configuration; called before each attempt.

        So no run starts with a key that was revoked meanwhile, or that may have been.

        Raises:
            Unauthorized: the key is no longer valid.
            NotReady: the configuration has expired, or the key belongs to another tenant by now.
        """
        if self._config_holder.is_expired():
            raise NotReady("the configuration is too old to be used", execution=ExecutionStatus.NOT_RUN)
        table = self._config_holder.table
        if table is None or table.config.version == forwarding.configuration_version:
            return
        caller = table.api_key_index.authenticate(forwarding.request.headers, public=forwarding.route.public)
        if caller.tenant != forwarding.caller.tenant:
            raise NotReady("the API key belongs to another tenant now", execution=ExecutionStatus.NOT_RUN)
        forwarding.configuration_version = table.config.version

    async def _passes_quarantine(self, forwarding: ForwardedRequest) -> bool:
        """Wait for what may quarantine the request; return whether the request is not quarantined.

        The wait ends at the latest when the answer has to end.  A quarantined request has crashed replicas
        and is not sent for a while.  If this request has not run yet, RequestQuarantined is raised instead of
        returning False.
        """
        crash_guard = self._replica_client.crash_guard
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(forwarding.answer_by_s):
                await crash_guard.wait_for_probes(forwarding.identity)
                await crash_guard.wait_until_decided(forwarding.identity)
        if forwarding.may_have_run:
            return not crash_guard.is_quarantined(forwarding.identity)
        crash_guard.raise_if_quarantined(forwarding.identity)
        return True

    def _is_still_authorized(self, forwarding: ForwardedRequest) -> bool:
        """Whether :meth:`_recheck_api_key` finds nothing.

        Used for a request that may have run, for which its errors would falsely claim "not run".
        """
        try:
            self._recheck_api_key(forwarding)
        except (NotReady, Unauthorized):
            return False
        return True

    def _send_context(self, forwarding: ForwardedRequest) -> SendContext:
        """Return the regions that may serve the request by the active configuration."""
        request, tenant = forwarding.request, forwarding.caller.tenant
        accepted_regions = forwarding.route.allowed_regions
        return self._config_holder.send_context_for(request.host, request.path, tenant, accepted_regions)

    def _check_servable(self, forwarding: ForwardedRequest) -> None:
        """Check whether a request that has not run yet can be served by this daemon at all.

        Raises:
            NoRegionAllowed: no region may serve the request.
            Draining: the daemon may shut down before the request ends.
        """
        if forwarding.may_have_run:
            return
        self._shutdown_deadline.check(forwarding.answer_by_s)
        if self._send_context(forwarding).allowed_regions == frozenset():
            raise NoRegionAllowed("route and tenant allow no region in common")

    def _replica_query(self, forwarding: ForwardedRequest) -> ReplicaQuery:
        return ReplicaQuery(
            services=frozenset({forwarding.service}),
            excluded=frozenset(forwarding.tried_replicas),
            isolation=self._replica_client.crash_guard.isolation_of(forwarding.identity),
            send_context=self._send_context(forwarding),
        )

    def _update_service(self, forwarding: ForwardedRequest) -> None:
        """Pick another service if the active configuration has moved the request's route away from its own.

        Otherwise a request or a stream that still needs a replica would find none once the former service's
        replicas have left.
        """
        request = forwarding.request
        route = self._config_holder.find_route(request.host, request.path)
        if (
            route is not None
            and route.kind is forwarding.route.kind
            and forwarding.service not in route.active_services
        ):
            forwarding.service = self._service_picker.pick(route)

    def _choose_replica(self, forwarding: ForwardedRequest) -> ReplicaState | None:
        self._update_service(forwarding)
        return self._replicas.choose(self._replica_query(forwarding), monotonic_s())

    async def _confirm_isolated_run(self, forwarding: ForwardedRequest, state: ReplicaState) -> bool:
        """Announce an isolated run if the request needs one; return whether it may be sent to the replica."""
        crash_guard = self._replica_client.crash_guard
        crash_guard.announce_run(forwarding.identity, state.incarnation)
        state.in_flight += 1  # reserves a slot until the attempt counts itself
        is_confirmed = False
        try:
            async with asyncio.timeout_at(forwarding.answer_by_s):
                is_confirmed = await crash_guard.confirm_run(forwarding.identity, state.is_idle)
        except TimeoutError:
            pass
        finally:
            state.in_flight -= 1
            if not is_confirmed:
                crash_guard.withdraw_run(forwarding.identity)
        return is_confirmed

    def _replica_request(self, forwarding: ForwardedRequest) -> ReplicaRequest:
        request = forwarding.request
        last_event_id = self._header_names.last_event_id.lower()
        headers = [pair for pair in request.headers if pair[0].lower() != last_event_id]
        if forwarding.last_event_id:
            headers.append((self._header_names.last_event_id, forwarding.last_event_id))
        return ReplicaRequest(
            request_id=forwarding.request_id,
            method=request.method,
            path=request.path,
            host=request.host,
            headers=tuple(headers),
            body=request.body,
            deadline_s=forwarding.caller_deadline_s,
            send_before_s=forwarding.answer_by_s,
            is_wanted=request.is_caller_connected,
            priority=forwarding.route.priority if forwarding.route.kind is RouteKind.STREAMING else None,
            repeatable=forwarding.repeatable,
            tenant=forwarding.caller.tenant,
            send_context=self._send_context(forwarding),
        )

    def _no_replica_error(self, forwarding: ForwardedRequest, reason: str) -> PassgateError:
        """Return the error for a request that did not run: NoReplicaInRegions or NoReplicaAvailable.

        NoReplicaInRegions is returned if only certain regions may serve the request and no replica was tried.
        """
        if forwarding.tried_replicas or self._send_context(forwarding).allowed_regions is None:
            return no_replica_error(reason)
        return NoReplicaInRegions(reason, execution=ExecutionStatus.NOT_RUN, retry_after_s=RETRY_AFTER_S)

    def _record_sent(self, forwarding: ForwardedRequest, state: ReplicaState) -> None:
        forwarding.tried_replicas.append(state.incarnation)
        self._decisions.write(
            ForwardSent(
                request_id=forwarding.request_id,
                route=forwarding.route.name,
                replica_id=state.info.replica_id,
                attempt=len(forwarding.tried_replicas),
                in_flight=state.in_flight,
            )
        )

    def _record_failed_attempt(
        self,
        forwarding: ForwardedRequest,
        incarnation: ReplicaIncarnation,
        error: PassgateError,
        started_s: float,
    ) -> None:
        not_run = error.execution is ExecutionStatus.NOT_RUN
        forwarding.may_have_run |= not not_run
        forwarding.unreached_count += not_run and isinstance(error, UNREACHED_ERRORS)
        self._decisions.write(
            AttemptFailed(
                request_id=forwarding.request_id,
                route=forwarding.route.name,
                replica_id=incarnation.replica_id,
                fingerprint=forwarding.identity.fingerprint(),
                reason=error.code,
                execution=error.execution.value,
                elapsed_ms=round((monotonic_s() - started_s) * 1000, 1),
            )
        )

    def _usage_wall_s(self) -> float:
        return self._usage.now_s() if self._usage is not None else 0.0

    def _count_run(self, forwarding: ForwardedRequest, wall_s: float) -> None:
        """Count a run for the usage report in the window of the wall-clock time ``wall_s``."""
        if self._usage is not None:
            self._usage.record_started(forwarding.caller.tenant, wall_s)

    def _record_end(self, forwarding: ForwardedRequest, status: int, reason: str) -> None:
        self._decisions.write(
            ForwardEnded(
                request_id=forwarding.request_id,
                route=forwarding.route.name,
                status=status,
                reason=reason,
                replicas=tuple(replica.replica_id for replica in forwarding.tried_replicas),
                elapsed_ms=round((monotonic_s() - forwarding.request.received_s) * 1000, 1),
            )
        )


def no_replica_error(reason: str) -> PassgateError:
    """Return NoReplicaAvailable, with a ``Retry-After``, for a request that did not run."""
    return NoReplicaAvailable(reason, execution=ExecutionStatus.NOT_RUN, retry_after_s=RETRY_AFTER_S)
