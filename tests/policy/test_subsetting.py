"""The subset of endpoints that each gateway of a fleet sends to."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.policy.events import (
    EndpointRecord,
    EndpointState,
    EndpointUpdate,
    Outcome,
    UpdateKind,
)
from gateway.policy.subsetting import MIN_GATEWAYS_PER_ENDPOINT, MIN_SUBSET_SIZE, choose_subset, ring_offset
from tests.support.endpoints import endpoint_ids
from tests.support.policy import (
    START,
    InMemoryCounter,
    make_finished,
    make_policy,
    make_record,
    make_request,
    run_event,
    started_attempts,
)

if TYPE_CHECKING:
    from gateway.policy.endpoints import Endpoint
    from gateway.policy.engine import Policy
    from gateway.policy.pending_request import PendingRequest

GATEWAY_COUNT = 40
ENDPOINT_COUNT = 60
GATEWAYS_PER_CUSTOMER = 8  # consecutive gateways that receive one customer's requests


def all_warm(_position: int) -> bool:
    return True


def all_cold(_position: int) -> bool:
    return False


@pytest.mark.parametrize(
    ("gateway_count", "endpoint_count"),
    [
        pytest.param(40, 60, id="40-gateways-60-endpoints"),
        pytest.param(40, 96, id="40-gateways-96-endpoints"),
        pytest.param(17, 60, id="17-gateways-60-endpoints"),
        pytest.param(100, 31, id="100-gateways-31-endpoints"),
    ],
)
def test_all_endpoints_are_in_about_equally_many_subsets(gateway_count: int, endpoint_count: int) -> None:
    subsets_by_position = Counter(
        position
        for index in range(gateway_count)
        for position in choose_subset(endpoint_count, all_warm, index, gateway_count)
    )
    assert len(subsets_by_position) == endpoint_count
    assert min(subsets_by_position.values()) >= MIN_GATEWAYS_PER_ENDPOINT - 1
    assert max(subsets_by_position.values()) - min(subsets_by_position.values()) <= 2


@pytest.mark.parametrize(
    ("gateway_count", "endpoint_count"),
    [
        pytest.param(1, 40, id="1-gateway-40-endpoints"),
        pytest.param(2, 10, id="2-gateways-10-endpoints"),
        pytest.param(4, 14, id="4-gateways-14-endpoints"),
        pytest.param(8, 60, id="8-gateways-60-endpoints"),
    ],
)
def test_each_subset_of_a_small_fleet_is_all_endpoints(gateway_count: int, endpoint_count: int) -> None:
    for index in range(gateway_count):
        subset = choose_subset(endpoint_count, all_warm, index, gateway_count)
        assert sorted(subset) == list(range(endpoint_count))


def test_the_subsets_of_consecutive_gateways_differ() -> None:
    offsets = [ring_offset(index, GATEWAY_COUNT) for index in range(GATEWAY_COUNT)]
    assert len(set(offsets)) == GATEWAY_COUNT
    for first in range(GATEWAY_COUNT - GATEWAYS_PER_CUSTOMER):
        positions = {
            position
            for index in range(first, first + GATEWAYS_PER_CUSTOMER)
            for position in choose_subset(ENDPOINT_COUNT, all_warm, index, GATEWAY_COUNT)
        }
        assert len(positions) >= 45


def test_warming_endpoints_do_not_count_towards_the_subset_size() -> None:
    warm = [position % 3 > 0 for position in range(ENDPOINT_COUNT)]
    for index in range(GATEWAY_COUNT):
        subset = choose_subset(len(warm), warm.__getitem__, index, GATEWAY_COUNT)
        assert sum(warm[position] for position in subset) == MIN_SUBSET_SIZE


def test_without_endpoints_the_subset_is_empty() -> None:
    assert choose_subset(0, all_warm, 3, GATEWAY_COUNT) == []


def test_the_subset_is_all_endpoints_if_all_are_cold() -> None:
    assert sorted(choose_subset(30, all_cold, 3, GATEWAY_COUNT)) == list(range(30))


def test_a_gateway_uses_other_endpoints_once_those_of_its_subset_are_gone() -> None:
    records = [make_record(endpoint_id) for endpoint_id in range(1, ENDPOINT_COUNT + 1)]
    policy = make_policy(records, peers_total=str(GATEWAY_COUNT), me="7")
    counter = InMemoryCounter()
    used = set()
    for request_id in range(200):
        now = START + request_id
        request = make_request(request_id, customer=request_id)
        (attempt,) = started_attempts(run_event(policy, counter, now, request))
        used.add(attempt.endpoint_id)
        finished = make_finished(request_id, attempt, Outcome.OK, closed=True)
        run_event(policy, counter, now + 0.1, finished)
    assert len(used) <= MIN_SUBSET_SIZE
    gone = tuple(make_record(endpoint_id, state=EndpointState.GONE) for endpoint_id in used)
    policy.handle(START + 300, EndpointUpdate(UpdateKind.DELTA, 2, gone))
    (attempt,) = started_attempts(run_event(policy, counter, START + 300, make_request(999, customer=999)))
    assert attempt.endpoint_id not in used


class CandidateRecorder:
    """Replaces LoadBalancer.best_of, and compares its candidates to those of a walk through all endpoints."""

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.best_of = policy.load_balancer.best_of
        self.candidates: list[list[int]] = []  # endpoint ids of each call for the current event

    def __call__(self, pending: PendingRequest, candidates: list[Endpoint]) -> Endpoint | None:
        endpoints = self.policy.endpoints
        if len(endpoints.subset) < len(endpoints.ready):
            expected = self.outside_subset(pending) if self.candidates else self.inside_subset(pending)
            assert endpoint_ids(candidates) == expected
        self.candidates.append(endpoint_ids(candidates))
        return self.best_of(pending, candidates)

    def inside_subset(self, pending: PendingRequest) -> list[int]:
        subset_ids = set(endpoint_ids(self.policy.endpoints.subset))
        allowed = self.policy.retries.allowed_endpoints(pending)
        return [endpoint_id for endpoint_id in endpoint_ids(allowed) if endpoint_id in subset_ids]

    def outside_subset(self, pending: PendingRequest) -> list[int]:
        subset_ids = set(endpoint_ids(self.policy.endpoints.subset))
        capacity_fraction = self.policy.slow_start.capacity_fraction
        allowed = self.policy.retries.allowed_endpoints(pending)
        warm = [endpoint for endpoint in allowed if capacity_fraction(endpoint.record.started_at) >= 1]
        return [endpoint_id for endpoint_id in endpoint_ids(warm) if endpoint_id not in subset_ids]


# A request reads only the endpoints of the subset, as a walk through the whole table is slow.  Guards against
# another choice of endpoint as a result: the candidates must equal those that a walk would find.
@given(
    st.lists(st.tuples(st.integers(1, 60), st.sampled_from(EndpointState), st.booleans()), max_size=30),
    st.integers(0, GATEWAY_COUNT - 1),
    st.integers(0, 1 << 16),
)
@settings(max_examples=60, deadline=None)
def test_candidates_equal_those_of_a_walk_through_all_endpoints(
    updates: list[tuple[int, EndpointState, bool]], gateway_index: int, seed: int
) -> None:
    records = [make_record(endpoint_id, cell=endpoint_id % 3) for endpoint_id in range(1, 41)]
    changes = {"me": str(gateway_index), "peers_total": str(GATEWAY_COUNT), "tariffs__0__quota_rate": "0"}
    policy = make_policy(records, seed, **changes)
    for version, (endpoint_id, state, cold) in enumerate(updates, 2):
        started = START if cold else 0.0
        record = make_record(endpoint_id, cell=endpoint_id % 3, state=state, started=started)
        policy.handle(START, EndpointUpdate(UpdateKind.DELTA, version, (record,)))
    recorder = CandidateRecorder(policy)
    policy.load_balancer.best_of = recorder  # type: ignore[method-assign]
    for request_id in range(10):
        now = START + request_id
        recorder.candidates.clear()
        attempts = started_attempts(policy.handle(now, make_request(request_id, cls=request_id % 2)))
        assert bool(attempts) <= bool(recorder.candidates)
        for attempt in attempts:
            recorder.candidates.clear()
            policy.handle(now, make_finished(request_id, attempt, Outcome.RESET))


def test_a_request_does_not_read_the_records_outside_the_subset() -> None:
    reads = 0

    class CountingRecord(EndpointRecord):
        """A record that counts the reads of its endpoint id."""

        def __getattribute__(self, name: str) -> Any:
            nonlocal reads
            reads += name == "endpoint_id"
            return super().__getattribute__(name)

    records = [
        CountingRecord(endpoint_id, 0, 0.0, EndpointState.READY, 0, 0, 1.0) for endpoint_id in range(1, 2001)
    ]
    policy = make_policy(records, 1, peers_total="2000", tariffs__0__quota_rate="0")
    reads = 0
    assert started_attempts(policy.handle(START, make_request(1)))
    assert 0 < reads < 100
