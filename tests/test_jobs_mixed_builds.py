"""Jobs of daemons of this build beside daemons of an earlier one, whose messages lack newer fields."""

import asyncio

import msgspec
import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.emulator.shared_log import MemorySharedLog
from passgate.jobs.partitions import partition_of
from passgate.jobs.peers import METHOD_ALIVE
from passgate.jobs.send_permission import MAX_VIEW_AGE_S
from passgate.sharedlog.group import DIRECTORY_REFRESH_S
from tests.job_daemons import Daemon, job_spec, wait_until_complete
from tests.test_jobs_old_views import APPLIED_S, LONG_JOB_ITEMS, client_name, close_all, sends_after

NEWER_FIELDS = ("log_answers", "partition_answers")
"""Fields of the response to a probe that the builds b56d714 and f28b99e do not have."""
OBSERVED_S = 8.0


class EarlierDaemon(Daemon):
    """Responds to probes as an earlier build does."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._handle = self.service.handle_peer_request
        self.service.handle_peer_request = self._handle_as_earlier

    async def _handle_as_earlier(self, sender, method, payload):
        answer = await self._handle(sender, method, payload)
        if method != METHOD_ALIVE:
            return answer
        fields = msgspec.json.decode(answer)
        return msgspec.json.encode({key: value for key, value in fields.items() if key not in NEWER_FIELDS})


async def start_daemons(log, builds, region_by_zone=None):
    """Start daemons of some builds and a job that the first one owns; return them and the job's host.

    All are in one zone, or each in one of ``region_by_zone``.
    """
    zones = list(region_by_zone or ["a"] * len(builds))
    daemons = [
        build(log, f"d{number}", zone=zone, region_by_zone=region_by_zone).start()
        for number, (build, zone) in enumerate(zip(builds, zones, strict=True))
    ]
    await asyncio.sleep(DIRECTORY_REFRESH_S + 1.0)
    partitions = daemons[0].job_partitions
    host = next(
        host
        for host in (f"h{number}" for number in range(100))
        if partitions.is_watcher_of(partition_of(host, log.partition_count))
    )
    await daemons[0].service.submit(job_spec("j", LONG_JOB_ITEMS, host), monotonic_s() + 2.0)
    await asyncio.sleep(1.0)
    assert partitions.running_jobs == 1
    return daemons, host


@pytest.mark.parametrize("cut_off", [0, 1, 2])
def test_an_owner_that_only_an_earlier_build_could_tell_to_be_cut_off_stops_to_send(cut_off):
    """Guards against an owner that takes an earlier build, which does not tell its view's age, for blind.

    A daemon of an earlier build reads the log and cancels the job; those of this build are cut off from it.
    """

    async def main():
        log = MemorySharedLog()
        daemons, host = await start_daemons(log, [Daemon, EarlierDaemon, *[Daemon] * cut_off])
        owner, reader, *others = daemons
        log.cut_off_clients.update(client_name(daemon) for daemon in [owner, *others])
        cut_at_s = monotonic_s()
        await reader.service.cancel(host, "j", monotonic_s() + 1.0)
        await asyncio.sleep(OBSERVED_S)
        assert sends_after(owner, cut_at_s + MAX_VIEW_AGE_S + APPLIED_S) == []
        await close_all(daemons)

    run_virtual(main())


@pytest.mark.parametrize("earlier", [1, 2])
def test_a_job_that_paused_in_an_outage_beside_an_earlier_build_is_completed_by_its_owner(earlier):
    """Guards against a pause that outlasts the outage, or a job that two daemons run after it."""

    async def main():
        log = MemorySharedLog()
        daemons, host = await start_daemons(log, [Daemon] * (3 - earlier) + [EarlierDaemon] * earlier)
        log.faults.silent = True
        await asyncio.sleep(OBSERVED_S)
        log.faults.silent = False
        await wait_until_complete(daemons, ["j"], host=host)
        assert [len(daemon.sends) for daemon in daemons] == [LONG_JOB_ITEMS, 0, 0]
        await close_all(daemons)

    run_virtual(main())
