"""Guards against malformed discovery entries of other writers that affect other replicas."""

import asyncio
import contextlib
import json
import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from passgate.clock import run_virtual
from passgate.decisions import DecisionLog
from passgate.discovery.records import (
    LIST_PARTS,
    ListPart,
    RelayedChanges,
    decode_changes,
    decode_part,
    encode_part,
    part_of,
)
from passgate.discovery.service import Discovery, ReplicaTopics
from passgate.discovery.unusable_entries import KEY_LOG_INTERVAL_S, LOG_INTERVAL_S, UnusableEntries
from passgate.discovery.view import RETURN_GRACE_S, DiscoveryView, ReplicaUpdate
from passgate.eligibility.known_service import KnownServiceRule
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.topology import Topology
from passgate.emulator.shared_log import MemorySharedLog
from passgate.errors import ExecutionStatus, MalformedRecord, NotReady
from passgate.gateway.metrics import GatewayMetrics
from passgate.gateway.replica_state import ReplicaQuery
from passgate.gateway.replica_table import ReplicaTable
from passgate.platform.http_api import PlatformReplicaControl
from passgate.platform.log_client import PlatformLog
from passgate.platform.topic_records import PlatformReplicaDecoder
from passgate.sharedlog.log import KeyedRecord
from passgate.sharedlog.tail import KeyedTail, TailSettings

ENTRIES_TOPIC = "keyed.raw"
TOPICS = ReplicaTopics(entries=ENTRIES_TOPIC, changes="changes", parts="keyed.list")
ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "models": [{"name": "m", "version": 1}],
    "seq": 1,
    "born": 1_700_000_000_000,
}
REQUIRED_FIELDS = ["service", "address", "zone", "slots", "state"]
VALUES_OF_OTHER_TYPES = [None, True, 7, -1, 1.5, "", "x", [], ["x"], {}, {"a": 1}, 10**400]
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner, max_size=3),
    max_leaves=6,
)


def decode(data, key="r"):
    value = data if isinstance(data, bytes) else json.dumps(data).encode()
    return PlatformReplicaDecoder().decode(KeyedRecord(key=key, value=value))


def assert_usable(info):
    assert info.service and info.zone and info.replica_id
    assert 1 <= info.slots <= 1_000_000
    assert info.started_unix_ms >= 0 and info.cold_ms >= 0
    assert 0 < int(info.address.rpartition(":")[2]) <= 65_535


def test_a_complete_entry_is_accepted():
    assert_usable(decode(ENTRY))
    assert not decode(ENTRY).draining
    assert decode(ENTRY | {"state": "draining"}).draining


@pytest.mark.parametrize("field", REQUIRED_FIELDS)
def test_an_entry_without_a_required_field_is_rejected(field):
    with pytest.raises(MalformedRecord):
        decode({name: value for name, value in ENTRY.items() if name != field})


@pytest.mark.parametrize("field", [*REQUIRED_FIELDS, "models", "born"])
@pytest.mark.parametrize("value", VALUES_OF_OTHER_TYPES, ids=lambda value: repr(value)[:9])
def test_a_field_of_another_type_is_rejected(field, value):
    fits = (field, value) in [("service", "x"), ("zone", "x"), ("slots", 7), ("born", 7), ("models", [])]
    if fits:
        assert_usable(decode(ENTRY | {field: value}))
        return
    with pytest.raises(MalformedRecord):
        decode(ENTRY | {field: value})


@pytest.mark.parametrize("state", ["", "Ready", "leaving", "starting", "ready "])
def test_an_unknown_state_is_rejected(state):
    with pytest.raises(MalformedRecord):
        decode(ENTRY | {"state": state})


@pytest.mark.parametrize(
    "address", ["", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "host:80", ":80"]
)
def test_an_unusable_address_is_rejected(address):
    with pytest.raises(MalformedRecord):
        decode(ENTRY | {"address": address})


def test_deep_nesting_is_rejected():
    with pytest.raises(MalformedRecord):
        decode(b'{"models":' + b"[" * 100_000)
    with pytest.raises(MalformedRecord):
        decode(b'{"other":' + b"[" * 100_000 + b"]" * 100_000 + b"}")


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected_or_give_a_usable_replica(data):
    with contextlib.suppress(MalformedRecord):
        assert_usable(decode(data))


@given(st.dictionaries(st.sampled_from(sorted(ENTRY)), JSON, max_size=3), st.integers(0, 300))
def test_corrupted_entries_are_rejected_or_give_a_usable_replica(changes, cut):
    data = json.dumps(ENTRY | changes).encode()
    for value in (data, data[:cut], data[cut:]):
        with contextlib.suppress(MalformedRecord):
            assert_usable(decode(value))


