"""Deterministic subsetting of ready endpoints.  Does harm where gateways get unequal loads."""

import functools
import math
from collections.abc import Callable

MIN_SUBSET_SIZE = 12  # endpoints: a gateway must bear the loss of a third of them
MIN_GATEWAYS_PER_ENDPOINT = 8  # so that one gateway's uneven load is spread
STRIDE_FRACTION = 0.618  # of the ring, between gateways in a row: a customer's set is gateways in a row


@functools.lru_cache(maxsize=1024)  # it tries as many strides as there are gateways
def ring_offset(gateway_index: int, gateway_count: int) -> float:
    """A gateway's place on the ring, from 0 to 1: evenly spaced, with gateways in a row far apart."""
    strides = (stride for stride in range(1, gateway_count + 1) if math.gcd(stride, gateway_count) == 1)
    stride = min(strides, key=lambda stride: abs(stride - STRIDE_FRACTION * gateway_count))
    return gateway_index * stride % gateway_count / gateway_count


def choose_subset(count: int, is_warm: Callable[[int], bool], gateway: int, gateways: int) -> list[int]:
    """The ring positions of a gateway's endpoints; asks `is_warm` for those."""
    size = max(MIN_SUBSET_SIZE, math.ceil(MIN_GATEWAYS_PER_ENDPOINT * count / max(1, gateways)))
    start = math.floor(ring_offset(gateway, max(1, gateways)) * count)
    warm_count, subset = 0, []
    for step in range(count):
        if warm_count >= size:
            break
        subset.append((start + step) % count)
        warm_count += is_warm(subset[-1])
    return subset
