"""A restarted replica under the same identifier: state of one incarnation must not apply to the next."""

import ast
import asyncio
import pathlib
from functools import partial

import pytest

from passgate.clock import run_virtual
from passgate.decisions import DecisionLog
from passgate.discovery.view import DiscoveryView, ReplicaUpdate
from passgate.eligibility.replica_info import ReplicaIncarnation, ReplicaInfo
from passgate.eligibility.topology import Topology
from passgate.emulator.shared_log import MemorySharedLog
from passgate.errors import BackendUnreachable, ExecutionStatus
from passgate.gateway.replica_state import DEFAULT_LATENCY_S, ReplicaQuery
from passgate.gateway.replica_table import ReplicaTable
from passgate.jobs.stall_detector import StallDetector
from passgate.platform.documents import decode_replica, decode_report
from passgate.quarantine.crash_quarantine import CrashQuarantine
from passgate.versions.loader import Loader, ReplicaReport, TargetVersions, read_incarnation
from passgate.versions.unconfirmed_orders import UNCONFIRMED_LIFETIME_S
from tests.leader_daemons import LeaderStub

QUERY = ReplicaQuery(services=frozenset({"s"}), model="m")
PACKAGE_ROOT = pathlib.Path(__file__).parent.parent / "passgate"
CHECKED_PACKAGES = [
    "sharedlog",
    "eligibility",
    "quarantine",
    "gateway",
    "discovery",
    "jobs",
    "versions",
    "duties",
]
KEYED_BY_IDENTIFIER = {
    "discovery/view.py",  # discovery has one entry per identifier, ordered by offset
    "discovery/relay.py",  # as above
    "discovery/relayed_list.py",  # as above
    "discovery/unusable_entries.py",  # keys of discovery entries, whatever they contain
    "eligibility/cold_replicas.py",  # an unreachable replica may return as another incarnation, and cold
    "eligibility/permits.py",  # a cold replica's limit counts the requests to all its incarnations
    "eligibility/permit_issuer.py",  # as above
    "eligibility/permit_client.py",  # as above
    "versions/unconfirmed_orders.py",  # a late order reaches later incarnations
}
"""Modules that key state by identifier on purpose."""


def make_info(start_ms=0, replica_id="r", **fields):
    defaults = {"service": "s", "address": "127.0.0.1:1", "zone": "z", "slots": 4}
    return ReplicaInfo(replica_id=replica_id, started_unix_ms=start_ms, **defaults | fields)


def make_table(*infos):
    replicas = ReplicaTable(Topology(zone="z"), seed=1)
    for each in infos:
        replicas.put(each)
    return replicas


def test_a_new_incarnation_starts_without_learned_state():
    replicas = make_table(make_info(10))
    old = replicas.get("r")
    old.in_flight = 3
    old.reported_versions["m"] = 7
    replicas.record_latency(old.incarnation, 2.0, now_s=0.0)
    replicas.record_load(old.incarnation, 4, now_s=0.0)
    old.record_refusal(now_s=0.0)
    replicas.eject(old.incarnation, now_s=0.0)
    replicas.put(make_info(20))
    new = replicas.get("r")
    assert new is not old
    assert (new.in_flight, new.load(0.0), new.weight_version("m")) == (0, 0.0, 0)
    assert new.expected_latency_s(0.0) == DEFAULT_LATENCY_S
    assert not new.is_probably_loading(0.0)
    assert replicas.choose(QUERY, now_s=0.0) is new


def test_late_records_of_an_old_incarnation_do_not_change_the_new_one():
    replicas = make_table(make_info(10))
    old = replicas.get("r")
    replicas.put(make_info(20))
    new = replicas.get("r")
    replicas.record_latency(old.incarnation, 2.0, now_s=0.0)
    replicas.record_load(old.incarnation, 4, now_s=0.0)
    replicas.health.record_failure(old.incarnation, 0.0, unreachable=True)
    replicas.eject(old.incarnation, now_s=0.0)
    assert replicas.find_incarnation(old.incarnation) is None
    assert not replicas.put(make_info(10, draining=True))
    assert replicas.get("r") is new and not new.info.draining
    assert replicas.choose(QUERY, now_s=0.0) is new
    assert new.load(0.0) == 0.0 and new.expected_latency_s(0.0) == DEFAULT_LATENCY_S


def test_health_of_old_incarnations_is_dropped():
    replicas = make_table(make_info(10))
    for start_ms in range(11, 50):
        replicas.health.record_failure(ReplicaIncarnation("r", start_ms - 1), 0.0)
        replicas.put(make_info(start_ms))
    assert len(replicas.health._record_by_replica) == 0


