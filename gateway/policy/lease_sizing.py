"""How many units a lease asks for at once."""

import math
from dataclasses import dataclass

LEARNING_RATE = 0.5  # AdaGrad step on ln(batch size)
MIN_STRANDING_COST = 0.5  # in counter calls: no unit is stranded for free, and more where little is left
MIN_CALL_PRICE = 1e-3  # keeps the gradient finite where calls cost nothing


@dataclass(slots=True)
class BatchSizer:
    """AdaGrad on ln b, for the batch size b that minimizes price*demand/b + stranding_cost*b/2."""

    log_batch_size: float
    counter_price: float  # of a call, as against a unit denied
    squared_gradients: float = 1e-6  # AdaGrad's sum

    def update(self, demand: float, used_fraction: float, max_batch_size: float) -> None:
        """One step, for the units served in a refill time and the fraction of the quota that is used."""
        price = max(self.counter_price, MIN_CALL_PRICE)
        stranding_cost = max(MIN_STRANDING_COST * price, min(1.0, max(0.0, used_fraction)) ** 2)
        batch_size = math.exp(self.log_batch_size)
        gradient = (stranding_cost * batch_size / 2 - price * demand / batch_size) / price
        self.squared_gradients += gradient * gradient
        self.log_batch_size -= LEARNING_RATE * gradient / math.sqrt(self.squared_gradients)
        self.log_batch_size = min(max(self.log_batch_size, 0.0), math.log(max(1.0, max_batch_size)))
