"""Checks of the soak itself: what its callers may conclude from answers."""

import asyncio
import random
import types

import pytest

from tests.soak import world as world_module
from tests.soak.callers import Callers, SubmittedJob
from tests.soak.processes import PORT_BLOCK_SIZE, PortAllocator
from tests.soak.result_checker import ResultChecker
from tests.soak.world import World


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


def test_soaks_at_the_same_time_use_different_ports():
    """Soaks of one seed used the same ports: a daemon that started again found its port taken."""
    allocators = [PortAllocator(), PortAllocator()]
    ports = [allocator.allocate_port() for allocator in allocators for _ in range(PORT_BLOCK_SIZE // 2)]
    assert len(set(ports)) == len(ports)


@pytest.mark.parametrize("keeps_identifier", [True, False])
async def test_a_crashed_replica_starts_again_in_its_zone(tmp_path, monkeypatch, keeps_identifier):
    """A replica whose restart failed was missed until its service had none left."""
    monkeypatch.setattr(world_module, "RESTART_DELAY_S", (0.0, 0.0))
    monkeypatch.setattr(world_module, "SAME_ID_SHARE", float(keeps_identifier))
    world = World(1, tmp_path, None, 0)
    replica = world.add_replica("app", "b")
    replica.crash()
    await asyncio.gather(*world.restarts)
    (restarted,) = world.replicas
    assert (restarted.service, restarted.zone, restarted.address) == ("app", "b", replica.address)
    assert (restarted.replica_id == replica.replica_id) == keeps_identifier
    assert restarted.replica_id in world.log.newest_values("keyed.servers")


async def test_a_failed_restart_of_a_replica_is_reported(tmp_path, monkeypatch):
    """The exception of a failed restart was lost with its task."""
    monkeypatch.setattr(world_module, "RESTART_DELAY_S", (0.0, 0.0))
    world = World(1, tmp_path, None, 0)
    replica = world.add_replica("app", "a")

    def fail(*arguments):
        raise OSError("address in use")

    monkeypatch.setattr(world, "add_replica", fail)
    replica.crash()
    await asyncio.gather(*world.restarts, return_exceptions=True)
    assert len(world.violations) == 1 and "address in use" in world.violations[0]
