"""Requests from the leader of the control topic the permits that requests to cold replicas need.

A permit request goes to the daemon that responded as leader to the previous one.  Without such a daemon it
goes to this daemon, then to the watcher of the control partition, which normally knows the leader, and then
to other daemons.  A daemon that does not lead may name the leader, which is tried next.  While this daemon's
view of the replicas or of the log is stale, its requests also ask for the list of cold replicas.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Awaitable, Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.eligibility.cold_replicas import ColdReplicas
from passgate.eligibility.permit_issuer import PermitIssuer, PermitRequest, PermitResponse
from passgate.eligibility.permits import PERMIT_LIFETIME_S, PermitPool
from passgate.errors import PeerError
from passgate.peers.transport import PeerTransport
from passgate.sharedlog.member_names import address_of

logger = logging.getLogger("passgate.eligibility")

PERMITS_METHOD = "cold.permits"
RESPONSE_TIMEOUT_S = PERMIT_LIFETIME_S * 0.8
"""Timeout of a request; permits that arrive later could hardly be used before they expire."""
MIN_REQUEST_INTERVAL_S = 0.05
"""Pause after a request that brought permits; much shorter than PERMIT_LIFETIME_S, so that the number of
permits follows the demand."""
MAX_REQUEST_INTERVAL_S = 0.4
"""Upper bound of the pause, which doubles after each request that brought no permits."""
MAX_PERMITS_PER_REQUEST = 64
"""Maximum number of permits in one request, so that one daemon can not use up the limits of many replicas
at once."""
REQUESTED_PER_USED_PERMIT = 2
"""Number of permits to request for each one used since the previous request; one more is added."""
CHECK_INTERVAL_S = 0.1
"""Interval of the checks whether the view of the replicas is stale, while no permits are needed; also the
pause between the daemon's updates of its permit issuer."""
COLD_REQUEST_INTERVAL_S = 0.5
"""Shortest time between two requests for the list of cold replicas if no permits are needed."""
MAX_REQUESTS_PER_ROUND = 4
"""Maximum number of daemons to which one permit request is sent, one after the other."""


