"""The slope of the endpoint list: what the policy of one gateway spends on it as it grows."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import numpy as np
import structlog

from gateway.policy.actions import StartAttempt
from gateway.policy.engine import Policy
from gateway.policy.events import (
    AttemptFinished,
    EndpointRecord,
    EndpointState,
    EndpointUpdate,
    Outcome,
    Request,
    UpdateKind,
)
from scaletest import hollow_gateway
from scaletest.result import Point
from scaletest.scenario import Scenario, Size

# What is measured: figure, unit.  The names are those of the result files.
FIGURES = {
    "change": "ms of processor time for one changed endpoint",
    "whole": "ms of processor time for a whole list that changes nothing",
    "first": "ms of processor time for a first whole list",
    "request": "us of processor time for a request and its outcome",
    "memory": "bytes an endpoint",
    "list": "bytes of the whole list",
}
MIN_LIST_REPEATS = 3  # of the measurements that take a whole list, which are long
LIST_REPEATS_DIVISOR = 8  # of the scenario's repeats, for these
REQUEST_REPEATS_FACTOR = 10  # of the scenario's repeats, for requests, which are short

log = structlog.get_logger()


def measure(size: Size, scenario: Scenario) -> Point:
    """Measure all figures of the slope at one size."""
    random = np.random.default_rng([scenario.seed, size.endpoints])
    endpoints = hollow_gateway.make_endpoints(size, scenario, random)
    list_repeats = max(MIN_LIST_REPEATS, scenario.repeats // LIST_REPEATS_DIVISOR)
    first = _median_time(
        lambda index: partial(_take_list, hollow_gateway.make_policy(size, scenario, index), endpoints),
        list_repeats,
    )
    policy = hollow_gateway.make_policy(size, scenario)
    _take_list(policy, endpoints)
    whole = _median_time(lambda _: partial(_take_list, policy, endpoints), list_repeats)
    change = _median_time(_alternating_changes(policy, endpoints, random), scenario.repeats)
    _take_list(policy, endpoints)
    request = _median_time(partial(_request_at, policy), REQUEST_REPEATS_FACTOR * scenario.repeats)
    point = Point(
        endpoints=size.endpoints,
        gateways=size.gateways,
        figures={
            "change": change * 1e3,
            "whole": whole * 1e3,
            "first": first * 1e3,
            "request": request * 1e6,
            "memory": _list_memory(size, scenario, endpoints) / size.endpoints,
            "list": float(hollow_gateway.list_bytes(endpoints)),
        },
    )
    log.info("measured", endpoints=size.endpoints, gateways=size.gateways, **point.figures)
    return point


def serve_request(policy: Policy, number: int, now: float) -> None:
    """Hand over a request and let its first attempt succeed."""
    request = Request(
        request_id=number, class_index=0, plan_index=0, customer=number, time_remaining=1.5, units=1.0,
        gateway_set_size=1, first_gateway=0, is_retry=False, is_write=False,
    )  # fmt: skip
    for action in policy.handle(now, request):
        if isinstance(action, StartAttempt):
            finished = AttemptFinished(
                request_id=number, attempt=0, endpoint_id=action.endpoint_id, outcome=Outcome.OK,
                request_closed=True, elapsed=hollow_gateway.LATENCY_SECONDS, charged_units=0,
                metered_usage=0, load_report=(),
            )  # fmt: skip
            policy.handle(now + hollow_gateway.LATENCY_SECONDS, finished)


def _processor_time(act: Callable[[], object]) -> float:
    """Return the processor seconds that an act takes; other work counts for less than in wall time."""
    began = time.process_time()
    act()
    return time.process_time() - began


def _median_time(make_act: Callable[[int], Callable[[], object]], repeats: int) -> float:
    """Return the median of what so many acts take; each is made, with what it needs, before it is timed."""
    return float(np.median([_processor_time(make_act(number)) for number in range(repeats)]))


def _take_list(policy: Policy, endpoints: tuple[EndpointRecord, ...]) -> None:
    policy.handle(hollow_gateway.START, EndpointUpdate(UpdateKind.SNAPSHOT, 1, endpoints))


def _alternating_changes(
    policy: Policy, endpoints: tuple[EndpointRecord, ...], random: np.random.Generator
) -> Callable[[int], Callable[[], object]]:
    """Return a maker of changes by which an endpoint begins to drain, and with the next is ready again."""
    draining: list[EndpointRecord] = []

    def make_change(number: int) -> Callable[[], object]:
        if number % 2 == 0:
            draining.append(hollow_gateway.make_draining(endpoints, random))
        record = draining[-1]
        if number % 2 == 1:
            record = replace(record, state=EndpointState.READY)
        update = EndpointUpdate(UpdateKind.DELTA, number + 2, (record,))
        return partial(policy.handle, hollow_gateway.START, update)

    return make_change


def _request_at(policy: Policy, number: int) -> Callable[[], object]:
    """Return the request of that number, each some time after the one before has been served."""
    now = hollow_gateway.START + (number + 1) * 2 * hollow_gateway.LATENCY_SECONDS
    return partial(serve_request, policy, number, now)


def _list_memory(size: Size, scenario: Scenario, endpoints: tuple[EndpointRecord, ...]) -> int:
    """Return the bytes that a policy holds for its list, without the records, which come with the event."""
    gc.collect()
    tracemalloc.start()
    try:
        policy = hollow_gateway.make_policy(size, scenario)
        before, _ = tracemalloc.get_traced_memory()
        _take_list(policy, endpoints)
        policy.context.begin_event(hollow_gateway.START)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return after - before
