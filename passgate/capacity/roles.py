"""What each role of a daemon costs at the size aimed at, from measured lines.

Core shares are of one core, bytes count both directions.
"""

from __future__ import annotations

import enum
from typing import Any

import msgspec

from passgate.capacity.measured import Measured
from passgate.capacity.target import SECONDS_PER_DAY, Assumptions, TargetSize
from passgate.routing.policies import POLICIES
from passgate.server.daemon import MACHINE_LIST_PERIOD_S

_US_PER_S = 1e6
_MEGABYTE = 1e6


class RoleKind(enum.Enum):
    """Which limit a role counts against."""

    CONTROL = "control"
    """On every daemon, whatever the callers do: counts against the limits of control."""
    LEADER = "leader"
    """Control that only the holder of a role pays, on top of the above."""
    LEADER_OF_ALL = "leader_of_all"
    """The same when one daemon leads a whole pool; for pools that are smaller."""
    WORK = "work"
    """Grows with the callers' own requests and samples."""


class RoleCost(msgspec.Struct, frozen=True, kw_only=True):
    """One role's cost in one daemon."""

    role: str
    kind: RoleKind
    state_bytes: float
    messages_per_s: float
    bytes_per_s: float
    core_share: float
    worked: str
    """How the figures follow from the slopes."""
    mechanism: str
    command: str


def role_costs(measured: Measured, target: TargetSize, assumed: Assumptions) -> list[RoleCost]:
    """Return the cost of every role."""
    return [
        _membership(measured, target),
        _configuration(measured, target, assumed),
        _load_reports(measured, target),
        _machine_list(measured, target),
        _leases(measured, target),
        _rollout(measured, target, by_zone=True),
        _rollout(measured, target, by_zone=False),
        _lot_keeper(measured, target),
        _claims(measured, target, assumed),
        _requests(measured, target, assumed),
    ]


def _membership(measured: Measured, target: TargetSize) -> RoleCost:
    busy = "busy"
    wire = measured.control_line("wire_bytes_per_s", busy)
    cpu = measured.control_line("cpu_share", busy)
    memory = measured.control_line("memory_mb", busy)
    messages = measured.control_line("messages_per_s", busy)
    daemons = target.daemons
    return RoleCost(
        role="membership and news",
        kind=RoleKind.CONTROL,
        state_bytes=memory.at(daemons) * 2**20,
        messages_per_s=messages.at(daemons),
        bytes_per_s=wire.at(daemons),
        core_share=cpu.at(daemons),
        worked=(
            f"{wire.intercept:.0f} + {wire.slope:.3f} B/s a daemon; "
            f"{cpu.intercept * 100:.3f} % + {cpu.slope * 100:.6f} % a daemon; "
            "ten times the ordinary day's changes and restarts"
        ),
        mechanism="SWIM probes, suspicion and refutation, piggybacked news, digests before full tables",
        command="python -m passgate.lab.control_scale",
    )


def _configuration(measured: Measured, target: TargetSize, assumed: Assumptions) -> RoleCost:
    record = measured.record("object_put")
    rate = target.configuration_changes_per_day / SECONDS_PER_DAY + target.versions_per_s()
    objects = assumed.configuration_objects
    fold_us, size = record.fold_us.at(objects), record.log_bytes.at(objects)
    return RoleCost(
        role="configuration reader",
        kind=RoleKind.CONTROL,
        state_bytes=record.memory_bytes.at(objects) * objects,
        messages_per_s=rate,
        bytes_per_s=rate * size,
        core_share=rate * fold_us / _US_PER_S,
        worked=(
            f"{rate:.4f} records/s (670 a day and {target.trainers} versions per "
            f"{target.version_interval_s:.0f} s) × {fold_us:.0f} µs and {size:.0f} B at {objects:,} objects"
        ),
        mechanism="one `config` stream, long polls, snapshots, pulls from peers",
        command="python -m passgate.state.cost",
    )


