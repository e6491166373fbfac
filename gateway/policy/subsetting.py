"""Deterministic subsetting: which of the ready endpoints each gateway of a fleet sends to."""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_SUBSET_SIZE = 12  # endpoints: a gateway must bear the loss of a third of them
MIN_GATEWAYS_PER_ENDPOINT = 8  # so that one gateway's uneven load is spread
STRIDE_FRACTION = 0.618  # of the ring between neighbouring gateways, as a customer's gateways are neighbours


@functools.lru_cache(maxsize=1024)  # it compares as many strides as there are gateways
def ring_offset(gateway_index: int, gateway_count: int) -> float:
    """Return a gateway's place on the ring, from 0 to 1.

    The gateways are evenly spaced, and neighbours by index are far apart.
    """
    numbers = range(1, gateway_count + 1)
    strides = [number for number in numbers if math.gcd(number, gateway_count) == 1]
    wanted = STRIDE_FRACTION * gateway_count
    stride = min(strides, key=lambda stride: abs(stride - wanted))
    return gateway_index * stride % gateway_count / gateway_count


def choose_subset(
    endpoint_count: int, is_warm: Callable[[int], bool], gateway_index: int, gateway_count: int
) -> list[int]:
    """Return the ring positions of a gateway's endpoints, from its own place on.

    Args:
        endpoint_count: Endpoints on the ring.
        is_warm: Whether the endpoint at a position is warm; the others do not count towards the size.
        gateway_index: Index of the gateway, from 0.
        gateway_count: Gateways of the fleet; 0 counts as 1.
    """
    gateway_count = max(1, gateway_count)
    size = max(MIN_SUBSET_SIZE, math.ceil(MIN_GATEWAYS_PER_ENDPOINT * endpoint_count / gateway_count))
    start = math.floor(ring_offset(gateway_index, gateway_count) * endpoint_count)
    warm_count = 0
    subset: list[int] = []
    for step in range(endpoint_count):
        if warm_count >= size:
            break
        position = (start + step) % endpoint_count
        subset.append(position)
        if is_warm(position):
            warm_count += 1
    return subset
