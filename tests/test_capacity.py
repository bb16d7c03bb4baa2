import msgspec
import pytest

from passgate.capacity import sweep_page
from passgate.capacity.plan import CapacityDemand, plan_capacity
from passgate.capacity.plan_check import check_point
from passgate.cli import main
from passgate.emulator.parameters import load_deployment
from passgate.errors import InvalidRequest, SettingsError

ENGINE = load_deployment("olhar").engines.engine


def test_plan_agrees_with_a_saturated_engine():
    point = check_point(40.0, measured_s=40.0)
    assert point.measured_tokens_per_s > 0
    assert abs(point.ratio - 1.0) < 0.05


def test_plan_needs_more_for_more_load_and_less_with_caching():
    small = plan_capacity(ENGINE, CapacityDemand(requests_per_s=10.0))
    large = plan_capacity(ENGINE, CapacityDemand(requests_per_s=1000.0))
    cold = plan_capacity(ENGINE, CapacityDemand(requests_per_s=1000.0, cached_share=0.0))
    assert small.replicas < large.replicas < cold.replicas
    assert small.daemons <= large.daemons


def test_kv_memory_bounds_the_sequences():
    plan = plan_capacity(ENGINE, CapacityDemand(requests_per_s=1.0, prompt_tokens=30_000.0))
    assert plan.sequences_per_replica < ENGINE.max_running
    assert plan.kv_tokens <= ENGINE.kv_blocks * ENGINE.block_tokens


@pytest.mark.parametrize(
    "changes",
    [{"requests_per_s": 0.0}, {"output_tokens": -1.0}, {"cached_share": 1.5}, {"prompt_tokens": 1e6}],
)
def test_impossible_demand_is_a_typed_error(changes):
    with pytest.raises(InvalidRequest):
        plan_capacity(ENGINE, CapacityDemand(**{"requests_per_s": 1.0, **changes}))


def test_plan_capacity_command_prints_a_plan(capsys):
    main(["plan", "capacity", "--requests_per_s", "20", "--json"])
    assert '"replicas":' in capsys.readouterr().out


def sweep_entry(folder, name, site, *sizes, ok=True):
    days = [
        {
            "name": f"sweep-{size}",
            "used": size,
            "servers": 10 * size,
            "served": 0.9,
            "prices": [["machine-seconds", 40.0 * size, 0.1]]
            + [[price, 2.0 * 40.0 * size, 0.0] for price, _ in sweep_page.QUANTITIES.values()],
            "rules": {"DRAIN": 1} if size == 300 else {},
        }
        for size in sizes
    ]
    entry = {
        "id": name,
        "cmd": "sweep",
        "argv": [f"x/{site}.toml"],
        "ok": ok,
        "at": ["2026-01-02T03"],
        "days": days,
    }
    (folder / f"{name}.json").write_bytes(msgspec.json.encode(entry))


def test_tables_come_from_the_newest_whole_sweep_of_each_site(tmp_path):
    sweep_entry(tmp_path, "1", "olhar", 30, 100)
    sweep_entry(tmp_path, "2", "olhar", 30, 100, 300)
    sweep_entry(tmp_path, "3", "olhar", 30, ok=False)
    (tmp_path / "4.json").write_bytes(b'{"cmd":"run"}')
    sweeps = sweep_page.newest_sweeps(tmp_path)
    assert {site: entry.id for site, entry in sweeps.items()} == {"olhar": "2"}
    shown = sweep_page.table("olhar", sweeps["olhar"])
    assert "| calls to the log a second | 60 | 200 | 600 | 2.00 |" in shown
    assert "| rules broken | none | none | DRAIN 1 | |" in shown


def test_page_without_marks_is_refused_and_with_marks_keeps_its_prose():
    with pytest.raises(SettingsError):
        sweep_page.page_with("tables", "prose only")
    page = sweep_page.page_with("tables", f"before\n{sweep_page.BEGIN}\nold\n{sweep_page.END}\nafter\n")
    assert page == f"before\n{sweep_page.BEGIN}\n\ntables\n\n{sweep_page.END}\nafter\n"


def test_committed_page_follows_from_the_committed_journal(capsys):
    page = sweep_page.PAGE.read_text(encoding="utf-8")
    sweep_page.main(journal=str(sweep_page.PAGE.parents[1] / "journal"))
    assert sweep_page.page_with(capsys.readouterr().out.rstrip("\n"), page) == page
