"""Simulated runs of three real daemons in virtual time, under generated schedules of faults."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from passgate.check.events import decode_event
from passgate.check.history import read_history
from passgate.check.replay import ReplayCommands, ReplayFailed
from passgate.check.simulation import campaign, seeded_mistakes
from passgate.check.simulation.run import RunLimits, simulate
from passgate.check.simulation.schedule import (
    FAULT_MAKER_BY_KIND,
    LogOutage,
    MachineListOutage,
    Schedule,
    generate_schedule,
)

SMALL_RUN = RunLimits(calls_s=12.0, trainer_steps=2, settle_s=120.0)
MISTAKE_BY_NAME = {mistake.name: mistake for mistake in seeded_mistakes.MISTAKES}


@st.composite
def faults(draw):
    make = FAULT_MAKER_BY_KIND[draw(st.sampled_from(sorted(FAULT_MAKER_BY_KIND)))]
    at_s = draw(st.floats(3.0, 10.0).map(lambda value: round(value, 2)))
    return make(Random(draw(st.integers(0, 1000))), at_s)


schedules = st.builds(
    Schedule, seed=st.integers(0, 10_000), faults=st.lists(faults(), min_size=1, max_size=3).map(tuple)
)


@settings(max_examples=4, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck))
@given(schedules)
def test_no_generated_schedule_violates_a_guarantee(schedule):
    outcome = simulate(schedule, SMALL_RUN)
    assert outcome.failure_names() == []


def test_same_schedule_gives_the_same_history():
    schedule = generate_schedule(5)
    assert simulate(schedule, SMALL_RUN).events == simulate(schedule, SMALL_RUN).events


@pytest.mark.parametrize("name", ["always_not_run", "version_by_belief", "revision_not_advanced"])
def test_seeded_mistake_is_found(name):
    result = seeded_mistakes.search_violation(MISTAKE_BY_NAME[name], runs=3)
    assert result.found, result


def test_shrinking_leaves_out_every_unnecessary_fault():
    needed = LogOutage(9.0, 1.0)
    schedule = Schedule(seed=1, faults=(MachineListOutage(3.0, 1.0), needed, MachineListOutage(5.0, 1.0)))
    shrunk = campaign.shrink(schedule, lambda candidate: needed in candidate.faults)
    assert shrunk.faults == (needed,)


def test_a_run_counts_once_in_the_row_of_a_repeated_kind_of_fault():
    schedule = Schedule(seed=1, faults=(LogOutage(9.0, 1.0), LogOutage(5.0, 1.0)))
    report = campaign.RunReport(
        schedule=schedule,
        broken={"staleness": 2},
        unhandled=(),
        message="",
        events=1,
        virtual_s=1.0,
        seconds=1.0,
    )
    (row,) = campaign.make_fault_rows([report])
    assert (row.fault, row.runs, row.violations["staleness"]) == ("log_outage", 1, 2)


def test_failed_replay_prints_the_excerpt_and_writes_the_history(tmp_path, capsys):
    history = tmp_path / "run.jsonl"
    with seeded_mistakes.apply_mistake(MISTAKE_BY_NAME["version_by_belief"]), pytest.raises(ReplayFailed):
        ReplayCommands().schedule(seed=0, history=str(history))
    printed = capsys.readouterr().out.splitlines()
    excerpt = [decode_event(line) for line in printed if line.startswith('{"type"')]
    assert len(excerpt) == 2, "the request or lot, and the answer or page"
    assert all(event in read_history(history.read_bytes().splitlines()) for event in excerpt)
