"""Choice of a replica beside isolated runs.

Guards against a request that crashes replicas beside the isolated run of another one, which then counts as a
possible cause as well.
"""

import math

import msgspec
import pytest

from passgate.eligibility.isolation import Isolation
from passgate.eligibility.replica_info import ReplicaIncarnation, ReplicaInfo
from passgate.eligibility.topology import Topology
from passgate.gateway.replica_state import FULL_LOAD, ReplicaQuery
from passgate.gateway.replica_table import ReplicaTable

SLOTS = 4
QUERY = ReplicaQuery(services=frozenset({"s"}), load_below=FULL_LOAD)


def make_table(count):
    replicas = ReplicaTable(Topology(zone="z1"), seed=1)
    for number in range(count):
        name = f"r{number}"
        replicas.put(ReplicaInfo(replica_id=name, service="s", address=f"h:{number}", zone="z1", slots=SLOTS))
    return replicas


def incarnations(*names):
    return frozenset(ReplicaIncarnation(name) for name in names)


def choose(replicas, now_s=0.0, load_below=FULL_LOAD, **isolation):
    query = msgspec.structs.replace(QUERY, isolation=Isolation(**isolation), load_below=load_below)
    state = replicas.choose(query, now_s)
    return None if state is None else state.info.replica_id


@pytest.mark.parametrize("load_below", [FULL_LOAD, math.inf], ids=["job item", "plain request"])
def test_a_request_gets_no_replica_with_an_isolated_run_however_loaded_the_others_are(load_below):
    replicas = make_table(2)
    replicas.get("r0").in_flight = 3 * SLOTS
    chosen = choose(replicas, avoided=incarnations("r1"), load_below=load_below)
    assert chosen == (None if load_below == FULL_LOAD else "r0")


def test_a_request_gets_a_replica_with_an_isolated_run_if_no_other_is_usable():
    replicas = make_table(2)
    replicas.record_unreachable(ReplicaIncarnation("r0"), 0.0)
    assert choose(replicas, avoided=incarnations("r1")) == "r1"


def test_isolated_runs_get_at_most_half_of_the_replicas_rounded_up():
    assert choose(make_table(1), is_isolated=True) == "r0"
    assert choose(make_table(1), is_isolated=True, avoided=incarnations("r0")) is None
    assert choose(make_table(2), is_isolated=True, avoided=incarnations("r0")) is None
    assert choose(make_table(3), is_isolated=True, avoided=incarnations("r0")) in {"r1", "r2"}
    assert choose(make_table(3), is_isolated=True, avoided=incarnations("r0", "r1")) is None
    assert choose(make_table(4), is_isolated=True, avoided=incarnations("r0")) in {"r1", "r2", "r3"}
    assert choose(make_table(4), is_isolated=True, avoided=incarnations("r0", "r1")) is None


def test_an_isolated_run_gets_no_incarnation_that_has_crashed():
    """A new process may run under the same replica ID, and its crash would be taken for the old one's."""
    assert choose(make_table(2), is_isolated=True, crashed=incarnations("r0")) == "r1"
    assert choose(make_table(1), is_isolated=True, crashed=incarnations("r0")) is None


def test_a_request_does_not_move_to_a_replica_with_an_isolated_run():
    replicas = make_table(2)
    own, faster = ReplicaIncarnation("r0"), ReplicaIncarnation("r1")
    for _ in range(20):
        replicas.record_latency(own, 1.0, now_s=0.0)
    query = msgspec.structs.replace(QUERY, excluded=frozenset({own}))
    assert replicas.has_faster(own, query, now_s=0.0)
    isolated = msgspec.structs.replace(query, isolation=Isolation(avoided=frozenset({faster})))
    assert not replicas.has_faster(own, isolated, now_s=0.0)
