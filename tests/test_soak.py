"""Checks of the soak itself: what its callers may conclude from answers."""

import random
import types

from tests.soak.callers import Callers, SubmittedJob
from tests.soak.result_checker import ResultChecker


class WorldStub:
    """A world without daemons, which only collects violations."""

    def __init__(self):
        self.random = random.Random(1)
        self.daemons = []
        self.stopping = False
        self.violations = []

    def random_daemon(self):
        return None

    def count(self, kind):
        pass

    def report_violation(self, message):
        self.violations.append(message)


async def test_a_job_with_an_unconfirmed_cancellation_need_not_be_complete():
    """An unconfirmed cancellation may take effect: the soak must not wait for the job's results."""
    world = WorldStub()
    callers = Callers(world)
    callers.jobs["j"] = SubmittedJob(items=["a"], min_version=1, accepted_s=1.0)
    answers = [504, 503, 200]

    async def send(daemon, method, path):
        return types.SimpleNamespace(status=answers.pop(0))

    callers.send = send
    await callers.cancel_job("j")
    assert callers.jobs["j"].is_cancelled and not answers
    world.stopping = True
    callers.jobs["j"].is_cancelled = False
    await ResultChecker(world, callers).wait_for_results()
    assert not world.violations
