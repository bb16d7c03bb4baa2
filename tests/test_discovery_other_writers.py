"""Entries of discovery by other writers: each names no replica to use, and costs no other one."""

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
from passgate.discovery.view import COME_BACK_S, DiscoveryView, ReplicaUpdate
from passgate.eligibility.known_service import KnownServiceRule
from passgate.eligibility.places import Places
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.emulator.shared_log import MemorySharedLog
from passgate.errors import ExecutionStatus, MalformedRecord, NotReady
from passgate.gateway.metrics import GatewayMetrics
from passgate.gateway.replicas import ChoiceRequest, ReplicaTable
from passgate.platform.beliefs import PlatformReplicaDecoder
from passgate.platform.front import PlatformReplicaControl
from passgate.platform.log_client import PlatformLog
from passgate.sharedlog.log import KeyedRecord
from passgate.sharedlog.tail import KeyedTail, TailSettings

RAW = "keyed.raw"
TOPICS = ReplicaTopics(entries=RAW, changes="changes", parts="keyed.list")
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
NEEDED = ["service", "address", "zone", "slots", "state"]
OTHER_TYPES = [None, True, 7, -1, 1.5, "", "x", [], ["x"], {}, {"a": 1}, 10**400]
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
    assert info.born_unix_ms >= 0 and info.cold_ms >= 0
    assert 0 < int(info.address.rpartition(":")[2]) <= 65_535


def test_a_whole_entry_names_a_replica():
    assert_usable(decode(ENTRY))
    assert not decode(ENTRY).draining
    assert decode(ENTRY | {"state": "draining"}).draining


@pytest.mark.parametrize("field", NEEDED)
def test_an_entry_without_a_field_names_none(field):
    with pytest.raises(MalformedRecord):
        decode({name: value for name, value in ENTRY.items() if name != field})


@pytest.mark.parametrize("field", [*NEEDED, "models", "born"])
@pytest.mark.parametrize("value", OTHER_TYPES, ids=lambda value: repr(value)[:9])
def test_a_field_of_another_type_names_none(field, value):
    fits = (field, value) in [("service", "x"), ("zone", "x"), ("slots", 7), ("born", 7), ("models", [])]
    if fits:
        assert_usable(decode(ENTRY | {field: value}))
        return
    with pytest.raises(MalformedRecord):
        decode(ENTRY | {field: value})


@pytest.mark.parametrize("state", ["", "Ready", "leaving", "starting", "ready "])
def test_an_unknown_state_names_none(state):
    with pytest.raises(MalformedRecord):
        decode(ENTRY | {"state": state})


@pytest.mark.parametrize(
    "address", ["", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "host:80", ":80"]
)
def test_an_address_that_can_not_be_called_names_none(address):
    with pytest.raises(MalformedRecord):
        decode(ENTRY | {"address": address})


def test_nesting_without_end_names_none():
    with pytest.raises(MalformedRecord):
        decode(b'{"models":' + b"[" * 100_000)
    with pytest.raises(MalformedRecord):
        decode(b'{"other":' + b"[" * 100_000 + b"]" * 100_000 + b"}")


@given(st.binary(max_size=200))
def test_any_bytes_name_none_or_a_whole_replica(data):
    with contextlib.suppress(MalformedRecord):
        assert_usable(decode(data))


@given(st.dictionaries(st.sampled_from(sorted(ENTRY)), JSON, max_size=3), st.integers(0, 300))
def test_entries_that_are_partly_right_name_none_or_a_whole_replica(changes, cut):
    data = json.dumps(ENTRY | changes).encode()
    for value in (data, data[:cut], data[cut:]):
        with contextlib.suppress(MalformedRecord):
            assert_usable(decode(value))


