"""Every seeded mistake is caught by its property, and the small specifications hold."""

from __future__ import annotations

import pytest

from passgate.check.cli import CheckCommands, HistoryBroken, ModelBroken
from passgate.check.specification import kernel
from passgate.check.specification.catalogue import SPECIFICATIONS, select
from passgate.check.specification.kernel import Mutant, Specification, check, check_mutant
from passgate.errors import NotFound, VerificationFailed

MUTANTS = [(spec.name, mutant.name) for spec in SPECIFICATIONS.values() for mutant in spec.mutants]

EXHAUSTIVE_IN_TESTS = ["planned_stop", "leases", "leadership", "permits", "evacuation", "replica_lives"]
"""The others take longer; ``passgate check model`` checks them all."""


@pytest.mark.parametrize(("specification", "mutant"), MUTANTS)
def test_mutant_is_caught(specification, mutant):
    chosen = SPECIFICATIONS[specification]
    seeded = next(entry for entry in chosen.mutants if entry.name == mutant)
    result = check_mutant(chosen, seeded)
    assert result.failed() == [seeded.caught_by]
    assert result.properties[0].trace


@pytest.mark.parametrize("name", EXHAUSTIVE_IN_TESTS)
def test_specification_holds(name):
    result = check(SPECIFICATIONS[name])
    assert result.failed() == []
    assert result.exhaustive


def test_uncaught_mutant_is_an_error():
    spec = SPECIFICATIONS["planned_stop"]
    harmless = Mutant(name="nothing", mistake="none", caught_by="nothing_cut")
    with pytest.raises(VerificationFailed):
        check_mutant(spec, harmless)


def test_truncated_search_proves_nothing(monkeypatch):
    monkeypatch.setattr(kernel, "MAX_STATES", 50)
    with pytest.raises(kernel.SearchTruncated):
        check(SPECIFICATIONS["planned_stop"])


def test_command_fails_on_a_broken_property(monkeypatch, capsys):
    good = SPECIFICATIONS["planned_stop"]
    broken = Specification(
        name=good.name,
        bounds=good.bounds,
        build=lambda mutants: good.build(frozenset(["finish_without_waiting"])),
        mutants=(),
    )
    monkeypatch.setitem(SPECIFICATIONS, good.name, broken)
    with pytest.raises(ModelBroken):
        CheckCommands().model("planned_stop")
    assert "nothing_cut: stop" in capsys.readouterr().out


def test_unknown_specification_is_named():
    with pytest.raises(NotFound):
        select("nothing")


def test_history_command_fails_with_the_excerpt(tmp_path, capsys):
    file = tmp_path / "history.jsonl"
    file.write_text(
        '{"type":"backend_leaving","time_s":1.0,"replica_id":"e"}\n'
        '{"type":"backend_run_started","time_s":9.0,"request_id":"r","replica_id":"e"}\n'
    )
    with pytest.raises(HistoryBroken) as caught:
        CheckCommands().history(str(file))
    assert caught.value.details == {"promise": "leaving", "rule": "new_work"}
    assert capsys.readouterr().out.count('"type"') == 2
