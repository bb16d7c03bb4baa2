"""Specification of a planned stop, stepping the daemon's own state chart.

Two requests arrive at any time, run for any time, and the callers' view of the
daemon's readiness lags.  The daemon's life follows ``charts/daemon.yaml``; the
guards below are what the coroutine around the chart must ensure.

Properties: ``nothing_cut`` (no request is running when the process ends),
``no_new_work`` (nothing starts after the end of the announcement),
``no_early_refusal`` (nothing is refused before not-ready has spread) and
``roles_released`` (no role is held at the end).
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

from passgate.check.specification.kernel import Mutant, Specification, Step
from passgate.statecharts import Machine

REQUESTS = 2

ABSENT, RUNNING, ANSWERED, REFUSED = "absent", "running", "answered", "refused"


class StopState(NamedTuple):
    """State of the specification."""

    chart: str = "ready"
    requests: tuple[str, ...] = (ABSENT,) * REQUESTS
    news_spread: bool = False
    """Callers have seen that the daemon is not ready."""
    role_held: bool = True
    started_late: bool = False
    """Some request started after the announcement."""
    refused_early: bool = False
    """Some request was refused before the news had spread."""


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model."""

    def transitions(state: StopState) -> list[Step]:
        return [*_life(state, mutants), *_traffic(state, mutants)]

    return Protocol(
        name="planned_stop",
        candidate=False,
        fields=StopState._fields,
        initial=StopState(),
        transitions=transitions,
        invariants={
            "nothing_cut": lambda d: d["chart"] != "stopped" or RUNNING not in d["requests"],
            "no_new_work": lambda d: not d["started_late"],
            "no_early_refusal": lambda d: not d["refused_early"],
            "roles_released": lambda d: d["chart"] != "stopped" or not d["role_held"],
        },
        goal=lambda d: d["chart"] == "stopped",
    )


def _life(state: StopState, mutants: frozenset[str]) -> list[Step]:
    steps: list[Step] = []
    machine = Machine("daemon", state.chart)
    for event in ("log_lost", "log_back", "stop"):
        if machine.can(event):
            steps.append(_sent(state, event))
    if machine.within("announcing") and not state.news_spread:
        steps.append(("news_spreads", state._replace(news_spread=True)))
    if machine.can("announced") and (state.news_spread or "refuse_before_announced" in mutants):
        steps.append(_sent(state, "announced"))
    idle = RUNNING not in state.requests
    if machine.can("finished") and (idle or "finish_without_waiting" in mutants):
        steps.append(_sent(state, "finished"))
    if machine.within("handing_over"):
        steps.append(("release_role", state._replace(role_held=False)))
        if not state.role_held or "stop_without_release" in mutants:
            steps.append(_sent(state, "handed_over"))
    return steps


def _sent(state: StopState, event: str) -> Step:
    machine = Machine("daemon", state.chart)
    machine.send(event)
    return event, state._replace(chart=machine.state)


def _traffic(state: StopState, mutants: frozenset[str]) -> list[Step]:
    steps: list[Step] = []
    machine = Machine("daemon", state.chart)
    for index, request in enumerate(state.requests):
        if request == ABSENT and not machine.finished:
            steps.append((f"arrive({index})", _arrived(state, machine, index, mutants)))
        elif request == RUNNING and not machine.finished:
            steps.append((f"answer({index})", _with_request(state, index, ANSWERED)))
    return steps


def _arrived(state: StopState, machine: Machine, index: int, mutants: frozenset[str]) -> StopState:
    admits = machine.within("serving") or machine.within("announcing")
    if admits:
        return _with_request(state, index, RUNNING)
    if "new_work_while_draining" in mutants:
        return _with_request(state, index, RUNNING)._replace(started_late=True)
    refused = _with_request(state, index, REFUSED)
    return refused._replace(refused_early=state.refused_early or not state.news_spread)


def _with_request(state: StopState, index: int, value: str) -> StopState:
    requests = tuple(value if i == index else request for i, request in enumerate(state.requests))
    return state._replace(requests=requests)


PLANNED_STOP = Specification(
    name="planned_stop",
    bounds="1 daemon, 2 requests, 1 role, log lost and back any number of times",
    build=build,
    mutants=(
        Mutant(
            name="finish_without_waiting",
            mistake="the stop goes on while requests run",
            caught_by="nothing_cut",
        ),
        Mutant(
            name="new_work_while_draining",
            mistake="requests are admitted after the announcement",
            caught_by="no_new_work",
        ),
        Mutant(
            name="refuse_before_announced",
            mistake="refusing starts before not-ready has spread",
            caught_by="no_early_refusal",
        ),
        Mutant(
            name="stop_without_release",
            mistake="the process ends holding its roles",
            caught_by="roles_released",
        ),
    ),
)
