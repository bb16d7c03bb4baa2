"""Specification of graceful shutdown on the daemon's own state chart, ``charts/daemon.yaml``.

Requests arrive and end at any time, and callers see only after a while that the daemon is not ready.  The
model sends the events of the chart under the conditions that the daemon must ensure: requests are refused
only once callers have had time to see that, and the process ends only after all requests have been answered
and its role has been released.  The daemon's time limits for this are not modelled.

Invariants:

- ``nothing_cut``: no request is running when the process ends;
- ``no_new_work``: no request starts after the notice period;
- ``no_early_refusal``: no request is refused before callers have seen that the daemon is not ready;
- ``roles_released``: the daemon holds no role when the process ends.

Liveness: from every state, the process can end.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

from passgate.check.specification.model_checker import Action, Mutant, Specification
from passgate.statecharts import Machine

REQUEST_COUNT = 2

ABSENT, RUNNING, ANSWERED, REFUSED = "absent", "running", "answered", "refused"


class ShutdownModelState(NamedTuple):
    """State of the model; initially the daemon is ready and holds its role."""

    chart_state: str = "ready"
    """State of the daemon's state chart."""
    requests: tuple[str, ...] = (ABSENT,) * REQUEST_COUNT
    not_ready_visible: bool = False
    """Whether callers have seen that the daemon is not ready."""
    role_held: bool = True
    started_late: bool = False
    """Whether a request has started after the notice period."""
    refused_early: bool = False
    """Whether a request was refused before callers had seen that the daemon was not ready."""


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model with the named mutants applied."""

    def transitions(state: ShutdownModelState) -> list[Action]:
        return [*_lifecycle_actions(state, mutants), *_request_actions(state, mutants)]

    return Protocol(
        name="planned_stop",
        candidate=False,
        fields=ShutdownModelState._fields,
        initial=ShutdownModelState(),
        transitions=transitions,
        invariants={
            "nothing_cut": lambda fields: (
                fields["chart_state"] != "stopped" or RUNNING not in fields["requests"]
            ),
            "no_new_work": lambda fields: not fields["started_late"],
            "no_early_refusal": lambda fields: not fields["refused_early"],
            "roles_released": lambda fields: fields["chart_state"] != "stopped" or not fields["role_held"],
        },
        goal=lambda fields: fields["chart_state"] == "stopped",
    )


def _lifecycle_actions(state: ShutdownModelState, mutants: frozenset[str]) -> list[Action]:
    actions: list[Action] = []
    machine = Machine("daemon", state.chart_state)
    for event in ("log_lost", "log_back", "stop"):
        if machine.can(event):
            actions.append(_send_event(state, event))
    if machine.within("announcing") and not state.not_ready_visible:
        actions.append(("news_spreads", state._replace(not_ready_visible=True)))
    if machine.can("announced") and (state.not_ready_visible or "refuse_before_announced" in mutants):
        actions.append(_send_event(state, "announced"))
    no_request_running = RUNNING not in state.requests
    if machine.can("finished") and (no_request_running or "finish_without_waiting" in mutants):
        actions.append(_send_event(state, "finished"))
    if machine.within("handing_over"):
        actions.append(("release_role", state._replace(role_held=False)))
        if not state.role_held or "stop_without_release" in mutants:
            actions.append(_send_event(state, "handed_over"))
    return actions


def _send_event(state: ShutdownModelState, event: str) -> Action:
    machine = Machine("daemon", state.chart_state)
    machine.send(event)
    return event, state._replace(chart_state=machine.state)


def _request_actions(state: ShutdownModelState, mutants: frozenset[str]) -> list[Action]:
    actions: list[Action] = []
    machine = Machine("daemon", state.chart_state)
    for index, request in enumerate(state.requests):
        if request == ABSENT and not machine.finished:
            actions.append((f"arrive({index})", _arrive(state, machine, index, mutants)))
        elif request == RUNNING and not machine.finished:
            actions.append((f"answer({index})", _with_request(state, index, ANSWERED)))
    return actions


def _arrive(
    state: ShutdownModelState, machine: Machine, index: int, mutants: frozenset[str]
) -> ShutdownModelState:
    is_admitted = machine.within("serving") or machine.within("announcing")
    if is_admitted:
        return _with_request(state, index, RUNNING)
    if "new_work_while_draining" in mutants:
        return _with_request(state, index, RUNNING)._replace(started_late=True)
    refused = _with_request(state, index, REFUSED)
    return refused._replace(refused_early=state.refused_early or not state.not_ready_visible)


def _with_request(state: ShutdownModelState, index: int, status: str) -> ShutdownModelState:
    requests = tuple(status if i == index else request for i, request in enumerate(state.requests))
    return state._replace(requests=requests)


GRACEFUL_SHUTDOWN = Specification(
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