def test_exclusions_and_prompt_caches_of_an_old_incarnation_do_not_apply_to_the_new_one():
    replicas = make_table(make_info(20), make_info(20, "other"))
    excluding_old = ReplicaQuery(services=frozenset({"s"}), excluded=frozenset({ReplicaIncarnation("r", 10)}))
    assert {replicas.choose(excluding_old, now_s=0.0).incarnation.replica_id for _ in range(40)} == {
        "r",
        "other",
    }
    preferring_old = ReplicaQuery(services=frozenset({"s"}), preferred=ReplicaIncarnation("r", 10))
    assert {replicas.choose(preferring_old, now_s=0.0).incarnation.replica_id for _ in range(40)} == {
        "r",
        "other",
    }


def test_a_new_incarnation_has_not_sent_anything_yet():
    stall_detector = StallDetector()
    stall_detector.record_data(ReplicaIncarnation("r", 10), now_s=5.0)
    assert stall_detector.seems_stalled(ReplicaIncarnation("r", 20), since_s=4.0)


def test_without_a_start_time_a_replica_keeps_its_state():
    replicas = make_table(make_info())
    state = replicas.get("r")
    replicas.put(make_info(draining=True))
    assert replicas.get("r") is state and state.info.draining
    assert ReplicaIncarnation("r").to_text() == "r"


@pytest.mark.parametrize(
    "incarnation",
    [
        ReplicaIncarnation("r"),
        ReplicaIncarnation("r", 9),
        ReplicaIncarnation("a@1"),
        ReplicaIncarnation("a@1", 2),
    ],
)
def test_an_incarnation_is_parsed_from_its_text(incarnation):
    assert ReplicaIncarnation.from_text(incarnation.to_text()) == incarnation


@pytest.mark.parametrize("source", ["log", "relay"])
def test_a_late_entry_of_an_older_incarnation_is_ignored(source):
    async def main():
        replicas = ReplicaTable(Topology(zone="z"))
        view = DiscoveryView(replicas, DecisionLog("d", write=len))
        apply_late = view.apply if source == "log" else view.apply_relayed
        view.apply(ReplicaUpdate(replica_id="r", at=1, info=make_info(10)))
        view.apply(ReplicaUpdate(replica_id="r", at=2, info=make_info(20)))
        apply_late(ReplicaUpdate(replica_id="r", at=3, info=make_info(10, draining=True)))
        assert replicas.get("r").info == make_info(20)
        view.apply(ReplicaUpdate(replica_id="r", at=4))
        apply_late(ReplicaUpdate(replica_id="r", at=5, info=make_info(10)))
        assert replicas.get("r") is None
        view.apply(ReplicaUpdate(replica_id="r", at=6, info=make_info(30)))
        assert replicas.get("r").info == make_info(30)
        view.apply_list([make_info(10)], at=7)
        assert replicas.get("r").info == make_info(30)

    run_virtual(main())


def test_the_start_time_is_read_from_entries_and_reports():
    entry = b'{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready","born":12}'
    assert decode_replica("r", entry).incarnation == ReplicaIncarnation("r", 12)
    assert decode_report(b'{"seq":2,"born":12}').started_unix_ms == 12
    assert decode_report(b'{"seq":2}').is_from(ReplicaIncarnation("r", 12))


# --- load orders -----------------------------------------------------------------------


class ReplicaControlStub:
    """Answers with a settable report and records the orders."""

    def __init__(self):
        self.current_report = ReplicaReport(
            orders_taken=0, busy=False, model_versions={"m": 1}, started_unix_ms=10
        )
        self.orders = []
        self.unanswering = False

    async def report(self, replica_id, address):
        return self.current_report

    async def order(self, order):
        self.orders.append(order)
        if self.unanswering:
            raise BackendUnreachable("no answer", execution=ExecutionStatus.UNKNOWN)
        return 202


def make_loader(control, *infos):
    decisions = DecisionLog("d", write=len)
    replicas, targets = make_table(*infos), TargetVersions(decisions)
    targets.offer("m", 2)
    log, read_current_incarnation = MemorySharedLog().client("d"), partial(read_incarnation, control)
    guard = CrashQuarantine(log, "crashes", replicas.eject, decisions, read_current_incarnation).guard
    return replicas, Loader(targets, replicas, LeaderStub(), control, "d", {}, guard, decisions)


def make_report(start_ms, orders_taken, version=1):
    return ReplicaReport(
        orders_taken=orders_taken, busy=False, model_versions={"m": version}, started_unix_ms=start_ms
    )


def with_running_loader(test):
    def run():
        async def main():
            control = ReplicaControlStub()
            replicas, loader = make_loader(control, make_info(10, model_versions={"m": 1}))
            running = asyncio.create_task(loader.run())
            await test(control, replicas)
            running.cancel()

        run_virtual(main())

    run.__name__ = test.__name__
    return run


