"""Log follower: lost answers, copies, outages in sequence, late and stale reads."""

import asyncio
from random import Random

import msgspec
import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.errors import DeadlineExceeded, DurabilityUnavailable, DurabilityUnknown
from passgate.interfaces import LogBatch
from passgate.records import ClaimReleased, Record, SnapshotTaken, encode_record
from passgate.state import snapshots
from passgate.state.fold import WRITER_TABLE_CAPACITY, Accepted, StreamState, WriterTable
from passgate.state.log_follower import LogFollower
from passgate.state.memory_log import AppendFault, MemoryLog, MemoryLogClient


class ListFold:
    """Keeps the keys of all records that took effect."""

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
    """A follower with its own view of a shared log."""

    def __init__(self, log, writer="d1", **options):
        self.client = MemoryLogClient(log)
        self.fold = ListFold()
        self.abandoned = []
        options.setdefault("retained_entries", 100)
        options.setdefault("on_abandoned", lambda record, decision: self.abandoned.append(record.body.key))
        self.follower = LogFollower(self.client, "s", self.fold, writer, random=Random(1), **options)

    async def propose(self, key, timeout_s=10.0):
        return await self.follower.propose(ClaimReleased(key=key), timeout_s=timeout_s)


def payload(writer, sequence, key):
    return encode_record(Record(writer=writer, sequence=sequence, epoch=0, body=ClaimReleased(key=key)))


def started(log, writer="d1", **options):
    daemon = Daemon(log, writer, **options)
    daemon.follower.start()
    return daemon


@pytest.mark.parametrize("first", list(AppendFault))
@pytest.mark.parametrize("second", list(AppendFault))
def test_each_proposal_takes_effect_once_whatever_two_appends_do(first, second):
    async def scenario():
        log = MemoryLog()
        writer, reader = started(log), started(log, "d2")
        writer.client.script(first, second)
        decisions = await asyncio.gather(*(writer.propose(key) for key in "abc"))
        log.land_late()
        await writer.propose("d")
        await reader.follower.catch_up(writer.follower.next_offset, 5.0)
        assert all(isinstance(decision, Accepted) for decision in decisions)
        assert sorted(writer.fold.keys) == ["a", "b", "c", "d"]
        assert reader.fold.keys == writer.fold.keys
        await asyncio.gather(writer.follower.close(), reader.follower.close())

    run_virtual(scenario())


def test_concurrent_proposals_share_one_append():
    async def scenario():
        log = MemoryLog()
        daemon = started(log)
        await asyncio.gather(*(daemon.propose(str(number)) for number in range(100)))
        assert log.append_calls <= 2
        await daemon.follower.close()

    run_virtual(scenario())


def test_proposal_in_an_outage_is_not_on_the_log_and_never_will_be():
    async def scenario():
        log = MemoryLog()
        daemon = started(log)
        for _ in range(3):
            daemon.client.down = True
            with pytest.raises(DurabilityUnavailable):
                await daemon.propose("lost", timeout_s=5.0)
            await asyncio.sleep(30)
            daemon.client.down = False
            await daemon.propose("kept")
        assert daemon.fold.keys == ["kept"] * 3
        assert b"lost" not in b"".join(log.streams["s"])
        assert daemon.abandoned == []
        await daemon.follower.close()

    run_virtual(scenario())


def test_abandoned_proposal_in_doubt_is_withdrawn_before_it_lands_late():
    async def scenario():
        log = MemoryLog()
        daemon = started(log)
        daemon.client.script(AppendFault.LATE, *[AppendFault.REFUSED] * 40)
        with pytest.raises(DurabilityUnknown):
            await daemon.propose("abandoned", timeout_s=1.0)
        await daemon.propose("later", timeout_s=200.0)
        log.land_late()
        await daemon.propose("last")
        assert daemon.fold.keys == ["later", "last"]
        assert daemon.abandoned == []
        await daemon.follower.close()

    run_virtual(scenario())


def test_abandoned_proposal_that_landed_is_reported():
    async def scenario():
        log = MemoryLog()
        daemon = started(log)
        daemon.client.script(AppendFault.ANSWER_LOST)
        daemon.client.reads_down = True
        with pytest.raises(DurabilityUnknown):
            await daemon.propose("abandoned", timeout_s=1.0)
        daemon.client.reads_down = False
        await daemon.propose("later")
        assert daemon.fold.keys == ["abandoned", "later"]
        assert daemon.abandoned == ["abandoned"]
        await daemon.follower.close()

    run_virtual(scenario())