@given(st.lists(JSON, max_size=4), st.binary(max_size=30))
def test_a_malformed_row_of_a_relayed_list_does_not_affect_the_others(rows, junk):
    good = ReplicaUpdate(replica_id="r", at=3, info=decode(ENTRY))
    document = {"part": 0, "at": 4, "changes_from": 0, "replicas": [*rows, msgspec.to_builtins(good)]}
    part = decode_part(KeyedRecord(key="0", value=zlib.compress(json.dumps(document).encode())))
    assert good in part.replicas
    assert len(part.replicas) + part.unreadable == len(rows) + 1
    record = zlib.compress(json.dumps({"relay": "d", "changes": document["replicas"]}).encode())
    assert good in decode_changes(record).changes
    for bad in (junk, zlib.compress(junk)):
        with pytest.raises(MalformedRecord):
            decode_changes(bad)


# --- following discovery ---------------------------------------------------------------


class Node:
    """A daemon's discovery with the platform's decoder."""

    def __init__(self, log, direct_limit=100):
        self.lines = []
        self.metrics = GatewayMetrics()
        self.decisions = DecisionLog(
            "d", write=lambda data: self.lines.append(data) or len(data), observe=self.metrics.observe
        )
        self.replica_table = ReplicaTable(Topology(zone="z"))
        self.view = DiscoveryView(self.replica_table, self.decisions)
        self.discovery = Discovery(
            log.client("d"),
            TOPICS,
            PlatformReplicaDecoder(),
            self.view,
            "d",
            lambda: False,
            self.decisions,
            direct_limit=direct_limit,
            seed=1,
        )
        self.task = asyncio.get_running_loop().create_task(self.discovery.run())

    def known_replica_ids(self):
        return {state.incarnation.replica_id for state in self.replica_table.all()}

    def logged_lines(self, event):
        self.decisions.flush()
        return [line for line in b"".join(self.lines).splitlines() if f'"event":"{event}"'.encode() in line]


def write_entry(log, key, value):
    log.put_keyed(ENTRIES_TOPIC, key, value if isinstance(value, bytes) else json.dumps(value).encode())


MALFORMED_ENTRIES = [b"\xff\xfe", b"{", b"[]", b"null", {}, ENTRY | {"slots": "4"}, ENTRY | {"state": "gone"}]


def test_malformed_entries_do_not_affect_other_replicas():
    async def main():
        log = MemorySharedLog()
        for number, bad in enumerate(MALFORMED_ENTRIES):
            write_entry(log, f"bad{number}", bad)
        write_entry(log, "first", ENTRY)
        node = Node(log)
        await asyncio.sleep(1.0)
        assert node.known_replica_ids() == {"first"}
        for number, bad in enumerate(MALFORMED_ENTRIES):
            write_entry(log, f"more{number}", bad)
        write_entry(log, "second", ENTRY)
        await asyncio.sleep(1.0)
        assert node.known_replica_ids() == {"first", "second"}
        assert node.view.unusable_entries.count == 2 * len(MALFORMED_ENTRIES)

    run_virtual(main())


@pytest.mark.parametrize("bad", MALFORMED_ENTRIES, ids=repr)
def test_a_replica_with_an_overwritten_entry_is_unused_until_it_writes_again(bad):
    async def main():
        log = MemorySharedLog()
        write_entry(log, "r", ENTRY)
        write_entry(log, "other", ENTRY)
        node = Node(log)
        await asyncio.sleep(RETURN_GRACE_S + 1.0)
        state = node.replica_table.get("r")
        state.in_flight = 2
        write_entry(log, "r", bad)
        await asyncio.sleep(0.5)
        assert node.known_replica_ids() == {"other"}
        write_entry(log, "r", ENTRY | {"seq": 2})
        await asyncio.sleep(0.5)
        assert node.known_replica_ids() == {"r", "other"}
        assert node.replica_table.get("r") is state  # its requests in flight still count

    run_virtual(main())


def test_an_entry_overwritten_as_the_log_returns_is_not_treated_as_lapsed():
    async def main():
        log = MemorySharedLog()
        write_entry(log, "r", ENTRY)
        node = Node(log)
        await asyncio.sleep(1.0)
        node.view._log_returned_s = asyncio.get_running_loop().time()
        write_entry(log, "r", b"{")
        await asyncio.sleep(0.5)
        assert node.known_replica_ids() == set()

    run_virtual(main())