@given(st.lists(JSON, max_size=4), st.binary(max_size=30))
def test_one_bad_row_of_a_relayed_list_costs_no_other_one(rows, junk):
    good = ReplicaUpdate(replica_id="r", at=3, info=decode(ENTRY))
    document = {"part": 0, "at": 4, "changes_from": 0, "replicas": [*rows, msgspec.to_builtins(good)]}
    part = decode_part(KeyedRecord(key="0", value=zlib.compress(json.dumps(document).encode())))
    assert good in part.replicas
    assert len(part.replicas) + part.unreadable == len(rows) + 1
    told = zlib.compress(json.dumps({"relay": "d", "changes": document["replicas"]}).encode())
    assert good in decode_changes(told).changes
    for bad in (junk, zlib.compress(junk)):
        with pytest.raises(MalformedRecord):
            decode_changes(bad)


# --- followed --------------------------------------------------------------------------


class Node:
    """A daemon's discovery with the platform's decoder."""

    def __init__(self, log, direct_limit=100):
        self.lines = []
        self.metrics = GatewayMetrics()
        self.decisions = DecisionLog(
            "d", write=lambda data: self.lines.append(data) or len(data), observe=self.metrics.observe
        )
        self.table = ReplicaTable(Places(zone="z"))
        self.view = DiscoveryView(self.table, self.decisions)
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

    def known(self):
        return {state.life.replica_id for state in self.table.all()}

    def told(self, event):
        self.decisions.flush()
        return [line for line in b"".join(self.lines).splitlines() if f'"event":"{event}"'.encode() in line]


def put(log, key, value):
    log.put_keyed(RAW, key, value if isinstance(value, bytes) else json.dumps(value).encode())


BAD = [b"\xff\xfe", b"{", b"[]", b"null", {}, ENTRY | {"slots": "4"}, ENTRY | {"state": "gone"}]


def test_the_others_hold_when_the_list_and_later_news_hold_bad_entries():
    async def main():
        log = MemorySharedLog()
        for number, bad in enumerate(BAD):
            put(log, f"bad{number}", bad)
        put(log, "first", ENTRY)
        node = Node(log)
        await asyncio.sleep(1.0)
        assert node.known() == {"first"}
        for number, bad in enumerate(BAD):
            put(log, f"more{number}", bad)
        put(log, "second", ENTRY)
        await asyncio.sleep(1.0)
        assert node.known() == {"first", "second"}
        assert node.view.unusable_entries.count == 2 * len(BAD)

    run_virtual(main())


@pytest.mark.parametrize("bad", BAD, ids=repr)
def test_a_replica_whose_entry_is_overwritten_is_used_no_more_until_it_writes_again(bad):
    async def main():
        log = MemorySharedLog()
        put(log, "r", ENTRY)
        put(log, "other", ENTRY)
        node = Node(log)
        await asyncio.sleep(COME_BACK_S + 1.0)
        state = node.table.get("r")
        state.in_flight = 2
        put(log, "r", bad)
        await asyncio.sleep(0.5)
        assert node.known() == {"other"}
        put(log, "r", ENTRY | {"seq": 2})
        await asyncio.sleep(0.5)
        assert node.known() == {"r", "other"}
        assert node.table.get("r") is state  # what it works on still counts

    run_virtual(main())


def test_an_entry_overwritten_as_the_log_comes_back_is_no_lapse():
    async def main():
        log = MemorySharedLog()
        put(log, "r", ENTRY)
        node = Node(log)
        await asyncio.sleep(1.0)
        node.view._log_returned_s = asyncio.get_running_loop().time()
        put(log, "r", b"{")
        await asyncio.sleep(0.5)
        assert node.known() == set()

    run_virtual(main())


def test_bad_entries_of_each_second_are_counted_and_told_of_rarely():
    async def main():
        log = MemorySharedLog()
        put(log, "r", ENTRY)
        node = Node(log)
        await asyncio.sleep(1.0)
        for second in range(180):
            put(log, "r", b"{" if second % 2 else ENTRY | {"seq": second})
            put(log, "other", b"{")
            await asyncio.sleep(1.0)
        lines = node.told("entry_unusable")
        assert 2 <= len(lines) <= 2 * (1 + 180 / KEY_LOG_INTERVAL_S)
        assert len(node.told("replica_changed")) <= 2
        assert node.view.unusable_entries.count >= 180 * 3 / 2
        exposition = node.metrics.exposition().decode()
        counted = next(
            line for line in exposition.splitlines() if line.startswith("passgate_unusable_entries_total")
        )
        assert float(counted.split()[1]) >= 180.0

    run_virtual(main())


