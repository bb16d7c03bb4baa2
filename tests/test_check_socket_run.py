"""Runs over sockets: attribution of runs, tested guarantees, reports, and one run of real processes."""

import asyncio

import pytest

from passgate.check import operation_checks, request_checks, sample_checks
from passgate.check.events import (
    AppInvoked,
    BackendLeaving,
    BackendRunStarted,
    ConfigurationAccepted,
    DaemonKilled,
    DaemonStarted,
    GenerateInvoked,
    HistoryClosed,
    LotAbandoned,
    LotSubmitted,
    PageReceived,
    ReceivedSample,
    RequestCutOff,
    RequestFailed,
    StopFinished,
    StopRequested,
)
from passgate.check.guarantee_coverage import OBSERVERS, observations
from passgate.check.history import read_history
from passgate.check.simulation.run import RunLimits, simulate
from passgate.check.simulation.schedule import DaemonKill, Schedule
from passgate.check.socket_attribution import attribute_runs
from passgate.check.socket_command import run_and_report
from passgate.check.socket_faults import FaultRecord
from passgate.check.socket_report import BEFORE_FAULTS, NOT_OBSERVED, find_violations, make_cells
from passgate.check.socket_run import SocketScenario, find_unhandled_errors, run_sockets
from passgate.demo_deployment import find_free_addresses
from passgate.emulator.admin_messages import RunStart
from passgate.emulator.run_feed import generate_work_digest
from passgate.errors import ExecutionStatus, NotFound
from passgate.schema import FinishReason


def app_call(request_id, time_s=1.0, daemon="a-1", key="", digest="d"):
    return AppInvoked(
        time_s=time_s,
        request_id=request_id,
        daemon=daemon,
        expected_digest=digest,
        key=key,
        repeatable=not key,
    )


def refused(request_id, time_s=2.0):
    execution = ExecutionStatus.NOT_RUN
    return RequestFailed(time_s=time_s, request_id=request_id, error="overloaded", execution=execution)


def started(request_id, time_s=1.5, replica_id="app-0"):
    return BackendRunStarted(time_s=time_s, request_id=request_id, replica_id=replica_id)


def run_start(request_id, time_s=1.5, work="d"):
    return RunStart(time_s=time_s, request_id=request_id, replica_id="app-0", work=work)


def lot(bound=1):
    return LotSubmitted(time_s=1.0, lot_id="l-1", trainer="t", model="m", staleness_bound=bound, prompts=())


def page(trainer_version=1, finished=False):
    sample = ReceivedSample(
        sample_id="l-1/0", index=0, attempt=1, tokens=(1,), spans=(), finish_reason=FinishReason.STOP
    )
    return PageReceived(
        time_s=2.0,
        lot_id="l-1",
        cursor=0,
        next_cursor=1,
        trainer_version=trainer_version,
        samples=(sample,),
        finished=finished,
    )


# --- attribution of runs ------------------------------------------------------------


def test_all_attempts_of_an_answered_request_get_its_identifier():
    events = attribute_runs([run_start("a-1-f"), run_start("a-1-f~1")], [app_call("c-0")], {"a-1-f": "c-0"})
    assert [event.request_id for event in events] == ["c-0", "c-0"]


def test_two_runs_of_one_key_are_found_without_any_answer():
    calls = [app_call("c-0", 1.0, "a-1", "c"), app_call("c-1", 2.0, "b-1", "c")]
    runs = attribute_runs([run_start("a-1-f", 1.1), run_start("b-1-e", 2.1)], calls, {})
    assert [event.request_id for event in runs] == ["c-0", "c-1"]
    assert len(request_checks.check_at_most_once([*calls, *runs])) == 1


def test_a_run_is_not_attributed_to_an_answered_later_or_other_request():
    calls = [
        app_call("answered", 1.0),
        app_call("later", 9.0),
        app_call("elsewhere", 1.0, "b-1"),
        app_call("other-work", 1.0, digest="e"),
    ]
    (event,) = attribute_runs([run_start("a-1-f")], calls, {"a-1-e": "answered"})
    assert event.request_id == "a-1-f"


def test_a_refused_request_that_ran_violates_not_run():
    calls = [app_call("c-0"), refused("c-0")]
    runs = attribute_runs([run_start("a-1-f", 3.0)], calls, {"a-1-f": "c-0"})
    assert find_violations([*calls, *runs])[request_checks.NOT_RUN]


def test_a_generate_run_is_attributed_by_its_prompt_and_seed():
    invocation = GenerateInvoked(
        time_s=1.0, request_id="g-0", daemon="a-1", model="m", prompt=(1, 2), max_tokens=4, seed=7
    )
    (event,) = attribute_runs(
        [run_start("a-1-f", work=generate_work_digest("m", (1, 2), 7))], [invocation], {}
    )
    assert event.request_id == "g-0"


# --- tested guarantees ---------------------------------------------------------------


def test_an_empty_history_tests_no_guarantee():
    assert all(not times for times in observations([]).values())
    assert set(OBSERVERS) == set(find_violations([]))