def _load_reports(measured: Measured, target: TargetSize) -> RoleCost:
    rate = POLICIES["current"].reports_per_s
    wire = measured.client_value("load_report", "request_bytes")
    wire += measured.client_value("load_report", "answer_bytes")
    call_us = measured.client_value("request_repeat", "cpu_us")
    fold_us = measured.routing_line("report_us").at(target.replicas)
    state = measured.routing_line("state_bytes").at(target.replicas)
    index = measured.routing_line("prefix_index_bytes").at(target.replicas)
    return RoleCost(
        role="routing state",
        kind=RoleKind.CONTROL,
        state_bytes=state + index,
        messages_per_s=2 * rate,
        bytes_per_s=rate * wire,
        core_share=rate * (call_us + fold_us) / _US_PER_S,
        worked=(
            f"{rate:g} reports/s × {wire:.0f} B and {call_us + fold_us:.0f} µs, whatever the number of "
            f"replicas; {state / _MEGABYTE:.2f} MB directory at {target.replicas:,} replicas and "
            f"{index / _MEGABYTE:.1f} MB prefix index"
        ),
        mechanism="rendezvous subset, bounded report rate, own in-flight work between reports",
        command="python -m passgate.routing.cost; python -m passgate.capacity.load_report_wire",
    )


def _machine_list(measured: Measured, target: TargetSize) -> RoleCost:
    machines = target.daemons + target.replicas
    reads = 1.0 / MACHINE_LIST_PERIOD_S
    changes = 2 * target.restarts_per_day / SECONDS_PER_DAY
    whole = measured.client_line("machine_list", "machines", "whole_bytes").at(machines)
    unchanged = measured.client_value("machine_list", "unchanged_bytes")
    call_us = measured.client_value("request_repeat", "cpu_us")
    merge_us = measured.routing_line("list_us").at(target.replicas)
    return RoleCost(
        role="machine list reader",
        kind=RoleKind.CONTROL,
        state_bytes=whole,
        messages_per_s=2 * reads,
        bytes_per_s=reads * unchanged + changes * whole,
        core_share=reads * (call_us + merge_us) / _US_PER_S,
        worked=(
            f"{reads:g} conditional reads/s × {unchanged:.0f} B and {call_us + merge_us:.0f} µs, and "
            f"{whole / 1e3:.0f} kB at each of {changes:.4f} changes/s (a restart is a leave and a return)"
        ),
        mechanism="conditional reads by entity tag; the merged view keeps the most cautious word",
        command="python -m passgate.capacity.machine_list_wire; python -m passgate.routing.cost",
    )


def _leases(measured: Measured, target: TargetSize) -> RoleCost:
    record = measured.record("lease")
    roles = target.trainers * target.zones
    rate = 2 * target.restarts_per_day / SECONDS_PER_DAY
    fold_us, size = record.fold_us.at(roles), record.log_bytes.at(roles)
    return RoleCost(
        role="lease reader",
        kind=RoleKind.CONTROL,
        state_bytes=record.memory_bytes.at(roles) * roles,
        messages_per_s=rate,
        bytes_per_s=rate * size,
        core_share=rate * fold_us / _US_PER_S,
        worked=f"at most {rate:.4f} records/s (each restart gives up and takes one role), {roles} roles",
        mechanism="leases without renewal on the log, ended by membership, fenced by epoch",
        command="python -m passgate.state.cost",
    )


def _rollout(measured: Measured, target: TargetSize, *, by_zone: bool) -> RoleCost:
    result = largest_rollout(measured, by_zone=by_zone)
    leaders = target.zones if by_zone else 1
    return RoleCost(
        role="rollout leader of one zone" if by_zone else "rollout leader of the whole pool",
        kind=RoleKind.LEADER if by_zone else RoleKind.LEADER_OF_ALL,
        state_bytes=0.0,
        messages_per_s=result["messages"] / leaders / target.version_interval_s,
        bytes_per_s=result["bytes_per_s_of_leader"],
        core_share=result["core_share_of_leader"],
        worked=(
            f"{result['messages']:,} messages in all ({leaders} leading) for "
            f"{result['case']['replicas']:,} replicas every {target.version_interval_s:.0f} s; "
            f"all on the new version {result['seconds_to_all']:.2f} s after publication "
            "(virtual time, assumed sizes and rates)"
        ),
        mechanism="fenced leader per group of engines, staged weights, engine-to-engine spreading",
        command="python -m passgate.rollout.scale",
    )


