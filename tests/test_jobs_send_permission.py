"""When runs of jobs may send: by the age of the view, by other daemons' answers, and before each attempt."""

import asyncio

import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.decisions import DecisionLog, JobSendsPaused, JobSendsResumed
from passgate.emulator.shared_log import MemorySharedLog
from passgate.jobs.liveness import AliveResponse
from passgate.jobs.log_access import LogAccess, judge_log_access
from passgate.jobs.send_permission import MAX_VIEW_AGE_S, OUTAGE_TTL_S, SendPermission
from passgate.sharedlog.tail import RecordTail, TailSettings
from tests import fake_platform
from tests.test_jobs_rewards import app_replicas, runs_of, start_world
from tests.test_platform_daemon import HOST, in_world

PAUSE_S = 0.6
"""Time without the permission; longer than several attempts take."""


def response(log_answers=None, partition_answers=None, zone="own"):
    return AliveResponse(writer="w", zone=zone, log_answers=log_answers, partition_answers=partition_answers)


@pytest.mark.parametrize(
    "responses, asked, access",
    [
        ([], 0, LogAccess.OUTAGE),
        ([], 3, LogAccess.CUT_OFF),
        ([response()], 1, LogAccess.CUT_OFF),
        ([response(False)], 1, LogAccess.OUTAGE),
        ([response(False)], 3, LogAccess.CUT_OFF),
        ([response(False), response()], 3, LogAccess.CUT_OFF),
        ([response(False), response(False)], 3, LogAccess.OUTAGE),
        ([response(False, zone="other"), response(False)], 4, LogAccess.OUTAGE),
        ([response(False, False), response(False), response(True)], 3, LogAccess.CUT_OFF),
        ([response(False, False), response(True, False)], 5, LogAccess.OUTAGE),
        ([response(True, False), response(True, True)], 2, LogAccess.CUT_OFF),
        ([response(False, True)], 1, LogAccess.CUT_OFF),
    ],
)
def test_outages_are_told_from_cuts_by_the_responses_of_others(responses, asked, access):
    assert judge_log_access(responses, asked) is access


def test_an_outage_needs_the_word_of_another_zone():
    """Guards against a zone that is cut off as a whole, whose daemons confirm an outage to each other."""
    own_zone = [response(False), response(False), response(False)]
    assert judge_log_access(own_zone, 3, "own") is LogAccess.CUT_OFF
    assert judge_log_access([*own_zone, response(False, zone="other")], 4, "own") is LogAccess.OUTAGE


class PermissionWorld:
    """A permission over a tail of the log in memory; ``access`` is what the other daemons' answers show."""

    def __init__(self):
        self.log = MemorySharedLog()
        self.applied = []
        settings = TailSettings(topic="jobs", partition=0)
        self.tail = RecordTail(self.log.client("d"), settings, self.applied.append)
        self.events = []
        self.access = None
        self.last_append_sent_s = float("-inf")
        self.permission = SendPermission(
            0,
            self.tail,
            lambda: self.last_append_sent_s,
            self.ask_peers,
            DecisionLog("d", write=len, observe=self.events.append),
        )

    async def ask_peers(self):
        while self.access is None:
            await asyncio.sleep(0.1)
        return self.access

    async def run(self, duration_s):
        """Update the permission, as the ownership does, and return whether it was granted at each update."""
        granted = []
        for _ in range(round(duration_s / 0.1)):
            self.permission.update()
            granted.append(self.permission.is_granted())
            await asyncio.sleep(0.1)
        return granted

    async def start(self):
        task = asyncio.get_running_loop().create_task(self.tail.run())
        await self.tail.wait_caught_up(1.0)
        return task


def in_permission_world(test):
    """Decorate a coroutine test: run it in virtual time with a new :class:`PermissionWorld`."""

    def run():
        async def main():
            await test(PermissionWorld())

        run_virtual(main())

    run.__name__ = test.__name__
    return run


@in_permission_world
async def test_no_permission_before_the_partition_was_read(world):
    assert not world.permission.is_granted()


@in_permission_world
async def test_the_permission_stands_while_the_log_answers(world):
    await world.start()
    assert all(await world.run(8.0))
    assert world.events == []


@in_permission_world
async def test_a_send_may_not_leave_later_than_its_view_allows(world):
    """Guards against requests that wait for a connection until the view on which they were sent is old."""
    await world.start()
    world.log.cut_off_clients.add("d")
    await asyncio.sleep(MAX_VIEW_AGE_S / 2)
    until_s = world.permission.granted_until_s()
    assert world.permission.is_granted()
    assert until_s <= monotonic_s() + MAX_VIEW_AGE_S / 2
    await asyncio.sleep(until_s - monotonic_s())
    assert not world.permission.is_granted()


