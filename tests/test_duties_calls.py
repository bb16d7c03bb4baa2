"""Guards against exceeding the call limit in a second that spans two calendar seconds."""

import random

import pytest

from passgate.duties.calls import CallRateLimiter
from passgate.duties.service import RATE_LIMIT_SHARE

SPAN_S = 1.0


def max_calls_per_second(call_times_s):
    """Return the most calls in any half-open second that starts with a call."""
    return max(
        sum(start_s <= call_s < start_s + SPAN_S for call_s in call_times_s) for start_s in call_times_s
    )


@pytest.mark.parametrize("rate", [1.0, 2.0, 7.5, 25.0])
@pytest.mark.parametrize("seed", range(5))
def test_no_second_has_more_calls_than_the_limit(rate, seed):
    rng, now_s, call_times_s = random.Random(seed), 0.0, []
    limiter = CallRateLimiter(rate)
    while now_s < 20.0:
        now_s += rng.expovariate(10.0 * rate) if rng.random() < 0.9 else rng.uniform(0.0, 2.0)
        if limiter.try_acquire(now_s):
            call_times_s.append(now_s)
    assert max_calls_per_second(call_times_s) <= rate
    assert len(call_times_s) > 0.5 * 20.0 * int(rate) * 0.5


def test_calls_around_the_end_of_a_second_share_its_limit():
    limiter = CallRateLimiter(10.0)
    call_times_s = [time for time in [0.99 + 0.0001 * n for n in range(200)] if limiter.try_acquire(time)]
    assert len(call_times_s) == 10


def test_two_successive_leaders_together_stay_within_the_platform_limit():
    limit_per_s = 50.0
    first, second = (
        CallRateLimiter(limit_per_s * RATE_LIMIT_SHARE),
        CallRateLimiter(limit_per_s * RATE_LIMIT_SHARE),
    )
    call_times_s = [time for time in (0.001 * n for n in range(500)) if first.try_acquire(time)]
    call_times_s += [time for time in (0.5 + 0.001 * n for n in range(2000)) if second.try_acquire(time)]
    assert max_calls_per_second(call_times_s) <= limit_per_s


def test_a_limit_below_one_call_per_second_spaces_calls():
    limiter = CallRateLimiter(0.4)
    assert [limiter.try_acquire(now_s) for now_s in (0.0, 2.4, 2.5, 4.9, 5.0)] == [
        True,
        False,
        True,
        False,
        True,
    ]