def largest_rollout(measured: Measured, *, by_zone: bool) -> dict[str, Any]:
    """Return the result of the largest rollout without a fault."""
    results = [
        row
        for row in measured.rollout
        if "case" in row and (row["case"]["fault"], row["case"]["by_zone"]) == ("none", by_zone)
    ]
    return max(results, key=lambda row: row["case"]["replicas"])


def _lot_keeper(measured: Measured, target: TargetSize) -> RoleCost:
    step = measured.lot_step(target.samples_per_step)
    rate = target.samples_per_lot_s()
    return RoleCost(
        role="lot keeper and reader (one lot)",
        kind=RoleKind.WORK,
        state_bytes=step["memory_bytes_per_slot"] * target.samples_per_step,
        messages_per_s=rate,
        bytes_per_s=2 * rate * step["log_bytes_per_sample"],
        core_share=rate * step["cpu_us_per_sample"] / _US_PER_S,
        worked=(
            f"{rate:.1f} samples/s × {step['cpu_us_per_sample']:.0f} µs; "
            f"{step['log_bytes_per_sample']:.0f} B of log each, appended and read back; "
            f"{step['memory_bytes_per_slot']:.0f} B a slot × "
            f"{target.samples_per_step:,}; samples of {step['sample_tokens']} tokens"
        ),
        mechanism="one stream per lot, keeper under an epoch, first commit wins, hand-over before bytes",
        command="python -m passgate.capacity.lot_step",
    )


def _claims(measured: Measured, target: TargetSize, assumed: Assumptions) -> RoleCost:
    record = measured.record("claim")
    follower = measured.state_value("follower", "memory_bytes")
    rate = target.requests_per_daemon_s() * assumed.not_repeatable_share
    fold_us, size = record.fold_us.at(0), record.log_bytes.at(0)
    proposal_us = measured.state_value("proposal", "proposal_us", concurrent=1)
    held = rate * assumed.claims_held_s
    return RoleCost(
        role="claims",
        kind=RoleKind.WORK,
        state_bytes=held * (follower + record.memory_bytes.at(0)),
        messages_per_s=2 * rate,
        bytes_per_s=2 * 2 * rate * size,
        core_share=2 * rate * (fold_us + proposal_us) / _US_PER_S,
        worked=(
            f"{rate:.2f} claims/s ({assumed.not_repeatable_share:.0%} of requests), two records each, "
            f"appended and read back; {held:.0f} streams held"
        ),
        mechanism="one stream per key: no daemon reads the claims of others",
        command="python -m passgate.state.cost",
    )


def _requests(measured: Measured, target: TargetSize, assumed: Assumptions) -> RoleCost:
    overhead = measured.overhead[-1]
    requests = target.requests_per_daemon_s()
    tokens = target.tokens_per_daemon_s()
    open_streams = requests * assumed.mean_request_s
    request_share = requests / overhead["requests_per_core_s"]
    token_share = tokens / overhead["tokens_per_core_s"]
    return RoleCost(
        role="caller front and dispatch",
        kind=RoleKind.WORK,
        state_bytes=open_streams * overhead["memory_per_open_stream_bytes"],
        messages_per_s=2 * requests + 2 * tokens / assumed.tokens_per_piece,
        bytes_per_s=2 * tokens * overhead["bytes_per_token"],
        core_share=request_share + token_share,
        worked=(
            f"{requests:g} requests/s ÷ {overhead['requests_per_core_s']:.0f} a core-second + "
            f"{tokens:.0f} tokens/s ÷ {overhead['tokens_per_core_s']:.0f} a core-second; "
            f"{open_streams:.0f} open streams"
        ),
        mechanism="any daemon serves any request; one loop a daemon",
        command="passgate overhead",
    )
