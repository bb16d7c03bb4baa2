"""Which replica gets a request, after refusals."""

from passgate.eligibility.places import Places
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.gateway.replicas import FULL_LOAD, LOADING_S, ChoiceRequest, ReplicaTable

WISH = ChoiceRequest(services=frozenset({"s"}), load_below=FULL_LOAD)


def table(count, slots=4):
    replicas = ReplicaTable(Places(zone="z1"), seed=1)
    for number in range(count):
        name = f"r{number}"
        replicas.put(ReplicaInfo(replica_id=name, service="s", address=f"h:{number}", zone="z1", slots=slots))
    return replicas


def chosen(replicas, now_s):
    return replicas.choose(WISH, now_s).info.replica_id


def test_a_replica_that_refused_with_room_comes_after_the_others_while_it_loads():
    replicas = table(3)
    replicas.get("r0").refused(now_s=10.0)
    replicas.get("r1").in_flight = replicas.get("r2").in_flight = 3
    assert chosen(replicas, 10.0 + LOADING_S / 2) in {"r1", "r2"}
    assert chosen(replicas, 10.0 + LOADING_S) == "r0"


def test_a_replica_that_refused_with_room_is_taken_when_no_other_has_room():
    replicas = table(2)
    replicas.get("r0").refused(now_s=10.0)
    replicas.get("r1").in_flight = 4
    assert chosen(replicas, 10.1) == "r0"


def test_a_full_replica_that_refused_is_not_taken_to_load():
    replicas = table(2)
    full = replicas.get("r0")
    full.in_flight = 4
    full.refused(now_s=10.0)
    full.in_flight = 0
    replicas.get("r1").in_flight = 3
    assert chosen(replicas, 10.1) == "r0"


def test_an_answer_ends_the_suspicion():
    replicas = table(2)
    replicas.get("r0").refused(now_s=10.0)
    replicas.get("r0").accepted()
    replicas.get("r1").in_flight = 1
    assert chosen(replicas, 10.1) == "r0"
