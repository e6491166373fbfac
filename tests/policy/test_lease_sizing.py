"""Learning the batch size of a lease."""

from __future__ import annotations

import math

import pytest

from tests.support.policy import (
    START,
    make_policy,
    make_request,
    only_lease,
)

DEMAND = 16.0  # units in a refill time
OPTIMAL_LOG_BATCH_SIZE = math.log(math.sqrt(2 * DEMAND / 0.5))  # at MIN_STRANDING_COST


@pytest.mark.parametrize("start", [pytest.param(0.1, id="from-below"), pytest.param(2.0, id="from-near")])
def test_the_batch_size_converges_to_the_optimum(start: float) -> None:
    policy = make_policy(tariffs__0__peak_units="80.0")
    policy.handle(START, make_request(1))
    lease = only_lease(policy)
    lease.sizer.log_batch_size = start
    before = abs(lease.sizer.log_batch_size - OPTIMAL_LOG_BATCH_SIZE)
    for _ in range(200):
        lease.usage.served_units = DEMAND
        lease.update_batch_size(policy.context.now)
    assert abs(lease.sizer.log_batch_size - OPTIMAL_LOG_BATCH_SIZE) < min(before, 0.1)
