"""The slope of the endpoint list: what the policy of one gateway spends on it as it grows."""

from __future__ import annotations

import gc
import time
import tracemalloc
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

import numpy as np
import structlog

from gateway.policy.actions import StartAttempt
from gateway.policy.events import (
    AttemptFinished,
    ClientDisconnected,
    EndpointRecord,
    EndpointState,
    EndpointUpdate,
    Outcome,
    Request,
    UpdateKind,
)
from scaletest import hollow_gateway
from scaletest.result import Point
from scaletest.slope import Slope

if TYPE_CHECKING:
    from collections.abc import Callable

    from gateway.policy.engine import Policy
    from scaletest.scenario import Scenario, Size

# The unit of each figure.  The names are those of the result files.
UNITS = {
    "change": "ms of processor time for one changed endpoint",
    "whole": "ms of processor time for a whole list that changes nothing",
    "first": "ms of processor time for a first whole list",
    "request": "us of processor time for a request and its outcome",
    "memory": "bytes an endpoint",
    "list": "bytes of the whole list",
}
MILLISECONDS = 1e3  # in a second
MICROSECONDS = 1e6  # in a second
MIN_SNAPSHOT_REPEATS = 3  # of a measurement that applies snapshots
SNAPSHOT_REPEATS_DIVISOR = 8  # snapshots take long: they are repeated this many times less often
REQUEST_REPEATS_FACTOR = 10  # requests are short: they are repeated this many times more often
REQUEST_INTERVAL_SECONDS = 2 * hollow_gateway.RESPONSE_SECONDS
REQUEST_DEADLINE_SECONDS = 1.5

log = structlog.get_logger()


def measure(size: Size, scenario: Scenario) -> Point:
    """Measure all figures of the slope at one size."""
    random = np.random.default_rng([scenario.seed, size.endpoints])
    endpoints = hollow_gateway.make_endpoints(size, scenario, random)
    snapshot_repeats = max(MIN_SNAPSHOT_REPEATS, scenario.repeats // SNAPSHOT_REPEATS_DIVISOR)
    first = _median_seconds(
        lambda index: partial(_apply_snapshot, hollow_gateway.make_policy(size, scenario, index), endpoints),
        snapshot_repeats,
    )
    policy = hollow_gateway.make_policy(size, scenario)
    _apply_snapshot(policy, endpoints)
    snapshot = _median_seconds(lambda _: partial(_apply_snapshot, policy, endpoints), snapshot_repeats)
    delta = _median_seconds(_alternating_deltas(policy, endpoints, random), scenario.repeats)
    _apply_snapshot(policy, endpoints)
    request = _median_seconds(partial(_request_at, policy), REQUEST_REPEATS_FACTOR * scenario.repeats)
    point = Point(
        endpoints=size.endpoints,
        gateways=size.gateways,
        figures={
            "change": delta * MILLISECONDS,
            "whole": snapshot * MILLISECONDS,
            "first": first * MILLISECONDS,
            "request": request * MICROSECONDS,
            "memory": _endpoint_list_memory(size, scenario, endpoints) / size.endpoints,
            "list": float(hollow_gateway.snapshot_bytes(endpoints)),
        },
    )
    log.info("measured", endpoints=size.endpoints, gateways=size.gateways, **point.figures)
    return point


SLOPE = Slope(UNITS, measure)


def serve_request(policy: Policy, number: int, now: float) -> list[int]:
    """Let a policy handle a request whose attempts succeed, and return the ids of the endpoints used."""
    request = Request(
        request_id=number,
        class_index=0,
        plan_index=0,
        customer=number,
        time_remaining=REQUEST_DEADLINE_SECONDS,
        units=1.0,
        gateway_set_size=1,
        first_gateway=0,
        is_retry=False,
        is_write=False,
    )
    attempts = [action for action in policy.handle(now, request) if isinstance(action, StartAttempt)]
    for attempt in attempts:
        policy.handle(now + hollow_gateway.RESPONSE_SECONDS, _successful_response(attempt))
    return [attempt.endpoint_id for attempt in attempts]


def _successful_response(attempt: StartAttempt) -> AttemptFinished:
    """Return the event by which an attempt, the first one of its request, succeeds."""
    return AttemptFinished(
        request_id=attempt.request_id,
        attempt=0,
        endpoint_id=attempt.endpoint_id,
        outcome=Outcome.OK,
        request_closed=True,
        elapsed=hollow_gateway.RESPONSE_SECONDS,
        charged_units=0,
        metered_usage=0,
        load_report=(),
    )


def _processor_seconds(function: Callable[[], object]) -> float:
    """Return the processor time of one call, which other work on the machine affects less than wall time."""
    began_at = time.process_time()
    function()
    return time.process_time() - began_at


def _median_seconds(make_function: Callable[[int], Callable[[], object]], repeats: int) -> float:
    """Return the median processor time of several calls.

    Args:
        make_function: Returns the function to call, by the number of the call.  It is not timed itself.
        repeats: The number of calls.
    """
    return float(np.median([_processor_seconds(make_function(number)) for number in range(repeats)]))


def _apply_snapshot(policy: Policy, endpoints: tuple[EndpointRecord, ...]) -> None:
    policy.handle(hollow_gateway.CLOCK_START, EndpointUpdate(UpdateKind.SNAPSHOT, 1, endpoints))


def _alternating_deltas(
    policy: Policy, endpoints: tuple[EndpointRecord, ...], random: np.random.Generator
) -> Callable[[int], Callable[[], object]]:
    """Return a function that makes deltas: one drains a random endpoint, the next makes it ready again."""
    draining: list[EndpointRecord] = []

    def make_delta(number: int) -> Callable[[], object]:
        if number % 2 == 0:
            draining.append(hollow_gateway.make_draining(endpoints, random))
        record = draining[-1]
        if number % 2 == 1:
            record = replace(record, state=EndpointState.READY)
        update = EndpointUpdate(UpdateKind.DELTA, number + 2, (record,))
        return partial(policy.handle, hollow_gateway.CLOCK_START, update)

    return make_delta


def _request_at(policy: Policy, number: int) -> Callable[[], object]:
    """Return a function that serves one request; the requests follow each other at a fixed interval."""
    now = hollow_gateway.CLOCK_START + (number + 1) * REQUEST_INTERVAL_SECONDS
    return partial(serve_request, policy, number, now)


def _endpoint_list_memory(size: Size, scenario: Scenario, endpoints: tuple[EndpointRecord, ...]) -> int:
    """Return the bytes that a policy holds for its endpoints, without their records, which the event owns."""
    gc.collect()
    tracemalloc.start()
    try:
        policy = hollow_gateway.make_policy(size, scenario)
        before, _ = tracemalloc.get_traced_memory()
        _apply_snapshot(policy, endpoints)
        _release_actions(policy)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return after - before


def _release_actions(policy: Policy) -> None:
    """Make a policy drop the actions of its last event, by an event that has none."""
    policy.handle(hollow_gateway.CLOCK_START, ClientDisconnected(request_id=0))
