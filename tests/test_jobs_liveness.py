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
ANSWER_S = 0.01


def prober_with_responses(answers):
    """Return a prober whose probes get these responses in turn, and the list of the probes' times."""
    questions = []

    async def ask(writer):
        questions.append(monotonic_s())
        await asyncio.sleep(ANSWER_S)
        return answers[min(len(questions), len(answers)) - 1]

    return LivenessProber(ask), questions


@pytest.mark.parametrize(
    "answer, status",
    [
        (AliveResponse(writer=WRITER), WriterStatus.ALIVE),
        (AliveResponse(writer=WRITER, waiting_s=CUT_OFF_AFTER_S), WriterStatus.CUT_OFF),
        (AliveResponse(writer="d1.b@h:1"), WriterStatus.REPLACED),
        (None, WriterStatus.SILENT),
    ],
)
def test_the_response_determines_the_status_of_the_writer(answer, status):
    async def main():
        liveness, _ = prober_with_responses([answer])
        assert liveness.status_of(WRITER, last_contact_s=float("-inf")) is None
        await asyncio.sleep(2 * ANSWER_S)
        assert liveness.status_of(WRITER, last_contact_s=float("-inf")) is status

    run_virtual(main())


def test_a_response_older_than_the_writers_last_record_is_ignored():
    async def main():
        liveness, _ = prober_with_responses([None])
        liveness.status_of(WRITER, last_contact_s=float("-inf"))
        await asyncio.sleep(2 * ANSWER_S)
        assert liveness.status_of(WRITER, last_contact_s=monotonic_s()) is None

    run_virtual(main())


def test_a_silent_writer_is_probed_again_and_a_replaced_one_is_not():
    async def main():
        liveness, questions = prober_with_responses([None, AliveResponse(writer="d1.b@h:1")])
        for _ in range(40):
            liveness.status_of(WRITER, last_contact_s=float("-inf"))
            await asyncio.sleep(0.1)
        assert len(questions) == 2
        assert PROBE_INTERVAL_S < questions[1] - questions[0] <= PROBE_INTERVAL_S + 0.11

    run_virtual(main())