@in_permission_world
async def test_a_daemon_that_is_cut_off_alone_pauses_until_its_view_is_fresh(world):
    await world.start()
    world.access = LogAccess.CUT_OFF
    world.log.cut_off_clients.add("d")
    await world.run(MAX_VIEW_AGE_S)
    assert not any(await world.run(4.0))
    world.log.cut_off_clients.clear()
    await asyncio.sleep(2.0)
    assert all(await world.run(2.0))
    assert [type(event) for event in world.events] == [JobSendsPaused, JobSendsResumed]
    assert world.events[0].reason == "cut_off"


@in_permission_world
async def test_an_outage_counts_only_while_it_is_confirmed(world):
    await world.start()
    world.access = LogAccess.OUTAGE
    world.log.faults.silent = True
    await world.run(MAX_VIEW_AGE_S)
    assert all(await world.run(4.0))
    world.access = None
    await world.run(OUTAGE_TTL_S)
    assert not any(await world.run(4.0))


@in_permission_world
async def test_a_log_that_answers_page_by_page_after_an_outage_gives_no_permission_before_its_end(world):
    """Guards against sends on the first pages after an outage, which may name a job but not yet its end."""
    task = await world.start()
    world.access = LogAccess.OUTAGE
    world.log.faults.silent = True
    await world.run(6.0)
    assert world.permission.is_granted()
    task.cancel()
    world.log.faults.silent = False
    world.log.append_now("jobs", 0, [b"a", b"b", b"c"])
    world.log.faults.records_per_page = 1
    granted_while_unread = []
    world.tail._apply = lambda page: granted_while_unread.append(
        page.next_offset < page.end and world.permission.is_granted()
    )
    await world.start()
    await asyncio.sleep(1.0)
    assert granted_while_unread == [False, False, False]
    assert world.permission.is_granted()


def permission_of(world):
    return world.daemon.job_partitions.of_host(HOST).send_permission


async def withhold_permission(world, seen):
    """Take the permission once a request has run, and return the number of its runs after a pause."""
    await world.until(lambda: runs_of(world, seen))
    permission_of(world).is_granted = lambda: False
    await asyncio.sleep(0.1)
    count = len(runs_of(world, seen))
    await asyncio.sleep(PAUSE_S)
    assert len(runs_of(world, seen)) == count
    del permission_of(world).is_granted
    return count


@in_world
async def test_an_item_is_not_sent_again_without_the_permission(world):
    """Guards against attempts, in a run that began rightly, on a view that has become old."""
    replica = world.replica("i-1", "llm", models={"m": 1}.items())
    replica.faults.break_after_events = 1
    world.configure(1, fake_platform.batch_route())
    await world.start()
    await world.submit(["item1"])
    await withhold_permission(world, "item1")
    replica.faults.break_after_events = -1
    (row,) = await world.all_results("job1")
    assert row["text"] == fake_platform.complete_output("item1")


@in_world
async def test_a_reward_call_is_not_sent_again_without_the_permission(world):
    """Guards against attempts of a reward call on a view that has become old."""
    await start_world(world)
    for app in app_replicas(world):
        app.faults.lost_response_probability = 1.0
    await world.submit(["aa1"], scored=True)
    await withhold_permission(world, fake_platform.reward_id("aa1"))
    for app in app_replicas(world):
        app.faults.lost_response_probability = 0.0
    (row,) = await world.all_results("job1")
    assert row["state"] == "succeeded"


async def end_permission_before_the_send(world, request_id):
    """Let the permission end once a replica is chosen for an item; return the runs of a pause."""
    permission = permission_of(world)
    replicas = world.daemon.replicas
    choose = replicas.choose

    def choose_and_end_permission(query, now_s):
        state = choose(query, now_s)
        if state is not None:
            permission.is_granted = lambda: False
        return state

    replicas.choose = choose_and_end_permission
    await world.submit(["aa1"], scored=True)
    await asyncio.sleep(PAUSE_S)
    assert "is_granted" in vars(permission)
    replicas.choose = choose
    seen = runs_of(world, request_id)
    del permission.is_granted
    return seen


@in_world
async def test_an_item_is_not_sent_if_the_permission_ends_after_its_replica_was_chosen(world):
    """Guards against a send after the choice of its replica, since when the view may have become old."""
    await start_world(world)
    assert await end_permission_before_the_send(world, "aa1") == []
    (row,) = await world.all_results("job1")
    assert row["state"] == "succeeded"
