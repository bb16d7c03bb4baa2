"""Each mutant violates its property, and the specifications with few states hold."""

from __future__ import annotations

import pytest

from passgate.check.cli import CheckCommands, HistoryBroken, ModelBroken
from passgate.check.specification import model_checker
from passgate.check.specification.catalogue import SPECIFICATIONS, select_specifications
from passgate.check.specification.model_checker import (
    Mutant,
    Specification,
    check_mutant,
    check_specification,
)
from passgate.errors import NotFound, VerificationFailed

MUTANT_NAMES = [
    (specification.name, mutant.name)
    for specification in SPECIFICATIONS.values()
    for mutant in specification.mutants
]

CHECKED_SPECIFICATIONS = ["planned_stop", "leases", "leadership", "permits", "evacuation", "replica_lives"]
"""The specifications that are quick to check; ``passgate check model`` checks all."""


@pytest.mark.parametrize(("specification_name", "mutant_name"), MUTANT_NAMES)
def test_mutant_is_caught(specification_name, mutant_name):
    specification = SPECIFICATIONS[specification_name]
    mutant = next(mutant for mutant in specification.mutants if mutant.name == mutant_name)
    result = check_mutant(specification, mutant)
    assert result.violated_properties() == [mutant.caught_by]
    assert result.properties[0].trace


@pytest.mark.parametrize("name", CHECKED_SPECIFICATIONS)
def test_specification_holds(name):
    result = check_specification(SPECIFICATIONS[name])
    assert result.violated_properties() == []
    assert result.exhaustive


def test_uncaught_mutant_is_an_error():
    specification = SPECIFICATIONS["planned_stop"]
    harmless = Mutant(name="nothing", mistake="none", caught_by="nothing_cut")
    with pytest.raises(VerificationFailed):
        check_mutant(specification, harmless)


def test_truncated_search_is_an_error(monkeypatch):
    monkeypatch.setattr(model_checker, "MAX_STATES", 50)
    with pytest.raises(model_checker.SearchTruncated):
        check_specification(SPECIFICATIONS["planned_stop"])


def test_command_fails_on_a_violated_property(monkeypatch, capsys):
    specification = SPECIFICATIONS["planned_stop"]
    violating = Specification(
        name=specification.name,
        bounds=specification.bounds,
        build=lambda mutants: specification.build(frozenset(["finish_without_waiting"])),
        mutants=(),
    )
    monkeypatch.setitem(SPECIFICATIONS, specification.name, violating)
    with pytest.raises(ModelBroken):
        CheckCommands().model("planned_stop")
    assert "nothing_cut: stop" in capsys.readouterr().out


def test_unknown_specification_is_not_found():
    with pytest.raises(NotFound):
        select_specifications("nothing")


def test_history_command_prints_the_excerpt_and_fails(tmp_path, capsys):
    file = tmp_path / "history.jsonl"
    file.write_text(
        '{"type":"backend_leaving","time_s":1.0,"replica_id":"e"}\n'
        '{"type":"backend_run_started","time_s":9.0,"request_id":"r","replica_id":"e"}\n'
    )
    with pytest.raises(HistoryBroken) as caught:
        CheckCommands().history(str(file))
    assert caught.value.details == {"promise": "leaving", "rule": "new_work"}
    assert capsys.readouterr().out.count('"type"') == 2
