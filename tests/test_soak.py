"""The soak's own books: what its callers may conclude from answers."""

import random
import types

from tests.soak.callers import Callers, JobSeen
from tests.soak.judge import Judge


class World:
    """A world without processes; its answers are given."""

    def __init__(self):
        self.random = random.Random(1)
        self.daemons = []
        self.stopping = False
        self.broken = []

    def some_daemon(self):
        return None

    def note(self, kind):
        pass

    def breach(self, what):
        self.broken.append(what)


async def test_a_job_whose_end_was_in_doubt_need_not_be_whole():
    """A seed of the soak (4055) failed: a job had no result, and no daemon ran it.

    Its end had been asked for while the log was harmed. By likeness, as the answer was not kept: the
    caller was told that the end is in doubt, the end took effect, and the judge waited for results.  Now
    callers ask until an end is confirmed, and no daemon leaves an unconfirmed one without a line.
    """
    world = World()
    callers = Callers(world)
    callers.jobs["j"] = JobSeen(items=["a"], min_version=1, accepted_s=1.0)
    answers = [504, 503, 200]

    async def call(daemon, method, path):
        return types.SimpleNamespace(status=answers.pop(0))

    callers.call = call
    await callers.end_job("j")
    assert callers.jobs["j"].ended and not answers
    world.stopping = True
    callers.jobs["j"].ended = False
    await Judge(world, callers).wait_for_results()
    assert not world.broken
