"""Permits serve more at cold replicas than waiting does, within the bound, under each fault."""

import pytest

from tests.cold_comparison import FAULTS, Way, play
from tests.cold_world import LIMIT


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_permits_serve_more_within_the_bound(fault):
    permits = play(fault, Way.PERMITS, daemons=12, replicas=2)
    assert permits.worst_second <= LIMIT.most_per_s
    assert permits.served > play(fault, Way.NOTHING, daemons=12, replicas=2).served
