from random import Random

import msgspec
import pytest

from passgate.membership.config import MembershipConfig
from passgate.membership.messages import (
    Ack,
    AliveNews,
    DeadNews,
    Gossip,
    LeftNews,
    MemberInfo,
    MemberState,
    Nack,
    Ping,
    PingRequest,
    SuspectNews,
    SyncDigest,
    decode_message,
)
from passgate.membership.swim import Swim

CONFIG = MembershipConfig()


def address(name: str) -> str:
    return f"{name}:1"


def make(name: str = "a", incarnation: int = 0, config: MembershipConfig = CONFIG) -> Swim:
    info = MemberInfo(member_id=name, address=address(name), zone="z", incarnation=incarnation)
    return Swim(info, config, Random(name))


def introduce(swim: Swim, *names: str, incarnation: int = 0) -> None:
    news = tuple(AliveNews(name, incarnation, address(name), "z") for name in names)
    swim.receive(address(names[0]), Gossip(news), 0.0)


def run_until(swim: Swim, start_s: float, end_s: float) -> list:
    out = []
    now_s = start_s
    while now_s <= end_s:
        out += swim.tick(now_s)
        now_s = max(now_s + 0.01, swim.next_wakeup_s())
    return out


def messages(out: list, kind: type) -> list:
    return [item.message for item in out if isinstance(item.message, kind)]


def test_silent_member_is_probed_through_helpers_suspected_and_declared_dead():
    swim = make()
    introduce(swim, "b", "c", "d")
    out = run_until(swim, 0.0, 1.9)
    assert messages(out, Ping) and messages(out, PingRequest)
    run_until(swim, 1.9, 60.0)
    assert swim.get("b").state is MemberState.DEAD
    assert swim.counters.deaths == 3


def test_suspected_member_is_told_and_refutes_under_a_higher_incarnation():
    accused = make("b")
    accuse = Ping(1, "b", (SuspectNews("b", 0, "a"),))
    [answer] = accused.receive(address("a"), accuse, 1.0)
    refutation = [news for news in answer.message.news if news.member_id == "b"]
    assert refutation == [AliveNews("b", 1, address("b"), "z")]

    accuser = make("a")
    introduce(accuser, "b", "c")
    accuser.receive("c:1", Gossip((SuspectNews("b", 0, "c"),)), 0.0)
    assert accuser.get("b").state is MemberState.SUSPECT
    accuser.receive(address("b"), answer.message, 1.0)
    assert accuser.get("b").state is MemberState.ALIVE
    assert accuser.get("b").incarnation == 1


@pytest.mark.parametrize("gone", [DeadNews("b", 3), LeftNews("b", 3)])
def test_old_alive_does_not_bring_a_gone_member_back(gone):
    swim = make()
    introduce(swim, "b", incarnation=3)
    swim.receive("c:1", Gossip((gone,)), 1.0)
    introduce(swim, "b", incarnation=3)
    introduce(swim, "b", incarnation=2)
    assert not [m for m in swim.members() if m.member_id == "b" and m.state is MemberState.ALIVE]


def test_reaped_member_needs_a_higher_incarnation_and_is_told_so():
    swim = make(config=MembershipConfig(gone_retention_s=30.0))
    introduce(swim, "b", incarnation=3)
    swim.receive("c:1", Gossip((DeadNews("b", 3),)), 1.0)
    run_until(swim, 1.0, 60.0)
    assert swim.get("b") is None
    introduce(swim, "b", incarnation=3)
    assert swim.get("b") is None
    [answer] = swim.receive(address("b"), Ping(1, "a"), 61.0)
    assert DeadNews("b", 3) in answer.message.news
    introduce(swim, "b", incarnation=4)
    assert swim.get("b").state is MemberState.ALIVE


def test_restart_under_the_same_id_takes_a_higher_incarnation():
    seed = make("a")
    introduce(seed, "b", incarnation=7)
    restarted = make("b")
    [joining] = restarted.join([address("a")], 1.0)
    [table] = seed.receive(address("b"), joining.message, 1.0)
    restarted.receive(address("a"), table.message, 1.0)
    assert restarted.self_info.incarnation == 8
    out = restarted.tick(1.0)
    for item in out + run_until(restarted, 1.0, 2.0):
        seed.receive(address("b"), item.message, 2.0)
    assert seed.get("b").incarnation == 8


def test_leaving_member_is_neither_probed_nor_suspected():
    swim = make()
    introduce(swim, "b")
    leaver = make("b")
    introduce(leaver, "a")
    for item in leaver.leave(1.0):
        swim.receive(address("b"), item.message, 1.0)
    assert swim.get("b").state is MemberState.LEFT
    assert not messages(run_until(swim, 1.0, 30.0), Ping)
    assert swim.counters.suspicions == 0


def test_leaving_member_does_not_refute_its_own_leave():
    leaver = make("b")
    introduce(leaver, "a")
    leaver.leave(1.0)
    leaver.receive(address("a"), Gossip((LeftNews("b", 0), SuspectNews("b", 0, "a"))), 1.1)
    assert leaver.self_info.state is MemberState.LEFT
    assert leaver.self_info.incarnation == 0


def test_paused_daemon_accuses_nobody_when_it_wakes():
    swim = make()
    introduce(swim, "b", "c")
    now_s = 0.0
    for _ in range(200):
        sent = swim.tick(now_s)
        pings = messages(sent, Ping)
        if pings:
            # The process stops here and the answer stays unread; timers fire first when it wakes,
            # and the one that is due may be the very deadline of this probe.
            now_s = swim.next_wakeup_s() + 30.0
            woken = swim.tick(now_s)
            assert not messages(woken, PingRequest)
            pings += messages(woken, Ping)
        for ping in pings:
            swim.receive(address(ping.target), Ack(ping.sequence), now_s)
        now_s = max(now_s + 0.01, swim.next_wakeup_s())
    assert swim.counters.pauses > 10
    assert swim.counters.suspicions == 0


