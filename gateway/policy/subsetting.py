"""Which backends a gateway keeps to: part of the decisions, see gateway/policy/engine.py."""

from __future__ import annotations

import functools
import math
from collections.abc import Callable

LEAST_BACKENDS = 12  # a gateway's choice: it bears the loss of a third of them
LEAST_SHARERS = 8  # gateways to a backend, so that one gateway's uneven load is spread
STRIDE = 0.618  # of the ring, from one gateway to the next: a customer's set is gateways in a row


@functools.lru_cache(
    maxsize=1024
)  # it looks at as many steps as there are gateways, for each change of the list
def place(me: int, peers: int) -> float:
    """A gateway's place on the ring, from 0 to 1: all places are equally far apart, and gateways with
    neighbouring numbers are not neighbours there.
    """
    steps = (step for step in range(1, peers + 1) if math.gcd(step, peers) == 1)
    step = min(steps, key=lambda step: abs(step - STRIDE * peers))
    return me * step % peers / peers


def arc(count: int, warm: Callable[[int], bool], me: int, peers: int) -> list[int]:
    """The positions of a gateway's backends on the ring of all `count`; `warm` tells whether the one at a
    position is, and is asked for those on the arc alone.

    Where many gateways each use every backend, each of them learns little of any, and each pair of them
    holds a connection.  All arcs have one length, so that every backend has as many gateways as any other,
    but for one.  Cold backends come on top, so that the warm ones suffice alone.  Where gateways are few
    the arc is the whole ring.  It would do harm where a gateway gets many times the load of the others.
    """
    size = max(LEAST_BACKENDS, math.ceil(LEAST_SHARERS * count / max(1, peers)))
    start, found, taken = math.floor(place(me, max(1, peers)) * count), 0, []
    for step in range(count):
        if found >= size:
            break
        taken.append((start + step) % count)
        found += warm(taken[-1])
    return taken
