"""Calls to the platform for duties that one daemon at a time does for all: usage reports, replica orders."""

from __future__ import annotations

import msgspec

from passgate.clients.curl import HttpClient
from passgate.clients.http_call import HttpCall, SendPolicy
from passgate.duties.calls import DutyClient, DutyOutcome, ReplicaOrder, UsageReport
from passgate.errors import PassgateError
from passgate.platform import names

CALL_TIMEOUT_S = 1.0
"""Timeout of a call.  A leader's calls leave only within 0.6 of its lease, so with the default lease of 3 s
its last call normally ends before another daemon takes over."""
OUTCOME_BY_STATUS = {200: DutyOutcome.ACCEPTED, 409: DutyOutcome.REFUSED}


class _Usage(msgspec.Struct):
    window: int
    counts: dict[str, int]


class _Scale(msgspec.Struct, omit_defaults=True):
    service: str
    zone: str
    desired: int
    spot: bool = False


class PlatformDutyClient(DutyClient):
    """Sends calls to the platform over HTTP, each at most once.

    The leader's name (``holder``) and fencing token let the platform refuse a former leader.  A failed call
    returns ``DutyOutcome.UNKNOWN``.
    """

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address

    async def report_usage(self, report: UsageReport) -> DutyOutcome:
        """Report the usage counts of one window."""
        document = _Usage(window=report.window, counts=dict(report.counts))
        return await self._call(names.USAGE_PATH, document, report)

    async def order_replicas(self, order: ReplicaOrder) -> DutyOutcome:
        """Order the number of spot or on-demand replicas that a service shall have in a zone."""
        document = _Scale(service=order.service, zone=order.zone, desired=order.count, spot=order.spot)
        return await self._call(names.SCALE_PATH, document, order)

    async def _call(
        self, path: str, document: msgspec.Struct, duty: UsageReport | ReplicaOrder
    ) -> DutyOutcome:
        call = HttpCall(
            method="POST",
            url=f"http://{self._address}{path}",
            headers={
                names.DUTY_HOLDER_HEADER: duty.holder,
                names.DUTY_FENCE_HEADER: str(duty.fence),
                "Content-Type": "application/json",
            },
            body=msgspec.json.encode(document),
            send=SendPolicy.ONCE,
            timeout_s=CALL_TIMEOUT_S,
            control=True,
            not_sent_after_s=duty.not_sent_after_s,
        )
        try:
            answer = await self._http.fetch(call)
        except PassgateError:
            return DutyOutcome.UNKNOWN  # the duty logs the outcome and calls again
        return OUTCOME_BY_STATUS.get(answer.status, DutyOutcome.UNKNOWN)