def test_daemon_without_helpers_answers_doubts_itself_and_waits_longer():
    cut_off = make()
    introduce(cut_off, "b", "c", "d")
    run_until(cut_off, 0.0, 3.0)
    helped = make()
    introduce(helped, "b", "c", "d")
    now_s = 0.0
    while now_s <= 3.0:
        for request in messages(helped.tick(now_s), PingRequest):
            for helper in "bcd":
                helped.receive(address(helper), Nack(request.sequence), now_s)
        now_s += 0.02
    assert cut_off.health_multiplier > 1
    assert helped.health_multiplier == 1


def test_ping_for_another_daemon_that_had_our_address_is_not_answered():
    assert make().receive("b:1", Ping(1, "predecessor"), 0.0) == []


def test_news_is_sent_a_bounded_number_of_times():
    swim = make()
    introduce(swim, "b", "c")
    out = run_until(swim, 0.0, 30.0)
    carried = [news for item in out for news in getattr(item.message, "news", ()) if news.member_id == "a"]
    assert 0 < len(carried) <= 12


def test_equal_tables_exchange_one_digest_and_different_ones_only_differing_rows():
    names = [f"n{index}" for index in range(60)]
    one, two = make("a"), make("b")
    introduce(one, "b", *names)
    introduce(two, "a", *names)
    assert one.digest() == two.digest()
    assert two.receive(address("a"), SyncDigest(one.digest()), 1.0) == []

    introduce(two, "extra")
    [parts] = two.receive(address("a"), SyncDigest(one.digest()), 1.0)
    [rows] = one.receive(address("b"), parts.message, 1.0)
    assert len(rows.message.buckets) == 1
    assert len(rows.message.alive) < len(names) / 2
    [back] = two.receive(address("a"), rows.message, 1.0)
    assert one.receive(address("b"), back.message, 1.0) == []
    assert one.digest() == two.digest()


def test_metadata_of_an_older_version_does_not_return():
    swim = make()
    newer = AliveNews("b", 1, address("b"), "z", 2, {"role": "new"})
    older = AliveNews("b", 1, address("b"), "z", 1, {"role": "old"})
    swim.receive("b:1", Gossip((newer,)), 0.0)
    swim.receive("c:1", Gossip((older,)), 1.0)
    assert swim.get("b").metadata == {"role": "new"}


def test_held_revision_of_a_dead_peer_is_forgotten():
    swim = make()
    introduce(swim, "b")
    swim.receive(address("b"), Gossip((), {"configuration": 4}), 0.0)
    assert swim.held.ahead("configuration") == {address("b"): 4}
    swim.receive("c:1", Gossip((DeadNews("b", 0),)), 1.0)
    assert swim.held.ahead("configuration") == {}


def test_half_of_the_probes_go_to_a_zone_with_several_suspects():
    swim = make()
    far = [AliveNews(f"far{index}", 0, f"far{index}:1", f"zone-{index % 5}") for index in range(10)]
    near = [AliveNews(f"near{index}", 0, f"near{index}:1", "z") for index in range(10)]
    swim.receive("b:1", Gossip((*far, *near)), 0.0)
    targets = swim._targets
    doubtful = frozenset({"zone-3"})
    chosen = [targets.next_probe(doubtful).zone for _ in range(400)]
    assert chosen.count("zone-3") > 150
    swim.receive("b:1", Gossip((SuspectNews("far3", 0, "b"), SuspectNews("far8", 0, "b"))), 0.0)
    assert swim._suspicions.doubtful_zones() == doubtful
    swim.receive("b:1", Gossip((AliveNews("far3", 1, "far3:1", "zone-3"),)), 0.0)
    assert swim._suspicions.doubtful_zones() == frozenset()


def test_oversized_metadata_is_still_told_and_then_given_up():
    swim = make(config=MembershipConfig(news_bytes=200))
    introduce(swim, "b")
    swim.set_metadata("note", "x" * 500)
    out = run_until(swim, 0.0, 30.0)
    told = [news for item in out for news in getattr(item.message, "news", ()) if news.member_id == "a"]
    assert any(news.metadata for news in told)
    assert len(told) <= 12


def test_numbers_that_would_break_later_arithmetic_are_refused():
    with pytest.raises(msgspec.MsgspecError):
        decode_message(b'["g",[["d","b",%d]]]' % 2**64)
    with pytest.raises(msgspec.MsgspecError):
        decode_message(b'["g",[["d","b",-1]]]')
    assert decode_message(b'["g",[["d","b",7]]]') == Gossip((DeadNews("b", 7),))


def test_member_held_as_dead_learns_it_from_the_answer_to_its_ping():
    swim = make()
    introduce(swim, "b")
    swim.receive("c:1", Gossip((DeadNews("b", 0),)), 0.0)
    for sequence in range(50):
        [answer] = swim.receive("c:1", Ping(sequence, "a"), 1.0)
    assert answer.message.news == (), "the news was sent as often as it is sent"
    woken = make("b")
    [answer] = swim.receive(address("b"), Ping(1, "a"), 30.0)
    woken.receive(address("a"), answer.message, 30.0)
    assert woken.self_info.incarnation == 1
    [answer] = swim.receive(address("b"), Ping(2, "a", (AliveNews("b", 1, address("b"), "z"),)), 31.0)
    assert DeadNews("b", 0) not in answer.message.news
    assert swim.get("b").state is MemberState.ALIVE