def test_many_keys_of_another_writer_are_told_of_once_a_second_at_most():
    lines = []
    unusable = UnusableEntries(DecisionLog("d", write=len, observe=lines.append))
    for number in range(5000):
        unusable.record(f"k{number}", "x" * 10_000, now_s=number / 1000)
    assert len(lines) <= 1 + 5.0 / LOG_INTERVAL_S
    assert max(len(line.reason) for line in lines) < 200


def test_a_bad_part_of_the_relayed_list_costs_no_other_part():
    async def main():
        log = MemorySharedLog()
        infos = [decode(ENTRY, key=f"r{number}") for number in range(40)]
        view = DiscoveryView(ReplicaTable(Places(zone="z")), DecisionLog("x", write=len))
        view.apply_list(infos, at=5)
        for number in range(LIST_PARTS):
            news = tuple(each for each in view.updates() if part_of(each.replica_id) == number)
            record = encode_part(ListPart(part=number, at=5, changes_from=0, replicas=news))
            if number == 3:
                record = KeyedRecord(key="3", value=b"no list")
            log.put_keyed(TOPICS.parts, record.key, record.value)
        node = Node(log, direct_limit=20)
        await asyncio.sleep(1.0)
        assert node.known() == {info.replica_id for info in infos if part_of(info.replica_id) != 3}

    run_virtual(main())


# --- records and reports -----------------------------------------------------------------


@pytest.mark.parametrize("record", [b"", b"\x05ab", b"\x02\xff\xfe{}"], ids=repr)
def test_a_record_without_a_whole_key_names_no_key(record):
    log = PlatformLog(None, "127.0.0.1:1")
    with pytest.raises(MalformedRecord):
        log.decode_keyed(record)


def test_a_record_that_can_not_be_split_does_not_end_the_reader():
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
        log, seen = MemorySharedLog(), []
        client = Client(log.client("d"))
        tail = KeyedTail(
            client,
            TailSettings(topic=RAW),
            replace=lambda records, start: None,
            update=lambda records, start: seen.extend((record.key, start) for record in records),
        )
        task = asyncio.create_task(tail.run())
        await asyncio.sleep(0.5)
        put(log, "spoilt", b"1")
        put(log, "good", b"2")
        await asyncio.sleep(2.0)
        assert not task.done()
        assert [key for key, _ in seen] == ["", "good"]

    run_virtual(main())


@pytest.mark.parametrize("body", [b"", b"{", b'{"seq":"2"}', b'{"models":[{}]}', b"\xff", b"[" * 100_000])
def test_a_report_that_can_not_be_read_is_a_typed_failure(body):
    class Http:
        async def fetch(self, call):
            class Answer:
                status = 200

            Answer.body = body
            return Answer

    with pytest.raises(NotReady) as raised:
        run_virtual(PlatformReplicaControl(Http()).report("r", "10.0.0.1:80"))
    assert raised.value.execution is ExecutionStatus.NOT_RUN


def test_a_service_that_no_configuration_names_gets_nothing():
    table = ReplicaTable(Places(zone="z"))
    table.rules.add(KnownServiceRule({"s"}.__contains__))
    for service in ("s", "unheard-of"):
        table.put(ReplicaInfo(replica_id=service, service=service, address="h:1", zone="z", slots=1))
    wish = ChoiceRequest(services=frozenset({"unheard-of"}))
    assert table.choose(wish, now_s=0.0) is None
    assert table.choose(ChoiceRequest(services=frozenset({"s"})), now_s=0.0) is not None


def test_relayed_changes_tell_of_entries_that_were_overwritten():
    news = ReplicaUpdate(replica_id="r", at=4, overwritten=True)
    changes = RelayedChanges(relay="d", changes=(news,))
    assert decode_changes(zlib.compress(msgspec.json.encode(changes))).changes == (news,)
