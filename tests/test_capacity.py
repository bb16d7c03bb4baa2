import msgspec
import pytest

from passgate.capacity import sweep_page
from passgate.capacity.plan import CapacityDemand, plan_capacity
from passgate.capacity.plan_check import compare_with_engine
from passgate.cli import main
from passgate.emulator.parameters import load_deployment
from passgate.errors import InvalidRequest, SettingsError

ENGINE = load_deployment("olhar").engines.engine


def test_plan_agrees_with_a_saturated_engine():
    comparison = compare_with_engine(40.0, measured_s=40.0)
    assert comparison.measured_tokens_per_s > 0
    assert abs(comparison.ratio - 1.0) < 0.05


def test_plan_needs_more_replicas_for_more_load_and_fewer_with_prefix_caches():
    small_load = plan_capacity(ENGINE, CapacityDemand(requests_per_s=10.0))
    large_load = plan_capacity(ENGINE, CapacityDemand(requests_per_s=1000.0))
    without_cache = plan_capacity(ENGINE, CapacityDemand(requests_per_s=1000.0, cached_share=0.0))
    assert small_load.replicas < large_load.replicas < without_cache.replicas
    assert small_load.daemons <= large_load.daemons


def test_kv_memory_limits_the_concurrent_sequences():
    plan = plan_capacity(ENGINE, CapacityDemand(requests_per_s=1.0, prompt_tokens=30_000.0))
    assert plan.sequences_per_replica < ENGINE.max_running
    assert plan.kv_tokens <= ENGINE.kv_blocks * ENGINE.block_tokens


@pytest.mark.parametrize(
    "changes",
    [{"requests_per_s": 0.0}, {"output_tokens": -1.0}, {"cached_share": 1.5}, {"prompt_tokens": 1e6}],
)
def test_impossible_demand_is_refused(changes):
    with pytest.raises(InvalidRequest):
        plan_capacity(ENGINE, CapacityDemand(**{"requests_per_s": 1.0, **changes}))


def test_plan_capacity_command_prints_a_plan(capsys):
    main(["plan", "capacity", "--requests_per_s", "20", "--json"])
    assert '"replicas":' in capsys.readouterr().out


def write_sweep_entry(folder, entry_id, deployment, *daemon_counts, ok=True):
    """Write a journal entry of a sweep in which each quantity is 2 per second and daemon."""
    days = [
        {
            "name": f"sweep-{daemons}",
            "used": daemons,
            "servers": 10 * daemons,
            "served": 0.9,
            "prices": [["machine-seconds", 40.0 * daemons, 0.1]]
            + [[price, 2.0 * 40.0 * daemons, 0.0] for price, _ in sweep_page.PRICE_BY_QUANTITY.values()],
            "rules": {"DRAIN": 1} if daemons == 300 else {},
        }
        for daemons in daemon_counts
    ]
    entry = {
        "id": entry_id,
        "cmd": "sweep",
        "argv": [f"x/{deployment}.toml"],
        "ok": ok,
        "at": ["2026-01-02T03"],
        "days": days,
    }
    (folder / f"{entry_id}.json").write_bytes(msgspec.json.encode(entry))


def test_tables_come_from_the_newest_successful_sweep_of_each_deployment(tmp_path):
    write_sweep_entry(tmp_path, "1", "olhar", 30, 100)
    write_sweep_entry(tmp_path, "2", "olhar", 30, 100, 300)
    write_sweep_entry(tmp_path, "3", "olhar", 30, ok=False)
    (tmp_path / "4.json").write_bytes(b'{"cmd":"run"}')
    sweep_by_deployment = sweep_page.newest_sweep_by_deployment(tmp_path)
    assert {deployment: entry.id for deployment, entry in sweep_by_deployment.items()} == {"olhar": "2"}
    table = sweep_page.format_deployment("olhar", sweep_by_deployment["olhar"])
    assert "| calls to the log a second | 60 | 200 | 600 | 2.00 |" in table
    assert "| rules broken | none | none | DRAIN 1 | |" in table


def test_tables_are_replaced_between_the_marks_only_and_a_page_without_marks_is_refused():
    with pytest.raises(SettingsError):
        sweep_page.replace_tables("tables", "prose only")
    page = sweep_page.replace_tables(
        "tables", f"before\n{sweep_page.TABLES_BEGIN}\nold\n{sweep_page.TABLES_END}\nafter\n"
    )
    assert page == f"before\n{sweep_page.TABLES_BEGIN}\n\ntables\n\n{sweep_page.TABLES_END}\nafter\n"


def test_committed_page_equals_the_one_generated_from_the_committed_journal(capsys):
    page = sweep_page.CAPACITY_PAGE.read_text(encoding="utf-8")
    sweep_page.main(journal=str(sweep_page.CAPACITY_PAGE.parents[1] / "journal"))
    assert sweep_page.replace_tables(capsys.readouterr().out.rstrip("\n"), page) == page
