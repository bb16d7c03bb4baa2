"""Log follower and projections: duplicates, lost responses, outages, lagging reads and snapshots."""

import asyncio
from random import Random

import msgspec
import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.errors import DeadlineExceeded, DurabilityUnavailable, DurabilityUnknown
from passgate.interfaces import LogBatch
from passgate.records import ClaimReleased, Record, SnapshotTaken, encode_record
from passgate.state import snapshots
from passgate.state.log_follower import LogFollower
from passgate.state.memory_log import AppendFault, MemoryLog, MemoryLogClient
from passgate.state.projection import TRACKED_WRITERS_LIMIT, Accepted, DuplicateFilter, StreamState


class KeyListProjection:
    """Keys of all applied records, in order."""

    def __init__(self):
        self.keys = []

    def apply(self, offset, record):
        self.keys.append(record.body.key)
        return Accepted(offset, len(self.keys))

    def snapshot(self):
        return msgspec.json.encode(self.keys)

    def restore(self, state):
        self.keys = msgspec.json.decode(state, type=list[str])


class Daemon:
    """A follower with its own client of a shared log."""

    def __init__(self, log, writer="d1", **options):
        self.client = MemoryLogClient(log)
        self.projection = KeyListProjection()
        self.late_keys = []
        options.setdefault("retained_entries", 100)
        options.setdefault(
            "on_late_acceptance", lambda record, decision: self.late_keys.append(record.body.key)
        )
        self.follower = LogFollower(self.client, "s", self.projection, writer, random=Random(1), **options)

    async def propose(self, key, timeout_s=10.0):
        return await self.follower.propose(ClaimReleased(key=key), timeout_s=timeout_s)


def payload(writer, sequence, key):
    return encode_record(Record(writer=writer, sequence=sequence, epoch=0, body=ClaimReleased(key=key)))


def start_daemon(log, writer="d1", **options):
    daemon = Daemon(log, writer, **options)
    daemon.follower.start()
    return daemon


@pytest.mark.parametrize("first", list(AppendFault))
@pytest.mark.parametrize("second", list(AppendFault))
def test_each_proposal_takes_effect_once_for_any_two_append_faults(first, second):
    async def scenario():
        log = MemoryLog()
        writer, reader = start_daemon(log), start_daemon(log, "d2")
        writer.client.script_faults(first, second)
        decisions = await asyncio.gather(*(writer.propose(key) for key in "abc"))
        log.append_delayed()
        await writer.propose("d")
        await reader.follower.wait_applied(writer.follower.next_offset, 5.0)
        assert all(isinstance(decision, Accepted) for decision in decisions)
        assert sorted(writer.projection.keys) == ["a", "b", "c", "d"]
        assert reader.projection.keys == writer.projection.keys
        await asyncio.gather(writer.follower.close(), reader.follower.close())

    run_virtual(scenario())


def test_concurrent_proposals_share_one_append():
    async def scenario():
        log = MemoryLog()
        daemon = start_daemon(log)
        await asyncio.gather(*(daemon.propose(str(number)) for number in range(100)))
        assert log.append_calls <= 2
        await daemon.follower.close()

    run_virtual(scenario())


def test_proposal_refused_in_an_outage_never_reaches_the_log():
    async def scenario():
        log = MemoryLog()
        daemon = start_daemon(log)
        for _ in range(3):
            daemon.client.down = True
            with pytest.raises(DurabilityUnavailable):
                await daemon.propose("lost", timeout_s=5.0)
            await asyncio.sleep(30)
            daemon.client.down = False
            await daemon.propose("kept")
        assert daemon.projection.keys == ["kept"] * 3
        assert b"lost" not in b"".join(log.streams["s"])
        assert daemon.late_keys == []
        await daemon.follower.close()

    run_virtual(scenario())


def test_abandoned_proposal_is_withdrawn_before_its_delayed_append():
    async def scenario():
        log = MemoryLog()
        daemon = start_daemon(log)
        daemon.client.script_faults(AppendFault.DELAYED, *[AppendFault.REFUSED] * 40)
        with pytest.raises(DurabilityUnknown):
            await daemon.propose("abandoned", timeout_s=1.0)
        await daemon.propose("later", timeout_s=200.0)
        log.append_delayed()
        await daemon.propose("last")
        assert daemon.projection.keys == ["later", "last"]
        assert daemon.late_keys == []
        await daemon.follower.close()

    run_virtual(scenario())


