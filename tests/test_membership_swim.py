from random import Random

import msgspec
import pytest

from passgate.membership.config import MembershipConfig
from passgate.membership.messages import (
    Ack,
    AliveUpdate,
    DeadUpdate,
    Gossip,
    LeftUpdate,
    MemberInfo,
    MemberState,
    Nack,
    Ping,
    PingRequest,
    SuspectUpdate,
    SyncDigest,
    decode_message,
)
from passgate.membership.swim import Swim

CONFIG = MembershipConfig()


def address_of(name: str) -> str:
    return f"{name}:1"


def make_swim(name: str = "a", incarnation: int = 0, config: MembershipConfig = CONFIG) -> Swim:
    info = MemberInfo(member_id=name, address=address_of(name), zone="z", incarnation=incarnation)
    return Swim(info, config, Random(name))


def add_members(swim: Swim, *names: str, incarnation: int = 0) -> None:
    update = tuple(AliveUpdate(name, incarnation, address_of(name), "z") for name in names)
    swim.receive(address_of(names[0]), Gossip(update), 0.0)


def run_until(swim: Swim, start_s: float, end_s: float) -> list:
    out = []
    now_s = start_s
    while now_s <= end_s:
        out += swim.tick(now_s)
        now_s = max(now_s + 0.01, swim.next_wakeup_s())
    return out


def messages_of_kind(out: list, kind: type) -> list:
    return [item.message for item in out if isinstance(item.message, kind)]


def test_silent_member_is_probed_through_helpers_suspected_and_declared_dead():
    swim = make_swim()
    add_members(swim, "b", "c", "d")
    out = run_until(swim, 0.0, 1.9)
    assert messages_of_kind(out, Ping) and messages_of_kind(out, PingRequest)
    run_until(swim, 1.9, 60.0)
    assert swim.get("b").state is MemberState.DEAD
    assert swim.counters.deaths == 3


def test_suspected_member_is_notified_and_refutes_under_a_higher_incarnation():
    accused = make_swim("b")
    accuse = Ping(1, "b", (SuspectUpdate("b", 0, "a"),))
    [answer] = accused.receive(address_of("a"), accuse, 1.0)
    refutation = [update for update in answer.message.updates if update.member_id == "b"]
    assert refutation == [AliveUpdate("b", 1, address_of("b"), "z")]

    accuser = make_swim("a")
    add_members(accuser, "b", "c")
    accuser.receive("c:1", Gossip((SuspectUpdate("b", 0, "c"),)), 0.0)
    assert accuser.get("b").state is MemberState.SUSPECT
    accuser.receive(address_of("b"), answer.message, 1.0)
    assert accuser.get("b").state is MemberState.ALIVE
    assert accuser.get("b").incarnation == 1


@pytest.mark.parametrize("gone", [DeadUpdate("b", 3), LeftUpdate("b", 3)])
def test_outdated_alive_update_does_not_revive_a_gone_member(gone):
    swim = make_swim()
    add_members(swim, "b", incarnation=3)
    swim.receive("c:1", Gossip((gone,)), 1.0)
    add_members(swim, "b", incarnation=3)
    add_members(swim, "b", incarnation=2)
    assert not [m for m in swim.members() if m.member_id == "b" and m.state is MemberState.ALIVE]


def test_reaped_member_needs_a_higher_incarnation_and_is_notified():
    swim = make_swim(config=MembershipConfig(gone_retention_s=30.0))
    add_members(swim, "b", incarnation=3)
    swim.receive("c:1", Gossip((DeadUpdate("b", 3),)), 1.0)
    run_until(swim, 1.0, 60.0)
    assert swim.get("b") is None
    add_members(swim, "b", incarnation=3)
    assert swim.get("b") is None
    [answer] = swim.receive(address_of("b"), Ping(1, "a"), 61.0)
    assert DeadUpdate("b", 3) in answer.message.updates
    add_members(swim, "b", incarnation=4)
    assert swim.get("b").state is MemberState.ALIVE


