"""Deterministic subsetting: chooses the ready endpoints that each gateway of a fleet sends to."""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_SUBSET_SIZE = 12  # endpoints; a gateway must tolerate the loss of a third of its subset
MIN_GATEWAYS_PER_ENDPOINT = 8  # evens out an endpoint's load, as the load differs between gateways
# Fraction of the ring between gateways with consecutive indices.  Consecutive gateways receive the requests
# of one customer, so their subsets should differ.
STRIDE_FRACTION = 0.618


@functools.lru_cache(maxsize=1024)  # each computation compares as many strides as there are gateways
def ring_offset(gateway_index: int, gateway_count: int) -> float:
    """Return the start of a gateway's subset as a fraction of the ring, from 0 up to but excluding 1.

    Gateways are evenly spaced, and gateways with consecutive indices are far apart.
    """
    candidates = range(1, gateway_count + 1)
    strides = [candidate for candidate in candidates if math.gcd(candidate, gateway_count) == 1]
    ideal_stride = STRIDE_FRACTION * gateway_count
    stride = min(strides, key=lambda stride: abs(stride - ideal_stride))
    return gateway_index * stride % gateway_count / gateway_count


def choose_subset(
    endpoint_count: int, is_warm: Callable[[int], bool], gateway_index: int, gateway_count: int
) -> list[int]:
    """Return the positions of the endpoints in a gateway's subset, beginning at its ring offset.

    Args:
        endpoint_count: Number of ready endpoints on the ring, which have positions from 0 in ring order.
        is_warm: Returns whether the endpoint at a position is warm; only these count towards the size.
        gateway_index: Index of the gateway, from 0.
        gateway_count: Number of gateways in the fleet; 0 counts as 1.
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
