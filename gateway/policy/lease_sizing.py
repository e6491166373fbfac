"""The batch size of a lease: the units that it requests in one counter call."""

from __future__ import annotations

import math
from dataclasses import dataclass

LEARNING_RATE = 0.5  # AdaGrad step on ln(batch size)
# As a fraction of the call price; above 0, as an unused unit always costs other gateways something.
MIN_STRANDING_COST = 0.5
MIN_CALL_PRICE = 1e-3  # keeps the gradient finite where calls cost nothing


@dataclass(slots=True)
class BatchSizer:
    """Learns the batch size b that minimizes price*demand/b + stranding_cost*b/2, by AdaGrad on ln b.

    The first term is the cost of the counter calls in a refill time.  The second term is the cost of leased
    units that stay unused here, on average half a batch, while other gateways may need them.

    Attributes:
        log_batch_size: Natural logarithm of the batch size in units.
        counter_price: Cost of one counter call, as a fraction of the cost of a denied unit.
        squared_gradients: AdaGrad's sum of squared gradients.
    """

    log_batch_size: float
    counter_price: float
    squared_gradients: float = 1e-6

    @property
    def batch_size(self) -> float:
        """Units to request in one call, not rounded."""
        return math.exp(self.log_batch_size)

    def update(self, demand: float, quota_utilization: float, max_batch_size: float) -> None:
        """Take one gradient step at the end of a refill time.

        Args:
            demand: Units that requests spent in the refill time.
            quota_utilization: Fraction of the quota in use; limited to the range from 0 to 1.
            max_batch_size: Upper limit of the batch size, in units.
        """
        price = max(self.counter_price, MIN_CALL_PRICE)
        quota_utilization = min(1.0, max(0.0, quota_utilization))
        stranding_cost = max(MIN_STRANDING_COST * price, quota_utilization**2)
        batch_size = self.batch_size
        gradient = (stranding_cost * batch_size / 2 - price * demand / batch_size) / price
        self.squared_gradients += gradient * gradient
        log_batch_size = self.log_batch_size - LEARNING_RATE * gradient / math.sqrt(self.squared_gradients)
        self.log_batch_size = min(max(log_batch_size, 0.0), math.log(max(1.0, max_batch_size)))