def test_abandoned_proposal_that_was_appended_is_reported_as_accepted_late():
    async def scenario():
        log = MemoryLog()
        daemon = start_daemon(log)
        daemon.client.script_faults(AppendFault.RESPONSE_LOST)
        daemon.client.reads_down = True
        with pytest.raises(DurabilityUnknown):
            await daemon.propose("abandoned", timeout_s=1.0)
        daemon.client.reads_down = False
        await daemon.propose("later")
        assert daemon.projection.keys == ["abandoned", "later"]
        assert daemon.late_keys == ["abandoned"]
        await daemon.follower.close()

    run_virtual(scenario())


def test_next_proposal_does_not_wait_for_retries_of_a_decided_batch():
    async def scenario():
        daemon = start_daemon(MemoryLog())
        daemon.client.script_faults(*[AppendFault.REFUSED] * 5, AppendFault.RESPONSE_LOST)
        await daemon.propose("a")
        decided_s = monotonic_s()
        await daemon.propose("b")
        assert monotonic_s() - decided_s < 0.01
        await daemon.follower.close()

    run_virtual(scenario())


def test_cancelled_proposal_is_dropped():
    async def scenario():
        log = MemoryLog()
        daemon = start_daemon(log)
        daemon.client.appends_down = True
        proposal = asyncio.ensure_future(daemon.propose("cancelled"))
        await asyncio.sleep(1)
        proposal.cancel()
        await asyncio.gather(proposal, return_exceptions=True)
        daemon.client.appends_down = False
        await daemon.propose("kept")
        assert daemon.projection.keys == ["kept"]
        await daemon.follower.close()

    run_virtual(scenario())


def test_record_rejected_after_a_higher_sequence_of_its_writer_is_appended_again():
    async def scenario():
        log = MemoryLog()
        daemon = start_daemon(log)
        daemon.client.script_faults(*[AppendFault.REQUEST_LOST] * 3)
        proposal = asyncio.ensure_future(daemon.propose("a"))
        await asyncio.sleep(0.01)
        log.put("s", [payload("d1", 2, "overtaking")])
        assert isinstance(await proposal, Accepted)
        assert daemon.projection.keys == ["overtaking", "a"]
        await daemon.follower.close()

    run_virtual(scenario())


def test_lagging_read_never_moves_the_projection_back():
    async def scenario():
        log = MemoryLog()
        daemon = start_daemon(log)
        for key in "abc":
            await daemon.propose(key)
        daemon.client.hidden_records = 2
        log.put("s", [payload("d2", 1, "d")])
        await asyncio.sleep(60)
        assert daemon.follower.next_offset == 3
        daemon.client.hidden_records = 0
        await daemon.follower.wait_applied(4, 60.0)
        assert daemon.projection.keys == ["a", "b", "c", "d"]
        await daemon.follower.close()

    run_virtual(scenario())


def test_read_with_a_gap_is_not_applied():
    async def scenario():
        log = MemoryLog()
        log.put("s", [payload("d2", number, str(number)) for number in (1, 2, 3)])
        daemon = Daemon(log)
        original_read = daemon.client.read

        async def read_with_gap(stream, offset, limit, wait_s):
            batch = await original_read(stream, offset, limit, wait_s)
            return LogBatch(tuple(entry for entry in batch.entries if entry.offset != 1), batch.end_offset)

        daemon.client.read = read_with_gap
        daemon.follower.start()
        await asyncio.sleep(30)
        assert daemon.projection.keys == ["1"]
        assert daemon.follower.counters.gaps > 0
        daemon.client.read = original_read
        await daemon.follower.wait_applied(3, 10.0)
        assert daemon.projection.keys == ["1", "2", "3"]
        await daemon.follower.close()

    run_virtual(scenario())


def test_entries_of_a_peer_are_applied_only_without_a_gap():
    async def scenario():
        log = MemoryLog()
        connected, cut_off = start_daemon(log), start_daemon(log, "d2")
        for key in "abcd":
            await connected.propose(key)
        cut_off.client.down = True
        for key in "efg":
            await connected.propose(key)
        await cut_off.follower.wait_applied(4, 1.0)
        entries_after_gap = connected.follower.entries_since(5)
        assert cut_off.follower.apply_entries(entries_after_gap) == 0
        assert cut_off.follower.apply_entries(connected.follower.entries_since(2)) == 3
        assert cut_off.projection.keys == connected.projection.keys
        with pytest.raises(DeadlineExceeded):
            await cut_off.follower.wait_applied(8, 1.0)
        await asyncio.gather(connected.follower.close(), cut_off.follower.close())

    run_virtual(scenario())


def test_unreadable_and_unknown_records_are_skipped():
    async def scenario():
        log = MemoryLog()
        newer = b'{"writer":"d9","sequence":1,"epoch":0,"body":{"type":"of_2031","x":1}}'
        log.put("s", [b"\xff", newer, payload("d2", 1, "a")])
        daemon = start_daemon(log)
        await daemon.follower.wait_applied(3, 5.0)
        assert daemon.projection.keys == ["a"]
        assert daemon.follower.entries_since(1)[0].payload == newer
        await daemon.follower.close()

    run_virtual(scenario())


