"""A token bucket whose rate and capacity may change between two uses."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Tokens that accrue over time, up to a capacity.

    Rate (tokens a second) and capacity (tokens) are arguments, as they follow from the state of other parts
    of the policy.

    Attributes:
        tokens: Tokens at `updated_at`; below 0 where more was consumed than the bucket held.
        updated_at: Unix time of the last refill, in seconds.
    """

    tokens: float = 0.0
    updated_at: float = 0.0

    def available(self, now: float, rate: float, capacity: float) -> float:
        """Return the tokens that the bucket holds now, without refilling it."""
        accrued = self.tokens + (now - self.updated_at) * rate
        return min(capacity, accrued)

    def refill(self, now: float, rate: float, capacity: float) -> float:
        """Add the tokens that have accrued since the last refill, and return what the bucket holds."""
        self.tokens = self.available(now, rate, capacity)
        self.updated_at = now
        return self.tokens

    def consume(self, tokens: float) -> None:
        """Take tokens out of the bucket, which may overdraw it."""
        self.tokens -= tokens

    def reset(self, tokens: float, now: float) -> None:
        """Begin again with a number of tokens."""
        self.tokens = tokens
        self.updated_at = now
