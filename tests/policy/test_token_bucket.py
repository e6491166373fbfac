"""The token bucket: accrual up to a capacity, overdraft."""

from __future__ import annotations

import pytest

from gateway.policy.token_bucket import TokenBucket

RATE = 2.0  # tokens a second
CAPACITY = 5.0  # tokens


@pytest.mark.parametrize(
    ("elapsed", "tokens"),
    [
        pytest.param(0.0, 1.0, id="at-once"),
        pytest.param(1.5, 4.0, id="below-capacity"),
        pytest.param(60.0, CAPACITY, id="at-capacity"),
    ],
)
def test_tokens_accrue_up_to_the_capacity(elapsed: float, tokens: float) -> None:
    bucket = TokenBucket(tokens=1.0, updated_at=100.0)
    assert bucket.refill(100.0 + elapsed, RATE, CAPACITY) == tokens
    assert bucket.updated_at == 100.0 + elapsed


def test_a_look_at_the_tokens_does_not_refill_the_bucket() -> None:
    bucket = TokenBucket(tokens=1.0, updated_at=100.0)
    assert bucket.available(101.0, RATE, CAPACITY) == 3.0
    assert bucket.tokens == 1.0


def test_an_overdrawn_bucket_must_accrue_what_it_owes() -> None:
    bucket = TokenBucket(tokens=1.0, updated_at=100.0)
    bucket.consume(4.0)
    assert bucket.refill(101.0, RATE, CAPACITY) == -1.0
    assert bucket.refill(102.0, RATE, CAPACITY) == 1.0


def test_a_reset_forgets_the_tokens_and_the_time() -> None:
    bucket = TokenBucket(tokens=-3.0, updated_at=100.0)
    bucket.reset(0.5, 200.0)
    assert bucket.available(200.0, RATE, CAPACITY) == 0.5