def test_next_proposal_does_not_wait_for_retries_of_a_batch_that_landed():
    async def scenario():
        daemon = started(MemoryLog())
        daemon.client.script(*[AppendFault.REFUSED] * 5, AppendFault.ANSWER_LOST)
        await daemon.propose("a")
        decided_s = monotonic_s()
        await daemon.propose("b")
        assert monotonic_s() - decided_s < 0.01
        await daemon.follower.close()

    run_virtual(scenario())


def test_cancelled_proposal_counts_as_abandoned():
    async def scenario():
        log = MemoryLog()
        daemon = started(log)
        daemon.client.appends_down = True
        proposal = asyncio.ensure_future(daemon.propose("cancelled"))
        await asyncio.sleep(1)
        proposal.cancel()
        await asyncio.gather(proposal, return_exceptions=True)
        daemon.client.appends_down = False
        await daemon.propose("kept")
        assert daemon.fold.keys == ["kept"]
        await daemon.follower.close()

    run_virtual(scenario())


def test_record_overtaken_by_a_later_one_of_its_writer_is_sent_again():
    async def scenario():
        log = MemoryLog()
        daemon = started(log)
        daemon.client.script(*[AppendFault.REQUEST_LOST] * 3)
        proposal = asyncio.ensure_future(daemon.propose("a"))
        await asyncio.sleep(0.01)
        log.put("s", [payload("d1", 2, "overtaking")])
        assert isinstance(await proposal, Accepted)
        assert daemon.fold.keys == ["overtaking", "a"]
        await daemon.follower.close()

    run_virtual(scenario())


def test_reader_behind_never_moves_the_fold_back():
    async def scenario():
        log = MemoryLog()
        daemon = started(log)
        for key in "abc":
            await daemon.propose(key)
        daemon.client.hidden_records = 2
        log.put("s", [payload("d2", 1, "d")])
        await asyncio.sleep(60)
        assert daemon.follower.next_offset == 3
        daemon.client.hidden_records = 0
        await daemon.follower.catch_up(4, 60.0)
        assert daemon.fold.keys == ["a", "b", "c", "d"]
        await daemon.follower.close()

    run_virtual(scenario())


def test_read_with_a_gap_is_not_applied():
    async def scenario():
        log = MemoryLog()
        log.put("s", [payload("d2", number, str(number)) for number in (1, 2, 3)])
        daemon = Daemon(log)
        whole_read = daemon.client.read

        async def read_with_gap(stream, offset, limit, wait_s):
            batch = await whole_read(stream, offset, limit, wait_s)
            return LogBatch(tuple(entry for entry in batch.entries if entry.offset != 1), batch.end_offset)

        daemon.client.read = read_with_gap
        daemon.follower.start()
        await asyncio.sleep(30)
        assert daemon.fold.keys == ["1"]
        assert daemon.follower.counters.gaps > 0
        daemon.client.read = whole_read
        await daemon.follower.catch_up(3, 10.0)
        assert daemon.fold.keys == ["1", "2", "3"]
        await daemon.follower.close()

    run_virtual(scenario())


def test_adopted_entries_follow_without_a_gap():
    async def scenario():
        log = MemoryLog()
        up, cut_off = started(log), started(log, "d2")
        for key in "abcd":
            await up.propose(key)
        cut_off.client.down = True
        for key in "efg":
            await up.propose(key)
        await cut_off.follower.catch_up(4, 1.0)
        later = up.follower.entries_since(5)
        assert cut_off.follower.adopt(later) == 0
        assert cut_off.follower.adopt(up.follower.entries_since(2)) == 3
        assert cut_off.fold.keys == up.fold.keys
        with pytest.raises(DeadlineExceeded):
            await cut_off.follower.catch_up(8, 1.0)
        await asyncio.gather(up.follower.close(), cut_off.follower.close())

    run_virtual(scenario())


def test_unreadable_and_unknown_records_are_passed_over_alike():
    async def scenario():
        log = MemoryLog()
        newer = b'{"writer":"d9","sequence":1,"epoch":0,"body":{"type":"of_2031","x":1}}'
        log.put("s", [b"\xff", newer, payload("d2", 1, "a")])
        daemon = started(log)
        await daemon.follower.catch_up(3, 5.0)
        assert daemon.fold.keys == ["a"]
        assert daemon.follower.entries_since(1)[0].payload == newer
        await daemon.follower.close()

    run_virtual(scenario())


