"""The bound on calls to the platform holds in any span of a second, not only in full ones."""

import random

import pytest

from passgate.duties.calls import CallBudget
from passgate.duties.service import RATE_SHARE

SPAN_S = 1.0


def most_in_a_span(times):
    """Return the most calls in any span that begins with a call; its end is outside."""
    return max(sum(begin <= time < begin + SPAN_S for time in times) for begin in times)


@pytest.mark.parametrize("rate", [1.0, 2.0, 7.5, 25.0])
@pytest.mark.parametrize("seed", range(5))
def test_no_span_of_a_second_holds_more_calls_than_granted(rate, seed):
    chance, now_s, made = random.Random(seed), 0.0, []
    budget = CallBudget(rate)
    while now_s < 20.0:
        now_s += chance.expovariate(10.0 * rate) if chance.random() < 0.9 else chance.uniform(0.0, 2.0)
        if budget.take(now_s):
            made.append(now_s)
    assert most_in_a_span(made) <= rate
    assert len(made) > 0.5 * 20.0 * int(rate) * 0.5


def test_a_full_second_of_calls_just_before_and_just_after_its_end_is_refused():
    budget = CallBudget(10.0)
    made = [time for time in [0.99 + 0.0001 * n for n in range(200)] if budget.take(time)]
    assert len(made) == 10


def test_two_holders_in_turn_stay_within_what_is_granted():
    granted = 50.0
    first, second = CallBudget(granted * RATE_SHARE), CallBudget(granted * RATE_SHARE)
    made = [time for time in (0.001 * n for n in range(500)) if first.take(time)]
    made += [time for time in (0.5 + 0.001 * n for n in range(2000)) if second.take(time)]
    assert most_in_a_span(made) <= granted


def test_less_than_one_call_a_second_is_spread():
    budget = CallBudget(0.4)
    assert [budget.take(now_s) for now_s in (0.0, 2.4, 2.5, 4.9, 5.0)] == [True, False, True, False, True]
