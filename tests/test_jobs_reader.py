"""How long a caller that waits for results has to wait."""

import asyncio

import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.emulator.shared_log import MemorySharedLog
from passgate.jobs.reader import MORE_RESULTS_WAIT_S
from passgate.jobs.records import ItemsDone, ItemSpec, JobSpec, Result, ResultState
from tests.job_daemons import HOST, Daemon

TOLERANCE_S = 0.1
FOLLOW_TIME_S = 2.5
"""Time for a daemon to watch its partitions and read them to the end."""
GROUPS = ("a", "a", "b", "b")


class IdleRunner:
    """Runner that runs no items; the test appends the results."""

    async def run(self):
        await asyncio.sleep(3600.0)

    def record_progress(self):
        pass


class IdleDaemon(Daemon):
    """Daemon whose runners run no items."""

    def make_runner(self, projection, journal, job, send_permission):
        return IdleRunner()


async def daemon_with_open_job(desired):
    daemon = IdleDaemon(MemorySharedLog(), "d").start()
    await asyncio.sleep(FOLLOW_TIME_S)
    items = tuple(ItemSpec(id=f"i{number}", path="/p/x", group=group) for number, group in enumerate(GROUPS))
    spec = JobSpec(job_id="j", host=HOST, path="/p/", items=items, desired=desired)
    await daemon.service.submit(spec, monotonic_s() + 5.0)
    await asyncio.sleep(FOLLOW_TIME_S)
    return daemon


def append_result(daemon, number):
    result = Result(item_id=f"i{number}", state=ResultState.SUCCEEDED, text="t", versions=(1,))
    daemon.job_partitions.of_host(HOST).journal.put(ItemsDone(job_id="j", results=(result,)))


async def read_while_appending(daemon, results, wait_s=1.0):
    """Read from the first position while results are appended; return the page's length and the time.

    ``results`` are pairs of the time since the begin of the read and the item's number.
    """
    began_s = monotonic_s()

    async def read():
        page = await daemon.service.read_results(HOST, "j", 0, wait_s)
        return len(page.results), monotonic_s() - began_s

    reading = asyncio.get_running_loop().create_task(read())
    for at_s, number in results:
        await asyncio.sleep(max(began_s + at_s - monotonic_s(), 0.0))
        append_result(daemon, number)
    return await reading


@pytest.mark.parametrize(
    "desired, results, count, after_s",
    [
        (2, [(0.3, 0), (0.4, 1)], 2, 0.3 + MORE_RESULTS_WAIT_S),
        (1, [(0.3, 0), (0.4, 1)], 2, 0.4),
        (1, [(0.3, 0), (0.35, 2), (0.4, 3), (0.6, 1)], 3, 0.4),
        (2, [(0.9, 0)], 1, 1.0),
        (2, [], 0, 1.0),
    ],
    ids=["together", "enough", "enough_of_another_group", "no_longer_than_asked", "nothing"],
)
def test_a_page_contains_results_that_arrive_shortly_after_the_first(desired, results, count, after_s):
    async def main():
        daemon = await daemon_with_open_job(desired)
        got, took_s = await read_while_appending(daemon, results)
        assert got == count
        assert after_s <= took_s <= after_s + TOLERANCE_S

    run_virtual(main())


def test_a_caller_that_does_not_wait_is_answered_at_once():
    async def main():
        daemon = await daemon_with_open_job(desired=2)
        append_result(daemon, 0)
        await asyncio.sleep(0.5)
        got, took_s = await read_while_appending(daemon, [], wait_s=0.0)
        assert (got, took_s) == (1, 0.0)

    run_virtual(main())
