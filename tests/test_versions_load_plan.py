"""The share of replicas that loads each version, the turns of models, and the limit of concurrent loads."""

from passgate.eligibility.replica_info import ReplicaIncarnation, ReplicaInfo
from passgate.gateway.replica_state import ReplicaState
from passgate.versions.load_plan import LoadLimit, ModelDemand, plan_loads

LOAD_S = 0.9


def make_replica(number, versions, *, slots=8):
    info = ReplicaInfo(
        replica_id=f"r{number:02}", service="llm", address="a", zone="z", slots=slots, model_versions=versions
    )
    return ReplicaState(info)


def make_replicas(count, models):
    return [make_replica(number, dict.fromkeys(models, 1)) for number in range(count)]


def execute_plan(states, needs, *, concurrent_loads):
    """Execute plans in rounds until nothing is left to load; return the models of each round."""
    rounds = []
    while True:
        planned = plan_loads(needs, states, model_by_loading_replica={}, now_s=0.0)[:concurrent_loads]
        if not planned:
            return rounds
        versions = {need.model: need.version for need in needs}
        for load in planned:
            load.state.reported_versions[load.model] = versions[load.model]
        rounds.append([choice.model for choice in planned])


def test_each_model_gets_loads_in_each_round():
    """Guards against loading one model everywhere first, while the others' jobs have no replicas."""
    states = make_replicas(23, "abc")
    needs = [ModelDemand(model=model, version=3, lag=1, items=48) for model in "abc"]
    first = execute_plan(states, needs, concurrent_loads=9)[0]
    assert {model: first.count(model) for model in "abc"} == {"a": 3, "b": 3, "c": 3}


def test_each_version_is_loaded_by_one_share_of_the_replicas_and_two_shares_serve():
    states = make_replicas(23, "abc")
    load_counts = []
    for version in range(2, 10):
        needs = [ModelDemand(model=model, version=version, lag=1, items=48) for model in "abc"]
        load_counts.append(sum(len(models) for models in execute_plan(states, needs, concurrent_loads=9)))
        for model in "abc":
            serving = [state for state in states if state.weight_version(model) >= version - 1]
            assert len(serving) >= 15
    assert sum(load_counts) <= 8 * 24


def test_a_single_model_is_loaded_by_all_replicas():
    states = make_replicas(5, "a")
    execute_plan(states, [ModelDemand(model="a", version=2, lag=1)], concurrent_loads=2)
    assert all(state.weight_version("a") == 2 for state in states)


def test_a_trainer_that_accepts_only_the_newest_version_gets_its_share_of_replicas():
    states = make_replicas(6, "ab")
    execute_plan(states, [ModelDemand(model="a", version=2, lag=0)], concurrent_loads=2)
    assert sum(state.weight_version("a") == 2 for state in states) == 3


def test_a_large_job_gets_enough_replicas_for_all_its_items():
    states = make_replicas(12, "abc")
    execute_plan(states, [ModelDemand(model="a", version=3, lag=1, items=90)], concurrent_loads=4)
    assert sum(state.weight_version("a") >= 2 for state in states) == 12


def test_loading_and_excluded_replicas_get_no_order():
    states = make_replicas(3, "ab")
    needs = [ModelDemand(model="a", version=3, lag=1), ModelDemand(model="b", version=3, lag=1)]
    planned = plan_loads(
        needs,
        states,
        model_by_loading_replica={ReplicaIncarnation("r00"): "a"},
        excluded={ReplicaIncarnation("r01")},
        now_s=0.0,
    )
    assert [choice.state.info.replica_id for choice in planned] == ["r02"]


def test_slow_loads_lower_the_concurrency_limit_until_loads_are_fast_again():
    limit = LoadLimit()
    assert limit.max_loads(20) == 8
    limit.record_load_time(LOAD_S)
    for _ in range(3):
        limit.record_load_time(LOAD_S * 4)
    assert limit.max_loads(20) == 2
    for _ in range(20):
        limit.record_load_time(LOAD_S)
    assert limit.max_loads(20) == 8
    assert limit.max_loads(1) == 1
