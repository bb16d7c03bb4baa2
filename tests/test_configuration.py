"""Configuration: concurrent changes, starting daemons, snapshots, peers and validation."""

import asyncio
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passgate.clock import run_virtual
from passgate.errors import (
    DeadlineExceeded,
    DurabilityUnavailable,
    MalformedBody,
    NoMatchingPool,
    NotFound,
    RevisionConflict,
)
from passgate.records import ObjectPut, Record, decode_record, encode_record
from passgate.schema import MachineRole
from passgate.selectors import Selector
from passgate.state import snapshots
from passgate.state.configuration import (
    ConfigurationService,
    ModelVersionSpec,
    PoolSpec,
    PriorityClassSpec,
)
from passgate.state.memory_log import AppendFault, MemoryLog, MemoryLogClient

POOL = PoolSpec(selector="kind=engine", role=MachineRole.ENGINE, model="m")


def start_service(log, name="d1", start=True):
    client = MemoryLogClient(log)
    service = ConfigurationService(client, name, Random(name))
    service.client = client
    if start:
        service.start()
    return service


def version_spec(number, **options):
    return ModelVersionSpec(model="m", version=number, **options)


async def put(service, name="modelos", spec=POOL, expected=None, kind="Pool", labels=None, timeout_s=5.0):
    return await service.put(kind, name, labels or {}, spec, expected, timeout_s)


def test_accepted_change_is_on_the_log_and_applied():
    async def scenario():
        log = MemoryLog()
        service = start_service(log)
        notified_revisions = []
        service.subscribe(lambda state: notified_revisions.append(state.revision))
        assert await put(service, labels={"tier": "gold"}, expected=0) == 1
        assert notified_revisions == [1] and len(log.streams["config"]) == 1
        pool = service.state.select_pool(Selector.parse("tier in (gold)"), MachineRole.ENGINE)
        assert (pool.name, pool.revision, pool.spec) == ("modelos", 1, POOL)
        with pytest.raises(NoMatchingPool):
            service.state.select_pool(Selector.parse("tier=gold"), MachineRole.APP)

    run_virtual(scenario())


@pytest.mark.parametrize("fault", list(AppendFault))
def test_one_of_concurrent_changes_wins_and_the_others_get_its_revision(fault):
    async def scenario():
        log = MemoryLog()
        services = [start_service(log, f"d{number}") for number in range(4)]
        services[1].client.script_faults(fault)
        outcomes = await asyncio.gather(
            *(
                put(service, expected=0, labels={"by": service.client and f"d{index}"})
                for index, service in enumerate(services)
            ),
            return_exceptions=True,
        )
        log.append_delayed()
        accepted = [outcome for outcome in outcomes if isinstance(outcome, int)]
        conflicts = [outcome for outcome in outcomes if isinstance(outcome, RevisionConflict)]
        assert (len(accepted), len(conflicts)) == (1, 3)
        winner = f"d{outcomes.index(accepted[0])}"
        assert {conflict.details["revision"] for conflict in conflicts} == {str(accepted[0])}
        assert {conflict.details["winner"] for conflict in conflicts} == {winner}
        assert await put(services[2], expected=accepted[0]) > accepted[0]

    run_virtual(scenario())


def test_deleted_object_is_gone_and_can_be_created_again():
    async def scenario():
        service = start_service(MemoryLog())
        revision = await put(service)
        with pytest.raises(RevisionConflict):
            await service.delete("Pool", "modelos", revision + 1, 5.0)
        await service.delete("Pool", "modelos", revision, 5.0)
        assert service.state.get("Pool", "modelos") is None
        with pytest.raises(NotFound):
            await service.delete("Pool", "modelos", None, 5.0)
        assert await put(service, expected=0) > revision

    run_virtual(scenario())


