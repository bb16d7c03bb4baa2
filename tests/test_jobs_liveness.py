"""The status of a silent writer, as concluded from the responses to probes."""

import asyncio

import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.jobs.liveness import (
    CUT_OFF_AFTER_S,
    PROBE_INTERVAL_S,
    AliveResponse,
    LivenessProber,
    WriterStatus,
)

WRITER = "d1.a@h:1"
RESPONSE_S = 0.01


def prober_with_responses(responses):
    """Return a prober whose probes get these responses in turn, and the list of the probes' times."""
    probe_times_s = []

    async def probe(writer):
        probe_times_s.append(monotonic_s())
        await asyncio.sleep(RESPONSE_S)
        return responses[min(len(probe_times_s), len(responses)) - 1]

    return LivenessProber(probe), probe_times_s


@pytest.mark.parametrize(
    "response, status",
    [
        (AliveResponse(writer=WRITER), WriterStatus.ALIVE),
        (AliveResponse(writer=WRITER, waiting_s=CUT_OFF_AFTER_S), WriterStatus.CUT_OFF),
        (AliveResponse(writer="d1.b@h:1"), WriterStatus.REPLACED),
        (None, WriterStatus.SILENT),
    ],
)
def test_the_response_determines_the_status_of_the_writer(response, status):
    async def main():
        liveness, _ = prober_with_responses([response])
        assert liveness.status_of(WRITER, last_contact_s=float("-inf")) is None
        await asyncio.sleep(2 * RESPONSE_S)
        assert liveness.status_of(WRITER, last_contact_s=float("-inf")) is status

    run_virtual(main())


def test_a_response_older_than_the_writers_last_record_is_ignored():
    async def main():
        liveness, _ = prober_with_responses([None])
        liveness.status_of(WRITER, last_contact_s=float("-inf"))
        await asyncio.sleep(2 * RESPONSE_S)
        assert liveness.status_of(WRITER, last_contact_s=monotonic_s()) is None

    run_virtual(main())


def test_a_silent_writer_is_probed_again_and_a_replaced_one_is_not():
    async def main():
        liveness, probe_times_s = prober_with_responses([None, AliveResponse(writer="d1.b@h:1")])
        for _ in range(40):
            liveness.status_of(WRITER, last_contact_s=float("-inf"))
            await asyncio.sleep(0.1)
        assert len(probe_times_s) == 2
        assert PROBE_INTERVAL_S < probe_times_s[1] - probe_times_s[0] <= PROBE_INTERVAL_S + 0.11

    run_virtual(main())