class PermitClient:
    """Requests permits for this daemon while it needs some, and responds to other daemons' requests."""

    def __init__(
        self,
        transport: PeerTransport,
        issuer: PermitIssuer,
        permit_pool: PermitPool,
        cold_replicas: ColdReplicas,
        find_watcher: Callable[[], Awaitable[str | None]],
        list_other_members: Callable[[], list[str]],
        is_view_stale: Callable[[], bool],
    ) -> None:
        """Create the client; it has at most one request in flight.

        Args:
            transport: sends requests to other daemons.
            issuer: this daemon's permit issuer, which handles the requests that arrive here.
            permit_pool: the permits that this daemon holds.
            cold_replicas: the cold replicas as this daemon knows them; reported cold periods are added.
            find_watcher: returns the name of the daemon that watches the control partition, None if unknown.
            list_other_members: returns the names of other daemons that may know the leader, in any order.
            is_view_stale: returns whether this daemon may not have read which replicas are cold.
        """
        self._transport = transport
        self._issuer = issuer
        self._permit_pool = permit_pool
        self._cold_replicas = cold_replicas
        self._find_watcher = find_watcher
        self._list_other_members = list_other_members
        self._is_view_stale = is_view_stale
        self.leader_address = ""
        """Address of the daemon that responded as leader to the last request; empty if none did."""
        self._used_at_last_request = 0
        """Value of the counter ``used`` at the last request."""
        self._request_interval_s = MIN_REQUEST_INTERVAL_S
        self._cold_requested_s = float("-inf")
        """Loop time of the last request for the list of cold replicas."""

    async def run(self) -> None:
        """Send a request whenever permits or the list of cold replicas are needed, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._permit_pool.permits_requested.wait()
            if self._permit_pool.requested_services_by_id or self._must_request_cold():
                await self._request_once()
                await asyncio.sleep(self._request_interval_s)

    def _must_request_cold(self) -> bool:
        return self._is_view_stale() and monotonic_s() - self._cold_requested_s >= COLD_REQUEST_INTERVAL_S

    async def _request_once(self) -> None:
        request = self._make_request()
        response = await self._request_from_leader(request)
        if response is None:
            self._permit_pool.counters.unanswered += 1
        elif request.count and not response.granted:
            self._permit_pool.counters.wanting += 1
        was_granted = response is not None and bool(response.granted)
        self._request_interval_s = (
            MIN_REQUEST_INTERVAL_S
            if was_granted
            else min(2 * self._request_interval_s, MAX_REQUEST_INTERVAL_S)
        )

    def _make_request(self) -> PermitRequest:
        include_cold = self._is_view_stale()
        if include_cold:
            self._cold_requested_s = monotonic_s()
        service_by_replica_id = self._permit_pool.take_requested()
        used = self._permit_pool.counters.used
        count = (
            min(REQUESTED_PER_USED_PERMIT * (used - self._used_at_last_request) + 1, MAX_PERMITS_PER_REQUEST)
            if service_by_replica_id
            else 0
        )
        self._used_at_last_request = used
        return PermitRequest(
            count=count, service_by_replica_id=service_by_replica_id, include_cold=include_cold
        )

    async def _request_from_leader(self, request: PermitRequest) -> PermitResponse | None:
        """Send a request to daemons in turn until one responds as leader, and return its response.

        At most MAX_REQUESTS_PER_ROUND daemons are tried: the candidates, and each leader that a response
        names.  Returns None if none of them responds as leader.
        """
        candidates = deque(await self._leader_candidates())
        tried: set[str] = set()
        while candidates and len(tried) < MAX_REQUESTS_PER_ROUND:
            address = candidates.popleft()
            if not address or address in tried:
                continue
            tried.add(address)
            response = await self._request_from(address, request)
            if response is not None and response.granted is not None:  # only a leader's response has grants
                self.leader_address = address
                return response
            if response is not None:
                candidates.appendleft(address_of(response.leader))
        self.leader_address = ""
        return None

    async def _leader_candidates(self) -> list[str]:
        """Return addresses of daemons to try: the last leader's alone, if there is one.

        Without one, this daemon comes first, as asking it costs no call, then the watcher, then the others.
        """
        if self.leader_address:
            return [self.leader_address]
        watcher = await self._find_watcher()
        return [
            self._transport.address,
            *(address_of(name) for name in [watcher or "", *self._list_other_members()]),
        ]

    async def _request_from(self, address: str, request: PermitRequest) -> PermitResponse | None:
        """Send a request to one daemon, apply its response and return it; None if the call fails."""
        requested_s = monotonic_s()
        if address == self._transport.address:
            response = self._issuer.handle_request(address, request)
        else:
            try:
                payload = msgspec.json.encode(request)
                reply = await self._transport.call(address, PERMITS_METHOD, payload, RESPONSE_TIMEOUT_S)
                response = msgspec.json.decode(reply, type=PermitResponse)
            except PeerError:
                return None  # the next candidate may respond; if none does, the request counts as unanswered
            except msgspec.DecodeError as error:
                logger.info("permits_unreadable", extra={"peer": address, "error": str(error)})
                return None
        now_s = monotonic_s()
        self._permit_pool.add(response.granted or {}, requested_s, now_s)
        for replica_id, remaining_ms in response.remaining_cold_ms_by_id.items():
            self._cold_replicas.record_reported_cold(replica_id, remaining_ms / 1000, now_s)
        return response

    def handle_request(self, sender: str, payload: bytes) -> bytes:
        """Return the encoded response to another daemon's request.

        Raises:
            msgspec.DecodeError: the payload is not a permit request.
        """
        request = msgspec.json.decode(payload, type=PermitRequest)
        return msgspec.json.encode(self._issuer.handle_request(sender, request))
