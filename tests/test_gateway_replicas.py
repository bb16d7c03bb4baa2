"""Choice of a replica after one refused a request; with free slots, that one is probably loading weights."""

from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.topology import Topology
from passgate.gateway.replica_state import ASSUMED_LOADING_S, FULL_LOAD, ReplicaQuery
from passgate.gateway.replica_table import ReplicaTable

QUERY = ReplicaQuery(services=frozenset({"s"}), load_below=FULL_LOAD)


def make_table(count, slots=4):
    replicas = ReplicaTable(Topology(zone="z1"), seed=1)
    for number in range(count):
        name = f"r{number}"
        replicas.put(ReplicaInfo(replica_id=name, service="s", address=f"h:{number}", zone="z1", slots=slots))
    return replicas


def chosen_id(replicas, now_s):
    return replicas.choose(QUERY, now_s).info.replica_id


def test_a_replica_that_refused_with_free_slots_is_chosen_last_while_it_is_loading():
    replicas = make_table(3)
    replicas.get("r0").record_refusal(now_s=10.0)
    replicas.get("r1").in_flight = replicas.get("r2").in_flight = 3
    assert chosen_id(replicas, 10.0 + ASSUMED_LOADING_S / 2) in {"r1", "r2"}
    assert chosen_id(replicas, 10.0 + ASSUMED_LOADING_S) == "r0"


def test_a_replica_that_refused_with_free_slots_is_chosen_if_the_others_are_full():
    replicas = make_table(2)
    replicas.get("r0").record_refusal(now_s=10.0)
    replicas.get("r1").in_flight = 4
    assert chosen_id(replicas, 10.1) == "r0"


def test_a_replica_that_refused_when_full_is_not_assumed_to_be_loading():
    replicas = make_table(2)
    full = replicas.get("r0")
    full.in_flight = 4
    full.record_refusal(now_s=10.0)
    full.in_flight = 0
    replicas.get("r1").in_flight = 3
    assert chosen_id(replicas, 10.1) == "r0"


def test_an_answer_shows_that_a_replica_is_not_loading():
    replicas = make_table(2)
    replicas.get("r0").record_refusal(now_s=10.0)
    replicas.get("r0").record_answer_start()
    replicas.get("r1").in_flight = 1
    assert chosen_id(replicas, 10.1) == "r0"
