"""The token bucket: how it fills, and how far it may be overdrawn."""

from __future__ import annotations

from gateway.policy.token_bucket import TokenBucket


def test_tokens_accrue_at_the_rate_up_to_the_capacity() -> None:
    bucket = TokenBucket(tokens=1.0, updated_at=10.0)
    assert bucket.available(12.0, rate=2.0, capacity=8.0) == 5.0
    assert bucket.available(20.0, rate=2.0, capacity=8.0) == 8.0


def test_asking_what_is_available_does_not_refill() -> None:
    bucket = TokenBucket(tokens=1.0, updated_at=10.0)
    bucket.available(12.0, rate=2.0, capacity=8.0)
    assert bucket == TokenBucket(tokens=1.0, updated_at=10.0)


def test_a_refill_counts_from_the_one_before() -> None:
    bucket = TokenBucket(tokens=0.0, updated_at=10.0)
    assert bucket.refill(11.0, rate=2.0, capacity=8.0) == 2.0
    assert bucket.refill(12.0, rate=4.0, capacity=8.0, fraction=0.5) == 4.0


def test_a_bucket_is_overdrawn_down_to_the_lowest_number() -> None:
    bucket = TokenBucket(tokens=1.0, updated_at=10.0)
    bucket.consume(3.0)
    assert bucket.tokens == -2.0
    bucket.consume(3.0, min_tokens=-4.0)
    assert bucket.tokens == -4.0


def test_an_overdrawn_bucket_must_accrue_what_it_owes() -> None:
    bucket = TokenBucket(tokens=1.0, updated_at=10.0)
    bucket.consume(4.0)
    assert bucket.refill(11.0, rate=2.0, capacity=8.0) == -1.0
    assert bucket.refill(12.0, rate=2.0, capacity=8.0) == 1.0


def test_a_reset_forgets_the_tokens_and_the_time() -> None:
    bucket = TokenBucket(tokens=-3.0, updated_at=10.0)
    bucket.reset(0.5, 20.0)
    assert bucket.available(20.0, rate=2.0, capacity=8.0) == 0.5
