from pathlib import Path

import msgspec
import pytest

from passgate.errors import SettingsError
from passgate.lab.cli import GuaranteeViolated, LabCommands, _report_runs
from passgate.lab.compare import compare_runs
from passgate.lab.fault_sets import FAULT_SETS
from passgate.lab.measures import LatencySummary, RunMeasures
from passgate.lab.report import write_report
from passgate.lab.scenario import find_policy, load_scenario, scenario_names, scenario_parameters
from passgate.lab.virtual_run import run_scenario

SHORT_RUN_S = 6.0


def build_measures(**changes) -> RunMeasures:
    """Return the measures of a run without violations, with some fields changed."""
    no_latencies = LatencySummary.from_durations([])
    base = RunMeasures(
        scenario="s",
        policy="current",
        fault="calm",
        seed=1,
        duration_s=1.0,
        trainer_idle_share=0.5,
        steps_done=1,
        staleness_mean=1.0,
        staleness_p99=1.0,
        interactive=no_latencies,
        lot_time=no_latencies,
        samples_delivered=1,
        samples_lost=0,
        samples_doubled=0,
        samples_over_staleness=0,
        answers_wrong=0,
        refused=0,
        given_up=0,
        late_share=0.0,
        not_run_that_ran=0,
        goodput_tokens_per_s=10.0,
        violations=0,
    )
    return msgspec.structs.replace(base, **changes)


def test_same_seed_gives_the_same_measures_and_another_seed_does_not():
    scenario = load_scenario("olhar")
    first = run_scenario(scenario, "current", "calm", 1, SHORT_RUN_S)
    again = run_scenario(scenario, "current", "calm", 1, SHORT_RUN_S)
    other = run_scenario(scenario, "current", "calm", 2, SHORT_RUN_S)
    assert msgspec.json.encode(first) == msgspec.json.encode(again)
    assert msgspec.json.encode(first) != msgspec.json.encode(other)
    assert first.interactive.count > 0
    assert first.series[-1].samples_delivered > 0


def test_faults_change_a_run_and_violate_no_guarantee():
    scenario = load_scenario("huon")
    without_faults = run_scenario(scenario, "current", "calm", 1, SHORT_RUN_S)
    with_faults = run_scenario(scenario, "current", "mixed", 1, SHORT_RUN_S)
    assert msgspec.structs.replace(with_faults, fault="calm") != without_faults
    assert with_faults.violations == 0


def test_surge_multiplies_arrivals_by_each_streams_factor():
    normal = scenario_parameters(load_scenario("olhar")).arrivals
    surged = scenario_parameters(load_scenario("olhar-surge")).arrivals
    factors = [after.rate_per_s / before.rate_per_s for before, after in zip(normal, surged, strict=True)]
    assert factors == [stream.surge_factor for stream in normal]


def test_comparison_pairs_seeds_and_knows_which_measures_should_be_high():
    runs = [build_measures(seed=seed, trainer_idle_share=0.4, goodput_tokens_per_s=5.0) for seed in (1, 2)]
    runs += [build_measures(seed=seed, policy="fifo") for seed in (1, 2)]
    row_by_measure = {row.measure: row for row in compare_runs(runs, "current")}
    assert row_by_measure["trainer_idle_share"].ratio == pytest.approx(0.8)
    assert row_by_measure["trainer_idle_share"].verdict == "better"
    assert row_by_measure["goodput_tokens_per_s"].verdict == "worse"
    assert row_by_measure["late_share"].verdict == "even"


def test_plots_are_written_into_a_new_folder(tmp_path):
    runs = [run_scenario(load_scenario("olhar"), "current", "calm", 1, 6.0)]
    path = write_report(runs, str(tmp_path / "plots" / "run.svg"))
    assert path.read_text().lstrip().startswith("<?xml")


def test_violated_guarantee_raises_an_error_that_names_the_run():
    with pytest.raises(GuaranteeViolated) as raised:
        _report_runs([build_measures(violations=1)], as_json=True, plot_path="")
    assert raised.value.details["run"] == "s/current/calm/seed 1"


@pytest.mark.parametrize(
    "use_unknown_name",
    [
        lambda: load_scenario("nowhere"),
        lambda: find_policy("guess"),
        lambda: LabCommands().run("olhar", fault="meteor", duration_s=1.0, json=True),
        lambda: LabCommands().sweep("olhar", parameter="colour"),
    ],
)
def test_unknown_names_raise_settings_errors(use_unknown_name):
    with pytest.raises(SettingsError):
        use_unknown_name()


def test_every_fault_set_fits_every_committed_scenario():
    for name in scenario_names():
        parameters = scenario_parameters(load_scenario(name))
        for build in FAULT_SETS.values():
            build(parameters, ("a-1", "b-1", "c-1"), 100.0)


def test_results_page_contains_the_table_of_the_committed_comparison(capsys):
    comparison = Path(__file__).parents[1] / "measurements" / "lab-compare.jsonl"
    LabCommands().table(str(comparison))
    lines = capsys.readouterr().out.strip().splitlines()
    assert len(lines) > 10
    assert all(line.count("|") == lines[0].count("|") for line in lines)
    page = Path(__file__).parents[1] / "docs" / "design" / "lab-results.md"
    assert "\n".join(lines) in page.read_text(encoding="utf-8")


def test_table_of_a_missing_file_raises_a_settings_error():
    with pytest.raises(SettingsError):
        LabCommands().table("nowhere.jsonl")
