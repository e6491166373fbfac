"""Experiment on the endpoint list: how a policy's CPU time and memory grow with the number of endpoints."""

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
from scaletest import synthetic_fleet
from scaletest.experiment import Experiment
from scaletest.result import Measurement

if TYPE_CHECKING:
    from collections.abc import Callable

    from gateway.policy.engine import Policy
    from scaletest.scenario import Scenario, Size

# The unit of each figure.  Result files contain these names and units, so both stay as they are.
UNITS = {
    "change": "ms of processor time for one changed endpoint",
    "whole": "ms of processor time for a whole list that changes nothing",
    "first": "ms of processor time for a first whole list",
    "request": "us of processor time for a request and its outcome",
    "memory": "bytes an endpoint",
    "list": "bytes of the whole list",
}
MS_PER_SECOND = 1e3
US_PER_SECOND = 1e6
MIN_SNAPSHOT_REPEATS = 3  # minimum number of repeats of a measurement with snapshots
SNAPSHOT_REPEATS_DIVISOR = 8  # fewer repeats for snapshots, which take long
REQUEST_REPEATS_FACTOR = 10  # more repeats for requests, which are short
REQUEST_INTERVAL_SECONDS = 2 * synthetic_fleet.RESPONSE_SECONDS
REQUEST_DEADLINE_SECONDS = 1.5

log = structlog.get_logger()


def measure(size: Size, scenario: Scenario) -> Measurement:
    """Measure all figures of the experiment at one size."""
    rng = np.random.default_rng([scenario.seed, size.endpoints])
    endpoints = synthetic_fleet.make_endpoints(size, scenario, rng)
    snapshot_repeats = max(MIN_SNAPSHOT_REPEATS, scenario.repeats // SNAPSHOT_REPEATS_DIVISOR)
    first_snapshot = _median_cpu_seconds(
        lambda index: partial(_apply_snapshot, synthetic_fleet.make_policy(size, scenario, index), endpoints),
        snapshot_repeats,
    )
    policy = synthetic_fleet.make_policy(size, scenario)
    _apply_snapshot(policy, endpoints)
    snapshot = _median_cpu_seconds(lambda _: partial(_apply_snapshot, policy, endpoints), snapshot_repeats)
    delta = _median_cpu_seconds(_alternating_deltas(policy, endpoints, rng), scenario.repeats)
    _apply_snapshot(policy, endpoints)
    request = _median_cpu_seconds(
        partial(_make_request_call, policy), REQUEST_REPEATS_FACTOR * scenario.repeats
    )
    measurement = Measurement(
        endpoints=size.endpoints,
        gateways=size.gateways,
        figures={
            "change": delta * MS_PER_SECOND,
            "whole": snapshot * MS_PER_SECOND,
            "first": first_snapshot * MS_PER_SECOND,
            "request": request * US_PER_SECOND,
            "memory": _endpoint_list_memory(size, scenario, endpoints) / size.endpoints,
            "list": float(synthetic_fleet.snapshot_bytes(endpoints)),
        },
    )
    log.info("measured", endpoints=size.endpoints, gateways=size.gateways, **measurement.figures)
    return measurement


EXPERIMENT = Experiment(UNITS, measure)


def serve_request(policy: Policy, number: int, now: float) -> list[int]:
    """Let a policy handle a request whose attempts all succeed; return the ids of the endpoints used."""
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
        policy.handle(now + synthetic_fleet.RESPONSE_SECONDS, _attempt_succeeded(attempt))
    return [attempt.endpoint_id for attempt in attempts]


def _attempt_succeeded(attempt: StartAttempt) -> AttemptFinished:
    """Return the event that reports the success of the first attempt of a request."""
    return AttemptFinished(
        request_id=attempt.request_id,
        attempt=0,
        endpoint_id=attempt.endpoint_id,
        outcome=Outcome.OK,
        request_closed=True,
        elapsed=synthetic_fleet.RESPONSE_SECONDS,
        charged_units=0,
        metered_usage=0,
        load_report=(),
    )


def _cpu_seconds(function: Callable[[], object]) -> float:
    """Return the CPU time of a call, which depends less on other load on the machine than wall time does."""
    started_at = time.process_time()
    function()
    return time.process_time() - started_at


def _median_cpu_seconds(make_function: Callable[[int], Callable[[], object]], repeats: int) -> float:
    """Return the median CPU time of several calls.

    Args:
        make_function: Returns the function to measure, given the index of the call.  The CPU time of
            `make_function` itself is not measured.
        repeats: The number of calls.
    """
    return float(np.median([_cpu_seconds(make_function(index)) for index in range(repeats)]))


def _apply_snapshot(policy: Policy, endpoints: tuple[EndpointRecord, ...]) -> None:
    policy.handle(synthetic_fleet.CLOCK_START, EndpointUpdate(UpdateKind.SNAPSHOT, 1, endpoints))


def _alternating_deltas(
    policy: Policy, endpoints: tuple[EndpointRecord, ...], rng: np.random.Generator
) -> Callable[[int], Callable[[], object]]:
    """Return a function that makes deltas, which alternately drain a random endpoint and make it ready."""
    draining: list[EndpointRecord] = []

    def make_delta(index: int) -> Callable[[], object]:
        if index % 2 == 0:
            draining.append(synthetic_fleet.make_draining_record(endpoints, rng))
        record = draining[-1]
        if index % 2 == 1:
            record = replace(record, state=EndpointState.READY)
        update = EndpointUpdate(UpdateKind.DELTA, index + 2, (record,))
        return partial(policy.handle, synthetic_fleet.CLOCK_START, update)

    return make_delta


def _make_request_call(policy: Policy, index: int) -> Callable[[], object]:
    """Return a function that serves one request; requests start at fixed intervals of the simulated clock."""
    now = synthetic_fleet.CLOCK_START + (index + 1) * REQUEST_INTERVAL_SECONDS
    return partial(serve_request, policy, index, now)


def _endpoint_list_memory(size: Size, scenario: Scenario, endpoints: tuple[EndpointRecord, ...]) -> int:
    """Return the bytes that a policy allocates for its endpoint list.

    The endpoint records are not included: the caller allocates them before the measurement.
    """
    gc.collect()
    tracemalloc.start()
    try:
        policy = synthetic_fleet.make_policy(size, scenario)
        before, _ = tracemalloc.get_traced_memory()
        _apply_snapshot(policy, endpoints)
        _release_actions(policy)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return after - before


def _release_actions(policy: Policy) -> None:
    """Pass an event that causes no actions to a policy, so that it frees the actions of its last event."""
    policy.handle(synthetic_fleet.CLOCK_START, ClientDisconnected(request_id=0))