def test_start_from_a_snapshot_reads_only_the_records_after_it(monkeypatch):
    monkeypatch.setattr(snapshots, "SNAPSHOT_EVERY_RECORDS", 10)

    async def scenario():
        log = MemoryLog()
        first = start_daemon(log, use_snapshots=True)
        for number in range(25):
            await first.propose(str(number))
        await asyncio.sleep(1)
        assert first.follower.counters.snapshots_taken == 2
        starting = start_daemon(log, "d2", use_snapshots=True)
        await starting.follower.wait_synchronised(5.0)
        assert starting.projection.keys == first.projection.keys
        assert starting.follower.counters.applied_records == 5
        log.put("s", [payload("d1", 3, "copy")])
        await starting.propose("end")
        assert "copy" not in starting.projection.keys
        await asyncio.gather(first.follower.close(), starting.follower.close())

    run_virtual(scenario())


def test_state_that_skipped_unknown_kinds_gives_no_snapshot():
    state = StreamState(KeyListProjection())
    state.apply(0, b'{"writer":"d9","sequence":1,"epoch":0,"body":{"type":"of_2031"}}')
    assert state.snapshot() is None


def test_snapshot_that_is_old_unreadable_or_of_a_newer_schema_is_refused():
    state = StreamState(KeyListProjection())
    for offset, key in enumerate("abc"):
        state.apply(offset, payload("d1", offset + 1, key))
    older = state.snapshot()
    state.apply(3, payload("d1", 4, "d"))
    assert not state.restore(older)
    for snapshot in (
        msgspec.structs.replace(older, offset=9, schema_version=99),
        SnapshotTaken(offset=9, schema_version=1, state=msgspec.Raw(b'{"writers":{},"state":3}')),
    ):
        assert not state.restore(snapshot)
    assert state.projection.keys == ["a", "b", "c", "d"]
    assert state.next_offset == 4


def test_snapshot_is_refused_while_an_own_record_is_unconfirmed():
    async def scenario():
        log = MemoryLog()
        other, starting = start_daemon(log, "d2"), start_daemon(log)
        starting.client.reads_down = True
        starting.client.script_faults(*[AppendFault.REQUEST_LOST] * 3, AppendFault.RESPONSE_LOST)
        proposal = asyncio.ensure_future(starting.propose("a"))
        await other.propose("b")
        assert not starting.follower.restore(other.follower.snapshot())
        await asyncio.sleep(5)
        starting.client.reads_down = False
        assert (await proposal).value == 2
        starting.client.reads_down = True
        await other.propose("c")
        assert starting.follower.restore(other.follower.snapshot())
        assert starting.projection.keys == ["b", "a", "c"]

    run_virtual(scenario())


def test_restored_state_still_rejects_duplicates():
    state, restored = StreamState(KeyListProjection()), StreamState(KeyListProjection())
    state.apply(0, payload("d1", 1, "a"))
    assert restored.restore(state.snapshot())
    restored.apply(1, payload("d1", 1, "a"))
    assert restored.projection.keys == ["a"]


def test_duplicate_filter_is_bounded_and_evicts_the_least_recent_writer():
    duplicates = DuplicateFilter()
    for number in range(TRACKED_WRITERS_LIMIT):
        duplicates.admit(f"w{number}", 1)
    duplicates.admit("w0", 2)
    duplicates.admit("new", 1)
    assert len(duplicates.last_sequence_by_writer()) == TRACKED_WRITERS_LIMIT
    assert not duplicates.admit("w0", 2)
    assert "w1" not in duplicates.last_sequence_by_writer()


def test_close_fails_each_proposal_by_whether_it_may_be_on_the_log():
    async def scenario():
        log = MemoryLog()
        daemon = start_daemon(log)
        daemon.client.reads_down = True
        daemon.client.script_faults(AppendFault.HANGING)
        unconfirmed = asyncio.ensure_future(daemon.propose("unconfirmed"))
        await asyncio.sleep(0.1)
        queued = asyncio.ensure_future(daemon.propose("queued"))
        await asyncio.sleep(0.1)
        await daemon.follower.close()
        outcomes = await asyncio.gather(unconfirmed, queued, return_exceptions=True)
        assert [type(outcome) for outcome in outcomes] == [DurabilityUnknown, DurabilityUnavailable]
        with pytest.raises(DurabilityUnavailable):
            await daemon.propose("after")

    run_virtual(scenario())
