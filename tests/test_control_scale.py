from pathlib import Path

import msgspec

from passgate.clock import new_virtual_loop
from passgate.lab import control_cost, control_faults
from passgate.lab.control_records import ControlCost, Percentiles, Result
from passgate.lab.control_report import BEGIN, END, read_results, report, with_tables


def in_virtual_time(coroutine):
    loop = new_virtual_loop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


def test_cost_of_a_small_cluster_stays_within_the_letter_s_limits():
    cost = in_virtual_time(control_cost.measure_cost(6, 20.0, "busy", seed=1))
    assert 0 < cost.sent_bytes_per_s + cost.received_bytes_per_s < 5_000
    assert cost.false_deaths == 0


def test_same_seed_gives_the_same_traffic():
    def traffic():
        cost = in_virtual_time(control_cost.measure_cost(4, 20.0, "busy", seed=2))
        return (cost.sent_bytes_per_s, cost.received_bytes_per_s, cost.messages_per_s)

    assert traffic() == traffic()


def test_change_is_in_force_after_a_zone_cut_while_the_zone_can_not_read_the_log():
    outcome = in_virtual_time(control_faults.configuration_in_force(6, 1, "zone_cut_log_outage"))
    assert outcome.missing == 0
    assert outcome.went_back == 0
    assert outcome.everywhere.maximum_s < 19.0
    assert outcome.pulls > 0


def test_loss_of_a_zone_is_known_to_every_survivor():
    outcome = in_virtual_time(control_faults.failure_known(9, 1, zone=True))
    assert outcome.failed == 3
    assert outcome.unnoticed == 0


def test_percentiles_take_the_upper_rank():
    times = Percentiles.of([float(number) for number in range(1, 101)])
    assert (times.p50_s, times.p99_s, times.maximum_s) == (50.0, 100.0, 100.0)
    assert Percentiles.of([]).count == 0


def test_lines_of_a_scale_run_become_tables_in_the_page():
    cost = in_virtual_time(control_cost.measure_cost(3, 5.0, "calm", seed=1))
    line = msgspec.json.encode(cost)
    assert msgspec.json.decode(line, type=Result) == cost
    page = with_tables(f"before {BEGIN} old {END} after", [cost])
    assert page.startswith("before ") and page.endswith(" after") and " old " not in page
    assert with_tables(page, [cost]) == page
    assert f"| 3 | calm | hollow | {cost.sent_bytes_per_s:.0f} |" in report([cost])


def test_fit_finds_the_line():
    def cost(daemons):
        return ControlCost(
            load="calm",
            transport="memory",
            daemons=daemons,
            zones=3,
            seconds=1.0,
            sent_bytes_per_s=100.0 + 2 * daemons,
            received_bytes_per_s=0.0,
            wire_bytes_per_s=0.0,
            busiest_bytes_per_s=0.0,
            messages_per_s=0.0,
            connections_per_s=0.0,
            cpu_share=0.0,
            memory_mb=0.0,
            false_deaths=0,
        )

    line = control_cost.fit([cost(size) for size in (3, 30, 120)], "calm")[0]
    assert (line.measure, round(line.intercept), round(line.per_daemon)) == ("sent_bytes_per_s", 100, 2)


def test_tables_of_the_page_are_those_of_the_measurements():
    root = Path(__file__).parent.parent
    results = read_results(str(root / "measurements" / "control-scale.jsonl"))
    page = (root / "docs" / "design" / "membership.md").read_text(encoding="utf-8")
    assert with_tables(page, results) == page


def test_measured_cost_at_full_size_is_within_the_letter_s_limits():
    root = Path(__file__).parent.parent
    results = read_results(str(root / "measurements" / "control-scale.jsonl"))
    full = [row for row in results if isinstance(row, ControlCost) and row.daemons == 420]
    assert {row.load for row in full} == {"calm", "busy"}
    assert all(row.wire_bytes_per_s < 5_000 and row.cpu_share < 0.011 for row in full)
