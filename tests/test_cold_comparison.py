"""Guards the advantage of permits: more requests than without sends to cold replicas, within the limit."""

import pytest

from tests.cold_comparison import FAULTS, Policy, run_policy
from tests.cold_world import LIMIT


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_permits_serve_more_requests_within_the_limit(fault):
    permits = run_policy(fault, Policy.PERMITS, daemons=12, replicas=2)
    assert permits.max_sends_per_s <= LIMIT.max_requests_per_s
    assert permits.served > run_policy(fault, Policy.NOTHING, daemons=12, replicas=2).served