def test_start_from_a_snapshot_reads_only_what_follows(monkeypatch):
    monkeypatch.setattr(snapshots, "SNAPSHOT_EVERY_RECORDS", 10)

    async def scenario():
        log = MemoryLog()
        first = started(log, use_snapshots=True)
        for number in range(25):
            await first.propose(str(number))
        await asyncio.sleep(1)
        assert first.follower.counters.snapshots_taken == 2
        late = started(log, "d2", use_snapshots=True)
        await late.follower.synchronise(5.0)
        assert late.fold.keys == first.fold.keys
        assert late.follower.counters.applied == 5
        log.put("s", [payload("d1", 3, "copy")])
        await late.propose("end")
        assert "copy" not in late.fold.keys
        await asyncio.gather(first.follower.close(), late.follower.close())

    run_virtual(scenario())


def test_daemon_that_passed_over_unknown_kinds_takes_no_snapshot():
    state = StreamState(ListFold())
    state.apply(0, b'{"writer":"d9","sequence":1,"epoch":0,"body":{"type":"of_2031"}}')
    assert state.snapshot() is None


def test_older_newer_or_broken_snapshot_is_ignored():
    state = StreamState(ListFold())
    for offset, key in enumerate("abc"):
        state.apply(offset, payload("d1", offset + 1, key))
    good = state.snapshot()
    state.apply(3, payload("d1", 4, "d"))
    assert not state.restore(good)
    for snapshot in (
        msgspec.structs.replace(good, offset=9, schema_version=99),
        SnapshotTaken(offset=9, schema_version=1, state=msgspec.Raw(b'{"writers":{},"state":3}')),
    ):
        assert not state.restore(snapshot)
    assert state.fold.keys == ["a", "b", "c", "d"]
    assert state.next_offset == 4


def test_snapshot_is_not_adopted_while_a_record_of_ours_is_in_doubt():
    async def scenario():
        log = MemoryLog()
        other, starting = started(log, "d2"), started(log)
        starting.client.reads_down = True
        starting.client.script(*[AppendFault.REQUEST_LOST] * 3, AppendFault.ANSWER_LOST)
        proposal = asyncio.ensure_future(starting.propose("a"))
        await other.propose("b")
        assert not starting.follower.restore(other.follower.snapshot())
        await asyncio.sleep(5)
        starting.client.reads_down = False
        assert (await proposal).value == 2
        starting.client.reads_down = True
        await other.propose("c")
        assert starting.follower.restore(other.follower.snapshot())
        assert starting.fold.keys == ["b", "a", "c"]

    run_virtual(scenario())


def test_restored_state_still_knows_the_writers():
    state, restored = StreamState(ListFold()), StreamState(ListFold())
    state.apply(0, payload("d1", 1, "a"))
    assert restored.restore(state.snapshot())
    restored.apply(1, payload("d1", 1, "a"))
    assert restored.fold.keys == ["a"]


def test_writer_table_is_bounded_and_forgets_the_longest_silent():
    table = WriterTable()
    for number in range(WRITER_TABLE_CAPACITY):
        table.admit(f"w{number}", 1)
    table.admit("w0", 2)
    table.admit("new", 1)
    assert len(table.as_dict()) == WRITER_TABLE_CAPACITY
    assert not table.admit("w0", 2)
    assert "w1" not in table.as_dict()


def test_close_tells_what_is_known_of_each_proposal():
    async def scenario():
        log = MemoryLog()
        daemon = started(log)
        daemon.client.reads_down = True
        daemon.client.script(AppendFault.HANGS)
        in_doubt = asyncio.ensure_future(daemon.propose("in doubt"))
        await asyncio.sleep(0.1)
        waiting = asyncio.ensure_future(daemon.propose("waiting"))
        await asyncio.sleep(0.1)
        await daemon.follower.close()
        outcomes = await asyncio.gather(in_doubt, waiting, return_exceptions=True)
        assert [type(outcome) for outcome in outcomes] == [DurabilityUnknown, DurabilityUnavailable]
        with pytest.raises(DurabilityUnavailable):
            await daemon.propose("after")

    run_virtual(scenario())