@pytest.mark.parametrize(
    ("guarantee", "insufficient", "sufficient"),
    [
        (sample_checks.STALENESS, [lot(), page(2)], [lot(), page(3)]),
        (
            sample_checks.EXACTLY_ONCE,
            [lot(), page(), LotAbandoned(time_s=3.0, lot_id="l-1"), HistoryClosed(time_s=4.0)],
            [lot(), page(), HistoryClosed(time_s=4.0)],
        ),
        (sample_checks.EXACTLY_ONCE, [lot(), page()], [lot(), page(finished=True)]),
        (request_checks.NOT_RUN, [refused("c-0")], [refused("c-0"), started("other")]),
        (
            request_checks.AT_MOST_ONCE,
            [app_call("c-0", key="c")],
            [app_call("c-0", key="c"), started("c-0")],
        ),
        (
            operation_checks.LEAVING,
            [BackendLeaving(time_s=1.0, replica_id="app-0"), started("x", 5.9, "app-1")],
            [BackendLeaving(time_s=1.0, replica_id="app-0"), started("x", 6.1, "app-1")],
        ),
        (
            operation_checks.GRACEFUL_SHUTDOWN,
            [
                app_call("c-0"),
                StopRequested(time_s=1.1, daemon="b-1"),
                RequestCutOff(time_s=1.2, request_id="c-0"),
            ],
            [
                app_call("c-0"),
                StopRequested(time_s=1.1, daemon="a-1"),
                RequestCutOff(time_s=1.2, request_id="c-0"),
            ],
        ),
        (
            operation_checks.GRACEFUL_SHUTDOWN,
            [
                app_call("c-0"),
                StopRequested(time_s=1.1, daemon="a-1"),
                StopFinished(time_s=1.2, daemon="a-1"),
                refused("c-0"),
            ],
            [app_call("c-0"), StopRequested(time_s=1.1, daemon="a-1"), refused("c-0")],
        ),
    ],
)
def test_a_guarantee_is_observed_only_when_a_violation_would_show(guarantee, insufficient, sufficient):
    assert observations(insufficient)[guarantee] == ()
    assert observations(sufficient)[guarantee] != ()


def test_an_accepted_change_that_no_daemon_reports_is_not_observed():
    change = ConfigurationAccepted(time_s=1.0, name="Pool/p", expected_revision=0, revision=5, value="v")
    assert observations([change])[operation_checks.CONFIGURATION] == ()


def test_each_fault_has_a_row_for_its_own_time_with_unobserved_guarantees():
    records = [
        FaultRecord(fault="daemon_kill", target="a-1", from_s=at_s, until_s=at_s) for at_s in (2.0, 4.0)
    ]
    first, second = app_call("c-0", 10.5, key="c"), app_call("c-1", 12.5, key="c")
    events = [first, started("c-0", 10.6), second, started("c-1", 12.6)]
    cells = make_cells(events, find_violations(events), records, started_s=10.0)
    assert [cells[name][request_checks.AT_MOST_ONCE] for name in cells] == [
        "held (1)",
        "violated (1)",
        NOT_OBSERVED,
    ]
    assert list(cells) == [BEFORE_FAULTS, "daemon_kill", "daemon_kill #2"]


def test_unhandled_exceptions_are_found_in_the_logs(tmp_path):
    traceback = 'Traceback: File "/home/me/lib/web.py", line 1'
    (tmp_path / "a.log").write_text('{"level": "INFO"}\n' + traceback)
    (tmp_path / "b.log").write_text('{"level": "INFO"}\n')
    assert find_unhandled_errors(tmp_path) == ('a: Traceback: File "web.py", line 1',)


def test_an_unknown_fault_is_refused_before_anything_starts():
    with pytest.raises(NotFound, match="no_such_fault"):
        asyncio.run(run_sockets(SocketScenario(faults=("daemon_kill+no_such_fault",))))


def test_an_unknown_mistake_is_refused_before_anything_starts():
    with pytest.raises(NotFound, match="no_such_mistake"):
        asyncio.run(run_sockets(SocketScenario(mistake="no_such_mistake")))


def test_daemons_get_ports_outside_of_the_range_of_outgoing_connections():
    addresses = find_free_addresses(9)
    assert len(set(addresses)) == 9
    assert all(int(address.rpartition(":")[2]) < 32768 for address in addresses)


# --- separate processes -------------------------------------------------------------


def test_a_kill_has_the_same_result_over_sockets_and_in_virtual_time(tmp_path, capsys):
    file = tmp_path / "history"
    scenario = SocketScenario(seed=1, seconds=1.0, faults=("daemon_kill",), late_reader=False)
    run_and_report(scenario, history=str(file), json=True)  # raises if a guarantee is violated
    with file.open("rb") as lines:
        events = read_history(lines)
    kinds = {type(event) for event in events}
    assert {DaemonKilled, DaemonStarted, BackendRunStarted, PageReceived, HistoryClosed} <= kinds
    assert observations(events)[request_checks.COMPLETE_ANSWER]
    socket_counts = {guarantee: len(found) for guarantee, found in find_violations(events).items()}
    kill = DaemonKill(at_s=2.0, daemons=("c-1",), restart_after_s=0.5)
    outcome = simulate(Schedule(seed=1, faults=(kill,)), RunLimits(calls_s=7.0, trainer_steps=1))
    assert socket_counts == {entry.guarantee: entry.violations for entry in outcome.verdict.guarantees}