def test_restart_under_the_same_id_takes_a_higher_incarnation():
    seed = make_swim("a")
    add_members(seed, "b", incarnation=7)
    restarted = make_swim("b")
    [joining] = restarted.join([address_of("a")], 1.0)
    [table] = seed.receive(address_of("b"), joining.message, 1.0)
    restarted.receive(address_of("a"), table.message, 1.0)
    assert restarted.self_info.incarnation == 8
    out = restarted.tick(1.0)
    for item in out + run_until(restarted, 1.0, 2.0):
        seed.receive(address_of("b"), item.message, 2.0)
    assert seed.get("b").incarnation == 8


def test_leaving_member_is_neither_probed_nor_suspected():
    swim = make_swim()
    add_members(swim, "b")
    leaver = make_swim("b")
    add_members(leaver, "a")
    for item in leaver.leave(1.0):
        swim.receive(address_of("b"), item.message, 1.0)
    assert swim.get("b").state is MemberState.LEFT
    assert not messages_of_kind(run_until(swim, 1.0, 30.0), Ping)
    assert swim.counters.suspicions == 0


def test_leaving_member_does_not_refute_its_own_leave():
    leaver = make_swim("b")
    add_members(leaver, "a")
    leaver.leave(1.0)
    leaver.receive(address_of("a"), Gossip((LeftUpdate("b", 0), SuspectUpdate("b", 0, "a"))), 1.1)
    assert leaver.self_info.state is MemberState.LEFT
    assert leaver.self_info.incarnation == 0


def test_paused_daemon_suspects_no_member_when_it_resumes():
    swim = make_swim()
    add_members(swim, "b", "c")
    now_s = 0.0
    for _ in range(200):
        sent = swim.tick(now_s)
        pings = messages_of_kind(sent, Ping)
        if pings:
            # The process pauses here with the answer unread.  When it resumes, timers fire before
            # the answer is read, and the due one may be the deadline of this probe.
            now_s = swim.next_wakeup_s() + 30.0
            resumed = swim.tick(now_s)
            assert not messages_of_kind(resumed, PingRequest)
            pings += messages_of_kind(resumed, Ping)
        for ping in pings:
            swim.receive(address_of(ping.target), Ack(ping.sequence), now_s)
        now_s = max(now_s + 0.01, swim.next_wakeup_s())
    assert swim.counters.pauses > 10
    assert swim.counters.suspicions == 0


def test_daemon_without_answers_from_helpers_degrades_its_health_score():
    cut_off = make_swim()
    add_members(cut_off, "b", "c", "d")
    run_until(cut_off, 0.0, 3.0)
    helped = make_swim()
    add_members(helped, "b", "c", "d")
    now_s = 0.0
    while now_s <= 3.0:
        for request in messages_of_kind(helped.tick(now_s), PingRequest):
            for helper in "bcd":
                helped.receive(address_of(helper), Nack(request.sequence), now_s)
        now_s += 0.02
    assert cut_off.health_multiplier > 1
    assert helped.health_multiplier == 1


def test_ping_for_a_previous_daemon_at_the_address_is_not_answered():
    assert make_swim().receive("b:1", Ping(1, "predecessor"), 0.0) == []


def test_update_is_sent_a_bounded_number_of_times():
    swim = make_swim()
    add_members(swim, "b", "c")
    out = run_until(swim, 0.0, 30.0)
    sent_updates = [
        update for item in out for update in getattr(item.message, "updates", ()) if update.member_id == "a"
    ]
    assert 0 < len(sent_updates) <= 12


def test_equal_tables_exchange_one_digest_and_different_ones_only_differing_rows():
    names = [f"n{index}" for index in range(60)]
    one, two = make_swim("a"), make_swim("b")
    add_members(one, "b", *names)
    add_members(two, "a", *names)
    assert one.digest() == two.digest()
    assert two.receive(address_of("a"), SyncDigest(one.digest()), 1.0) == []

    add_members(two, "extra")
    [buckets] = two.receive(address_of("a"), SyncDigest(one.digest()), 1.0)
    [rows] = one.receive(address_of("b"), buckets.message, 1.0)
    assert len(rows.message.buckets) == 1
    assert len(rows.message.alive) < len(names) / 2
    [back] = two.receive(address_of("a"), rows.message, 1.0)
    assert one.receive(address_of("b"), back.message, 1.0) == []
    assert one.digest() == two.digest()