def test_refused_change_never_takes_effect_later():
    async def scenario():
        log = MemoryLog()
        service, other = start_service(log), start_service(log, "d2")
        service.client.down = True
        with pytest.raises(DurabilityUnavailable):
            await put(service, labels={"by": "refused"}, timeout_s=2.0)
        await put(other, labels={"by": "other"})
        service.client.down = False
        await service.follower.wait_applied(1, 10.0)
        await asyncio.sleep(60)
        assert service.state.get("Pool", "modelos").labels == {"by": "other"}
        assert service.state.revision == other.state.revision == 1

    run_virtual(scenario())


def test_starting_daemon_is_ready_only_at_the_minimum_revision():
    async def scenario():
        log = MemoryLog()
        first = start_service(log)
        for number in range(5):
            await put(first, expected=number)
        starting = start_service(log, "d2", start=False)
        starting.client.hidden_records = 3
        starting.start()
        await asyncio.sleep(5)
        assert starting.state.revision == 2
        assert not starting.ready_at(first.state.revision)
        with pytest.raises(DeadlineExceeded):
            await starting.wait_ready(first.state.revision, 2.0)
        starting.client.hidden_records = 0
        await starting.wait_ready(first.state.revision, 30.0)
        assert starting.state.revision == 5

    run_virtual(scenario())


def test_starting_daemon_without_peers_is_not_ready_while_its_reads_lag():
    async def scenario():
        log = MemoryLog()
        first = start_service(log)
        for number in range(5):
            revision = await put(first, expected=number)
        starting = start_service(log, "d2", start=False)
        starting.client.hidden_records = 3
        starting.start()
        for _ in range(60):
            assert not starting.ready_at(0)
            await asyncio.sleep(1)
        starting.client.hidden_records = 0
        await starting.wait_ready(0, 10.0)
        assert starting.state.revision == revision

    run_virtual(scenario())


def test_starting_daemon_is_ready_with_what_it_has_read_while_appends_fail():
    async def scenario():
        log = MemoryLog()
        revision = await put(start_service(log))
        starting = start_service(log, "d2")
        starting.client.appends_down = True
        assert not starting.ready_at(0)
        await starting.wait_ready(0, 10.0)
        assert starting.state.revision == revision

    run_virtual(scenario())


def test_older_snapshot_does_not_revert_the_configuration(monkeypatch):
    monkeypatch.setattr(snapshots, "SNAPSHOT_EVERY_RECORDS", 2)

    async def scenario():
        log = MemoryLog()
        first = start_service(log)
        for number in range(5):
            await put(first, expected=number)
        await asyncio.sleep(1)
        latest_snapshot = decode_record(log.streams["config.snapshots"][-1]).body
        starting = start_service(log, "d2")
        await starting.wait_ready(5, 5.0)
        assert latest_snapshot.offset == 3
        assert starting.follower.counters.applied_records == starting.follower.next_offset - (
            latest_snapshot.offset + 1
        )
        older_snapshot = first.follower.snapshot()
        revision = await put(first, expected=5)
        await starting.wait_ready(revision, 5.0)
        assert not starting.adopt_snapshot(older_snapshot)
        assert starting.state.revision == revision

    run_virtual(scenario())


def test_daemons_cut_off_from_the_log_apply_changes_from_peers():
    async def scenario():
        log = MemoryLog()
        first, cut_off, starting = (
            start_service(log),
            start_service(log, "d2"),
            start_service(log, "d3", start=False),
        )
        await put(first, expected=0)
        await cut_off.wait_ready(1, 5.0)
        cut_off.client.down = starting.client.down = True
        starting.start()
        revision = await put(first, expected=1)
        notified_revisions = []
        starting.subscribe(lambda state: notified_revisions.append(state.revision))
        assert starting.adopt(first.records_since(1)) == 0, "not contiguous"
        assert starting.adopt_snapshot(first.snapshot())
        assert cut_off.adopt(first.records_since(cut_off.follower.next_offset)) == 1
        assert cut_off.state.revision == starting.state.revision == revision
        assert notified_revisions == [revision]
        await starting.wait_ready(revision, 10.0)
        assert starting.ready_at(revision) and not starting.ready_at(revision + 1)

    run_virtual(scenario())


