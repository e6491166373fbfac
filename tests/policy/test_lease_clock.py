"""Caching of a lease's window and refill time."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.policy import START, make_policy, make_request, only_lease


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.one_of(st.floats(0.0, 30.0), st.sampled_from([1e-9, 1e-4, 2.0])), max_size=30))
def test_a_lease_is_always_in_the_current_window_and_refill_time(gaps: list[float]) -> None:
    policy = make_policy()
    policy.handle(START, make_request(1))
    lease = only_lease(policy)
    now = START
    for gap in gaps:
        now += gap
        lease.roll_window(now)
        assert lease.ledger.window_index == lease.quota.window_index(now)
        assert lease.clock.refill_index == lease.quota.refill_index(now)


@pytest.mark.parametrize("period", ["window_length", "refill_time"])
def test_window_and_refill_index_are_exact_where_the_boundary_is_rounded(period: str) -> None:
    policy = make_policy(tariffs__0__quota_rate="7.0")
    policy.handle(START, make_request(1))
    lease = only_lease(policy)
    quota = lease.quota
    length = getattr(quota, period)
    boundary = (math.floor((START + quota.phase) / length) + 1) * length - quota.phase
    for steps in range(-3, 4):
        now = boundary + steps * math.ulp(boundary)
        lease.roll_window(now)
        assert lease.ledger.window_index == quota.window_index(now)
        assert lease.clock.refill_index == quota.refill_index(now)
