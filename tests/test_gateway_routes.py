"""Split of a route's requests among services, summed over all daemons."""

import pytest

from passgate.gateway.routes import Route, WeightedService, WeightedServicePicker


def make_route(*weights):
    parts = tuple(WeightedService(f"s{number}", weight) for number, weight in enumerate(weights))
    return Route(name="r", host="h", path_prefix="/", parts=parts)


@pytest.mark.parametrize("daemons, requests", [(1, 1000), (10, 100), (81, 12), (300, 3), (1000, 1)])
def test_shares_follow_the_weights_whatever_the_number_of_daemons(daemons, requests):
    """Guards against daemons that all start at the same position, which starves services of little weight."""
    route = make_route(90, 10)
    picked = [
        picker.pick(route)
        for picker in (WeightedServicePicker(seed) for seed in range(daemons))
        for _ in range(requests)
    ]
    assert picked.count("s1") / len(picked) == pytest.approx(0.1, abs=0.025)


def test_a_service_of_weight_zero_gets_no_request():
    picker = WeightedServicePicker(1)
    assert {picker.pick(make_route(1, 0, 2)) for _ in range(200)} == {"s0", "s2"}


def test_shares_follow_weights_that_change():
    picker = WeightedServicePicker(1)
    before = [picker.pick(make_route(80, 20)) for _ in range(500)]
    after = [picker.pick(make_route(20, 80)) for _ in range(500)]
    assert before.count("s1") == pytest.approx(100, abs=5)
    assert after.count("s1") == pytest.approx(400, abs=5)