@with_running_loader
async def test_a_report_of_another_incarnation_causes_no_order_and_sets_no_version(control, replicas):
    control.current_report = make_report(start_ms=20, orders_taken=4, version=9)
    await asyncio.sleep(2.0)
    assert control.orders == []
    assert replicas.get("r").weight_version("m") == 1
    replicas.put(make_info(20, model_versions={"m": 1}))
    control.current_report = make_report(start_ms=20, orders_taken=0)
    await asyncio.sleep(0.5)
    assert [order.expected for order in control.orders] == [0]


@with_running_loader
async def test_a_new_incarnation_gets_an_order_while_the_load_of_the_old_one_is_awaited(control, replicas):
    control.current_report = make_report(start_ms=10, orders_taken=5)
    await asyncio.sleep(0.5)
    assert [order.expected for order in control.orders] == [5]
    replicas.put(make_info(20, model_versions={"m": 1}))
    control.current_report = make_report(start_ms=20, orders_taken=0)
    await asyncio.sleep(0.5)
    assert [order.expected for order in control.orders] == [5, 0]


@with_running_loader
async def test_an_unconfirmed_order_delays_the_conflicting_order_to_the_next_incarnation(control, replicas):
    control.unanswering = True
    control.current_report = make_report(start_ms=10, orders_taken=1)
    await asyncio.sleep(0.3)
    assert control.orders[-1].expected == 1
    control.unanswering, sent = False, len(control.orders)
    replicas.put(make_info(20, model_versions={"m": 1}))
    control.current_report = make_report(start_ms=20, orders_taken=0)
    await asyncio.sleep(UNCONFIRMED_LIFETIME_S - 2.0)
    assert len(control.orders) == sent
    await asyncio.sleep(3.0)
    assert control.orders[-1].expected == 0


# --- state keyed by identifier ---------------------------------------------------------


def is_replica_identifier(node):
    """Return whether an expression is a replica's bare identifier."""
    name = getattr(node, "attr", getattr(node, "id", ""))
    return name in {"replica_id", "server_id"}


def lines_with_identifier_keys(tree):
    """Yield the lines that use an identifier as a key: d[i], d.get(i), i in d, s.add(i), {i: ...}."""
    for node in ast.walk(tree):
        keys = []
        if isinstance(node, ast.Subscript):
            keys = [node.slice]
        elif isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
            has_key_argument = node.func.attr in {
                "get",
                "pop",
                "setdefault",
                "add",
                "discard",
                "remove",
                "append",
            }
            keys = node.args[:1] if has_key_argument else []
        elif isinstance(node, ast.Compare):
            is_member = isinstance(node.ops[0], ast.In | ast.NotIn)
            keys = [node.left] if is_member else [node.left, *node.comparators]
        elif isinstance(node, ast.DictComp):
            keys = [node.key]
        elif isinstance(node, ast.SetComp):
            keys = [node.elt]
        elif isinstance(node, ast.Dict | ast.Set):
            keys = [key for key in getattr(node, "keys", getattr(node, "elts", [])) if key is not None]
        if any(is_replica_identifier(key) for key in keys):
            yield node.lineno


def lines_with_identifier_parameters(tree):
    """Yield the lines of parameters that are identifiers and so can't distinguish incarnations."""
    for node in ast.walk(tree):
        if isinstance(node, ast.arg) and node.arg == "replica_id":
            yield node.lineno


IDENTIFIER_PARAMETERS = {
    "gateway/replica_table.py": 2,  # entries that discovery lists or has removed under an identifier
    "versions/loader.py": 1,  # reads the report at an address, which states the incarnation
}
MAX_KEYS_IN_REPLICA_TABLE = 6
"""Uses of the replica table's index from identifier to newest incarnation."""


def test_state_is_keyed_by_incarnation_not_by_identifier():
    key_lines_by_file, parameter_count_by_file = {}, {}
    for package in CHECKED_PACKAGES:
        for path in (PACKAGE_ROOT / package).rglob("*.py"):
            name = str(path.relative_to(PACKAGE_ROOT))
            tree = ast.parse(path.read_text(encoding="utf-8"))
            if name not in KEYED_BY_IDENTIFIER:
                key_lines_by_file |= (
                    {name: lines} if (lines := list(lines_with_identifier_keys(tree))) else {}
                )
                parameter_count_by_file |= (
                    {name: len(lines)} if (lines := list(lines_with_identifier_parameters(tree))) else {}
                )
    table_lines = key_lines_by_file.pop("gateway/replica_table.py", [])
    assert key_lines_by_file == {}
    assert len(table_lines) <= MAX_KEYS_IN_REPLICA_TABLE
    assert (
        parameter_count_by_file.pop("discovery/records.py", 0) <= 1
    )  # the part of the list that holds an identifier
    assert parameter_count_by_file == IDENTIFIER_PARAMETERS
