"""Chooses which lease is evicted when there are too many."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gateway.policy.lease import Lease
    from gateway.policy.quota import LeaseKey

MAX_LEASES = 4096  # the planned fleet has some 300 customers for each gateway
MAX_CANDIDATES = 16  # leases that are examined for one eviction


class LeaseEviction:
    """Knows which leases are worth least, and chooses among them.

    Many customers send a single request and never come back, so leases with one request so far are evicted
    first, the oldest one before the others.  Only if there are hardly any is the least recently used lease
    evicted.  A lease that is in use stays.

    Attributes:
        single_use: The keys of the leases with one request so far, oldest first.
    """

    def __init__(self) -> None:
        self.single_use: dict[LeaseKey, None] = {}

    def record_created(self, key: LeaseKey) -> None:
        """Record that a lease was created for its customer's first request."""
        self.single_use[key] = None

    def record_reused(self, key: LeaseKey) -> None:
        """Record that a lease is used by a further request."""
        self.single_use.pop(key, None)

    def forget(self, key: LeaseKey) -> None:
        """Forget a lease that was evicted."""
        self.single_use.pop(key, None)

    def choose(self, leases: Mapping[LeaseKey, Lease]) -> LeaseKey | None:
        """Return the key of the lease to evict, or None if all candidates are in use.

        Args:
            leases: All leases, the least recently used first.
        """
        for key in list(islice(self.single_use, MAX_CANDIDATES)):
            if not leases[key].is_in_use:
                return key
            self.single_use[key] = self.single_use.pop(key)  # to the end
        if len(self.single_use) > MAX_CANDIDATES:
            return None
        for key, lease in islice(leases.items(), MAX_CANDIDATES):
            if not lease.is_in_use:
                return key
        return None
