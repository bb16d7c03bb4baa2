"""Shares of a split route, seen over many daemons as the operator sees them."""

import pytest

from passgate.gateway.routes import Route, RoutePart, WeightedChoice


def split(*weights):
    parts = tuple(RoutePart(f"s{number}", weight) for number, weight in enumerate(weights))
    return Route(name="r", host="h", path_prefix="/", parts=parts)


@pytest.mark.parametrize("daemons, requests", [(1, 1000), (10, 100), (81, 12), (300, 3), (1000, 1)])
def test_shares_follow_the_weights_whatever_the_number_of_daemons(daemons, requests):
    """Fails with a choice that begins alike everywhere: 300 daemons with 3 requests each gave the
    light part nothing."""
    route = split(90, 10)
    picked = [
        choice.pick(route)
        for choice in (WeightedChoice(seed) for seed in range(daemons))
        for _ in range(requests)
    ]
    assert picked.count("s1") / len(picked) == pytest.approx(0.1, abs=0.025)


def test_a_part_of_weight_zero_gets_nothing():
    choice = WeightedChoice(1)
    assert {choice.pick(split(1, 0, 2)) for _ in range(200)} == {"s0", "s2"}


def test_shares_follow_weights_that_change():
    choice = WeightedChoice(1)
    before = [choice.pick(split(80, 20)) for _ in range(500)]
    after = [choice.pick(split(20, 80)) for _ in range(500)]
    assert before.count("s1") == pytest.approx(100, abs=5)
    assert after.count("s1") == pytest.approx(400, abs=5)
