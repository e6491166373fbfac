"""A token bucket whose rate and capacity may change between two uses."""

from __future__ import annotations

import math
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

    def refill(self, now: float, rate: float, capacity: float, fraction: float = 1.0) -> float:
        """Add the tokens accrued since the last refill, at a fraction of the rate; return what there is."""
        accrued = self.tokens + (now - self.updated_at) * fraction * rate
        self.tokens = min(capacity, accrued)
        self.updated_at = now
        return self.tokens

    def consume(self, tokens: float, min_tokens: float = -math.inf) -> None:
        """Take tokens out of the bucket, which may overdraw it down to `min_tokens`."""
        self.tokens = max(self.tokens - tokens, min_tokens)

    def reset(self, tokens: float, now: float) -> None:
        """Begin again with a number of tokens."""
        self.tokens = tokens
        self.updated_at = now