def test_newest_version_ignores_withdrawn_and_deleted_versions():
    async def scenario():
        service = start_service(MemoryLog())
        for number in (1, 2, 3):
            await put(service, f"m-{number}", version_spec(number), kind="ModelVersion")
        assert service.state.newest_version("m") == 3
        await put(service, "m-3", version_spec(3, withdrawn=True), kind="ModelVersion")
        assert service.state.newest_version("m") == 2
        await service.delete("ModelVersion", "m-2", None, 5.0)
        assert (service.state.newest_version("m"), service.state.newest_version("x")) == (1, 0)

    run_virtual(scenario())


def test_priority_classes_have_defaults():
    async def scenario():
        service = start_service(MemoryLog())
        assert service.state.priority_class("interactive").interactive
        await put(service, "interactive", PriorityClassSpec(interactive=True, weight=3), kind="PriorityClass")
        assert service.state.priority_class("interactive").weight == 3
        with pytest.raises(NotFound):
            service.state.priority_class("absent")

    run_virtual(scenario())


@pytest.mark.parametrize(
    ("kind", "spec", "field"),
    [
        ("Pool", b'{"selector": "a in", "role": "engine", "model": "m"}', "spec.selector"),
        ("Pool", b'{"selector": "", "role": "engine"}', "spec.model"),
        ("Pool", b'{"selector": "", "role": "chauffeur"}', "spec.role"),
        ("Pool", b'{"role": "app"}', "spec.selector"),
        ("Pool", b'{"selector": "", "role": "app", "colour": 1}', "spec.colour"),
        ("ModelVersion", b'{"model": "m", "version": 0}', "spec.version"),
        ("PriorityClass", b'{"weight": -1}', "spec.weight"),
        ("PriorityClass", b"[]", "spec"),
        ("Tariff", b"{}", "kind"),
    ],
)
def test_malformed_specification_names_the_field(kind, spec, field):
    async def scenario():
        log = MemoryLog()
        with pytest.raises(MalformedBody) as caught:
            await put(start_service(log), spec=spec, kind=kind)
        assert caught.value.details["field"] == field
        assert not log.streams.get("config")

    run_virtual(scenario())


@pytest.mark.parametrize(("name", "labels", "field"), [("", {}, "name"), ("p", {"a b": "c"}, "labels.a b")])
def test_names_and_labels_must_be_selectable(name, labels, field):
    async def scenario():
        with pytest.raises(MalformedBody) as caught:
            await put(start_service(MemoryLog()), name, labels=labels)
        assert caught.value.details["field"] == field

    run_virtual(scenario())


@given(
    spec=st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=6,
    )
)
@settings(max_examples=40, deadline=None)
def test_readers_survive_any_specification_on_the_log(spec):
    async def scenario():
        log = MemoryLog()
        body = ObjectPut(
            object_kind="Pool",
            name="p",
            expected_revision=None,
            labels={},
            spec=msgspec.Raw(msgspec.json.encode(spec)),
        )
        log.put("config", [encode_record(Record(writer="x", sequence=1, epoch=0, body=body))])
        service = start_service(log)
        assert await put(service) == 2

    run_virtual(scenario())


def test_snapshot_keeps_fields_and_kinds_of_a_newer_version():
    async def scenario():
        log = MemoryLog()
        bodies = [
            ObjectPut(object_kind=kind, name="n", expected_revision=None, labels={}, spec=msgspec.Raw(spec))
            for kind, spec in (("PriorityClass", b'{"weight":2,"since":2031}'), ("Tariff", b'{"x":1}'))
        ]
        records = [
            Record(writer="x", sequence=number, epoch=0, body=body) for number, body in enumerate(bodies, 1)
        ]
        log.put("config", [encode_record(record) for record in records])
        service = start_service(log)
        await service.wait_ready(2, 5.0)
        assert service.state.priority_class("n").weight == 2
        snapshot = bytes(service.snapshot().state)
        assert b'"since":2031' in snapshot and b'"Tariff"' in snapshot
        with pytest.raises(RevisionConflict):
            await service.delete("Tariff", "n", 1, 5.0)

    run_virtual(scenario())