def test_frequent_malformed_entries_are_counted_but_rarely_logged():
    async def main():
        log = MemorySharedLog()
        write_entry(log, "r", ENTRY)
        node = Node(log)
        await asyncio.sleep(1.0)
        for second in range(180):
            write_entry(log, "r", b"{" if second % 2 else ENTRY | {"seq": second})
            write_entry(log, "other", b"{")
            await asyncio.sleep(1.0)
        lines = node.logged_lines("entry_unusable")
        assert 2 <= len(lines) <= 2 * (1 + 180 / KEY_LOG_INTERVAL_S)
        assert len(node.logged_lines("replica_changed")) <= 2
        assert node.view.unusable_entries.count >= 180 * 3 / 2
        exposition = node.metrics.exposition().decode()
        counted = next(
            line for line in exposition.splitlines() if line.startswith("passgate_unusable_entries_total")
        )
        assert float(counted.split()[1]) >= 180.0

    run_virtual(main())


def test_malformed_entries_under_many_keys_are_logged_at_most_once_a_second():
    lines = []
    unusable = UnusableEntries(DecisionLog("d", write=len, observe=lines.append))
    for number in range(5000):
        unusable.record(f"k{number}", "x" * 10_000, now_s=number / 1000)
    assert len(lines) <= 1 + 5.0 / LOG_INTERVAL_S
    assert max(len(line.reason) for line in lines) < 200


def test_a_malformed_part_of_the_relayed_list_does_not_affect_other_parts():
    async def main():
        log = MemorySharedLog()
        infos = [decode(ENTRY, key=f"r{number}") for number in range(40)]
        view = DiscoveryView(ReplicaTable(Topology(zone="z")), DecisionLog("x", write=len))
        view.apply_list(infos, at=5)
        for number in range(LIST_PARTS):
            updates = tuple(update for update in view.updates() if part_of(update.replica_id) == number)
            record = encode_part(ListPart(part=number, at=5, changes_from=0, replicas=updates))
            if number == 3:
                record = KeyedRecord(key="3", value=b"no list")
            log.put_keyed(TOPICS.parts, record.key, record.value)
        node = Node(log, direct_limit=20)
        await asyncio.sleep(1.0)
        assert node.known_replica_ids() == {
            info.replica_id for info in infos if part_of(info.replica_id) != 3
        }

    run_virtual(main())


# --- records and reports ---------------------------------------------------------------


@pytest.mark.parametrize("record", [b"", b"\x05ab", b"\x02\xff\xfe{}"], ids=repr)
def test_a_record_with_an_incomplete_key_is_malformed(record):
    log = PlatformLog(None, "127.0.0.1:1")
    with pytest.raises(MalformedRecord):
        log.decode_keyed(record)


def test_a_malformed_record_does_not_stop_the_tail():
    class Client:
        def __init__(self, client):
            self._client = client

        def __getattr__(self, name):
            return getattr(self._client, name)

        def decode_keyed(self, record):
            if b"spoilt" in record:
                raise MalformedRecord("spoilt")
            return self._client.decode_keyed(record)

    async def main():
        log, applied = MemorySharedLog(), []
        client = Client(log.client("d"))
        tail = KeyedTail(
            client,
            TailSettings(topic=ENTRIES_TOPIC),
            on_snapshot=lambda records, start: None,
            on_records=lambda records, start: applied.extend((record.key, start) for record in records),
        )
        task = asyncio.create_task(tail.run())
        await asyncio.sleep(0.5)
        write_entry(log, "spoilt", b"1")
        write_entry(log, "good", b"2")
        await asyncio.sleep(2.0)
        assert not task.done()
        assert [key for key, _ in applied] == ["", "good"]

    run_virtual(main())


@pytest.mark.parametrize("body", [b"", b"{", b'{"seq":"2"}', b'{"models":[{}]}', b"\xff", b"[" * 100_000])
def test_a_malformed_report_raises_not_ready(body):
    class Http:
        async def fetch(self, call):
            class Answer:
                status = 200

            Answer.body = body
            return Answer

    with pytest.raises(NotReady) as raised:
        run_virtual(PlatformReplicaControl(Http()).report("r", "10.0.0.1:80"))
    assert raised.value.execution is ExecutionStatus.NOT_RUN


def test_replicas_of_an_unconfigured_service_get_no_requests():
    table = ReplicaTable(Topology(zone="z"))
    table.send_rules.add(KnownServiceRule({"s"}.__contains__))
    for service in ("s", "unheard-of"):
        table.put(ReplicaInfo(replica_id=service, service=service, address="h:1", zone="z", slots=1))
    query = ReplicaQuery(services=frozenset({"unheard-of"}))
    assert table.choose(query, now_s=0.0) is None
    assert table.choose(ReplicaQuery(services=frozenset({"s"})), now_s=0.0) is not None


def test_relayed_changes_keep_the_overwritten_mark():
    update = ReplicaUpdate(replica_id="r", at=4, overwritten=True)
    changes = RelayedChanges(relay="d", changes=(update,))
    assert decode_changes(zlib.compress(msgspec.json.encode(changes))).changes == (update,)
