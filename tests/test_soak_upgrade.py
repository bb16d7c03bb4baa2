"""Checks of the soak's rolling upgrade."""

import asyncio
import pathlib
import random
import types

import pytest

from passgate.clock import run_virtual
from tests.soak.builds import PRESENT_BUILD, ROOT, Build, BuildUnavailable, extract_build
from tests.soak.upgrade import RollingUpgrade

OLD_BUILD = Build("old", pathlib.Path("old"))
RUN_S = 60.0


class WorldStub:
    """Daemons without processes."""

    def __init__(self, first_build, daemons=4):
        self.random = random.Random(3)
        self.violations = []
        self.daemons = [
            types.SimpleNamespace(
                name=f"d{number}", build=first_build, incarnation=types.SimpleNamespace(build=first_build)
            )
            for number in range(daemons)
        ]

    def count(self, kind):
        pass

    def log_phase(self, name):
        pass

    def report_violation(self, message):
        self.violations.append(message)


class FaultsStub:
    """Restarts daemons at once, and records when."""

    def __init__(self):
        self.restarts = []

    async def stop_daemon(self, daemon):
        await asyncio.sleep(0.5)
        daemon.incarnation = types.SimpleNamespace(build=daemon.build)
        self.restarts.append((asyncio.get_running_loop().time(), daemon.name))

    kill_daemon = stop_daemon


def run_upgrade(world, faults):
    """Run an upgrade in virtual time and return when daemons were replaced."""

    async def main():
        started_s = asyncio.get_running_loop().time()
        await RollingUpgrade(world, faults).run(RUN_S)
        return [time_s - started_s for time_s, _ in faults.restarts]

    return run_virtual(main())


def test_daemons_are_replaced_one_by_one_over_the_run():
    world, faults = WorldStub(OLD_BUILD), FaultsStub()
    times_s = run_upgrade(world, faults)
    RollingUpgrade(world, faults).check_all_replaced()
    assert {name for _, name in faults.restarts} == {daemon.name for daemon in world.daemons}
    assert len(times_s) == len(world.daemons) and times_s == sorted(times_s)
    assert times_s[0] < RUN_S / 3 and RUN_S * 2 / 3 < times_s[-1] < RUN_S
    assert not world.violations


def test_without_an_earlier_build_nothing_is_replaced():
    world, faults = WorldStub(PRESENT_BUILD), FaultsStub()
    state = world.random.getstate()
    assert not run_upgrade(world, faults)
    assert world.random.getstate() == state


def test_a_daemon_that_was_not_replaced_is_reported():
    world = WorldStub(OLD_BUILD, daemons=1)
    RollingUpgrade(world, FaultsStub()).check_all_replaced()
    assert world.violations == ["d0 runs the build old"]


def test_a_process_imports_the_build_of_its_environment(tmp_path):
    """Guards against processes that import the installed package instead of the earlier build."""
    try:
        build = extract_build("HEAD", tmp_path)
    except (BuildUnavailable, FileNotFoundError) as error:
        pytest.skip(f"no history: {error}")
    assert build.imported_folder() == build.folder != ROOT
    assert PRESENT_BUILD.imported_folder() == ROOT


def test_an_unknown_commit_is_refused(tmp_path):
    with pytest.raises((BuildUnavailable, FileNotFoundError)):
        extract_build("no-such-commit", tmp_path)