def test_older_metadata_version_does_not_replace_a_newer_one():
    swim = make_swim()
    newer = AliveUpdate("b", 1, address_of("b"), "z", 2, {"role": "new"})
    older = AliveUpdate("b", 1, address_of("b"), "z", 1, {"role": "old"})
    swim.receive("b:1", Gossip((newer,)), 0.0)
    swim.receive("c:1", Gossip((older,)), 1.0)
    assert swim.get("b").metadata == {"role": "new"}


def test_revision_of_a_dead_peer_is_discarded():
    swim = make_swim()
    add_members(swim, "b")
    swim.receive(address_of("b"), Gossip((), {"configuration": 4}), 0.0)
    assert swim.revision_tracker.peers_ahead("configuration") == {address_of("b"): 4}
    swim.receive("c:1", Gossip((DeadUpdate("b", 0),)), 1.0)
    assert swim.revision_tracker.peers_ahead("configuration") == {}


def test_half_of_the_probes_go_to_a_zone_with_several_suspects():
    swim = make_swim()
    far = [AliveUpdate(f"far{index}", 0, f"far{index}:1", f"zone-{index % 5}") for index in range(10)]
    near = [AliveUpdate(f"near{index}", 0, f"near{index}:1", "z") for index in range(10)]
    swim.receive("b:1", Gossip((*far, *near)), 0.0)
    peer_selector = swim._peer_selector
    suspect_zones = frozenset({"zone-3"})
    chosen = [peer_selector.next_probe_target(suspect_zones).zone for _ in range(400)]
    assert chosen.count("zone-3") > 150
    swim.receive("b:1", Gossip((SuspectUpdate("far3", 0, "b"), SuspectUpdate("far8", 0, "b"))), 0.0)
    assert swim._suspicions.suspect_zones() == suspect_zones
    swim.receive("b:1", Gossip((AliveUpdate("far3", 1, "far3:1", "zone-3"),)), 0.0)
    assert swim._suspicions.suspect_zones() == frozenset()


def test_oversized_metadata_is_sent_a_bounded_number_of_times():
    swim = make_swim(config=MembershipConfig(maximum_update_bytes=200))
    add_members(swim, "b")
    swim.set_metadata("note", "x" * 500)
    out = run_until(swim, 0.0, 30.0)
    sent_updates = [
        update for item in out for update in getattr(item.message, "updates", ()) if update.member_id == "a"
    ]
    assert any(update.metadata for update in sent_updates)
    assert len(sent_updates) <= 12


def test_out_of_range_incarnations_are_rejected():
    with pytest.raises(msgspec.MsgspecError):
        decode_message(b'["g",[["d","b",%d]]]' % 2**64)
    with pytest.raises(msgspec.MsgspecError):
        decode_message(b'["g",[["d","b",-1]]]')
    assert decode_message(b'["g",[["d","b",7]]]') == Gossip((DeadUpdate("b", 7),))


def test_dead_member_learns_its_state_from_the_answer_to_its_ping():
    swim = make_swim()
    add_members(swim, "b")
    swim.receive("c:1", Gossip((DeadUpdate("b", 0),)), 0.0)
    for sequence in range(50):
        [answer] = swim.receive("c:1", Ping(sequence, "a"), 1.0)
    assert answer.message.updates == (), "the update has reached its transmission limit"
    resumed = make_swim("b")
    [answer] = swim.receive(address_of("b"), Ping(1, "a"), 30.0)
    resumed.receive(address_of("a"), answer.message, 30.0)
    assert resumed.self_info.incarnation == 1
    [answer] = swim.receive(address_of("b"), Ping(2, "a", (AliveUpdate("b", 1, address_of("b"), "z"),)), 31.0)
    assert DeadUpdate("b", 0) not in answer.message.updates
    assert swim.get("b").state is MemberState.ALIVE
