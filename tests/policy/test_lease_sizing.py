"""The batch size that a lease learns."""

from __future__ import annotations

import math

import pytest

from tests.support.policy import (
    START,
    make_policy,
    make_request,
    only_lease,
)


@pytest.mark.parametrize("start", [0.1, 2.0])
def test_the_batch_size_converges_to_the_optimum(start: float) -> None:
    policy = make_policy(tariffs__0__peak_units="80.0")
    policy.handle(START, make_request(1))
    lease = only_lease(policy)
    lease.sizer.log_batch_size = start
    lease.grants.ratio.value = 1.0
    optimum = math.log(math.sqrt(2 * 16.0 / 0.5))
    before = abs(lease.sizer.log_batch_size - optimum)
    for _ in range(200):
        lease.usage.served_units = 16.0
        lease.grants.ratio.value = 1.0
        lease.update_batch_size(policy.context.now)
    assert abs(lease.sizer.log_batch_size - optimum) < min(before, 0.1)
