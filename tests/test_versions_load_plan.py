"""Which replicas load which version: turns of models, shares, limits."""

from passgate.eligibility.replica_info import ReplicaInfo, ReplicaLife
from passgate.gateway.replicas import ReplicaState
from passgate.versions.load_plan import LoadLimit, ModelNeed, plan_loads

LOAD_S = 0.9


def replica(number, versions, *, slots=8):
    info = ReplicaInfo(
        replica_id=f"r{number:02}", service="llm", address="a", zone="z", slots=slots, model_versions=versions
    )
    return ReplicaState(info)


def replicas(count, models):
    return [replica(number, dict.fromkeys(models, 1)) for number in range(count)]


def load_all(states, needs, *, at_once):
    """Carry out a plan in rounds until nothing is wanted; return the rounds' models."""
    rounds = []
    while True:
        choices = plan_loads(needs, states, loading={}, now_s=0.0)[:at_once]
        if not choices:
            return rounds
        versions = {need.model: need.version for need in needs}
        for choice in choices:
            choice.state.observed_versions[choice.model] = versions[choice.model]
        rounds.append([choice.model for choice in choices])


def test_no_model_waits_for_all_loads_of_another():
    """Three trainers that name versions all the time: each model gets replicas in each round.

    Fails with one model loaded to its end first: two trainers' jobs found no replica.
    """
    states = replicas(23, "abc")
    needs = [ModelNeed(model=model, version=3, lag=1, items=48) for model in "abc"]
    first = load_all(states, needs, at_once=9)[0]
    assert {model: first.count(model) for model in "abc"} == {"a": 3, "b": 3, "c": 3}


def test_each_version_costs_one_share_of_the_replicas_and_two_shares_serve():
    states = replicas(23, "abc")
    loads = []
    for version in range(2, 10):
        needs = [ModelNeed(model=model, version=version, lag=1, items=48) for model in "abc"]
        loads.append(sum(len(models) for models in load_all(states, needs, at_once=9)))
        for model in "abc":
            serving = [state for state in states if state.version_of(model) >= version - 1]
            assert len(serving) >= 15
    assert sum(loads) <= 8 * 24


def test_a_model_alone_is_loaded_everywhere():
    states = replicas(5, "a")
    load_all(states, [ModelNeed(model="a", version=2, lag=1)], at_once=2)
    assert all(state.version_of("a") == 2 for state in states)


def test_a_trainer_that_allows_only_the_newest_gets_its_share_of_it():
    states = replicas(6, "ab")
    load_all(states, [ModelNeed(model="a", version=2, lag=0)], at_once=2)
    assert sum(state.version_of("a") == 2 for state in states) == 3


def test_a_large_job_gets_as_many_replicas_as_it_has_items():
    states = replicas(12, "abc")
    load_all(states, [ModelNeed(model="a", version=3, lag=1, items=90)], at_once=4)
    assert sum(state.version_of("a") >= 2 for state in states) == 12


def test_replicas_that_load_or_wait_get_no_second_order():
    states = replicas(3, "ab")
    needs = [ModelNeed(model="a", version=3, lag=1), ModelNeed(model="b", version=3, lag=1)]
    choices = plan_loads(
        needs, states, loading={ReplicaLife("r00"): "a"}, waiting={ReplicaLife("r01")}, now_s=0.0
    )
    assert [choice.state.info.replica_id for choice in choices] == ["r02"]


def test_loads_that_slow_each_other_down_become_fewer_and_recover():
    limit = LoadLimit()
    assert limit.allowed(20) == 8
    limit.observe(LOAD_S)
    for _ in range(3):
        limit.observe(LOAD_S * 4)
    assert limit.allowed(20) == 2
    for _ in range(20):
        limit.observe(LOAD_S)
    assert limit.allowed(20) == 8
    assert limit.allowed(1) == 1
