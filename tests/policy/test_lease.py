"""The credits of a lease: which are granted when the quota runs out, and when they expire."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from gateway.policy.actions import Fail, Reject
from gateway.policy.events import EndpointUpdate, UpdateKind
from tests.support.policy import (
    START,
    InMemoryCounter,
    make_record,
    make_request,
    only_lease,
    quota_level,
    run_event,
    serve,
    serve_many,
)

if TYPE_CHECKING:
    from gateway.policy.engine import Policy


def test_credits_expire_when_the_window_ends(policy: Policy, counter: InMemoryCounter) -> None:
    serve(policy, counter, START, 1)
    lease = only_lease(policy)
    lease.credits = 3.0
    policy.context.now = START + lease.quota.window_length
    lease.roll_window(policy.context.now)
    assert lease.credits == 0.0


def test_a_denied_customer_leases_its_next_unit_ahead(policy: Policy, counter: InMemoryCounter) -> None:
    """Units that the quota lacks are returned, except the unit that accrues next.

    The customer is rejected until that unit has accrued, and then spends it without another counter call.
    """
    assert serve_many(policy, counter, START, range(30)) == 8
    assert quota_level(policy) == pytest.approx(-1.0)
    actions = run_event(policy, counter, START + 0.1, make_request(40))
    rejections = [action for action in actions if isinstance(action, Reject)]
    assert [round(rejection.retry_after, 3) for rejection in rejections] == [0.15]  # 4 units per second
    assert not serve(policy, counter, START + 0.24, 41)
    calls = counter.calls
    assert serve(policy, counter, START + 0.26, 42)
    assert counter.calls == calls
    assert not serve(policy, counter, START + 0.3, 43)  # leased, but 0.8 of a unit is missing
    assert quota_level(policy) == pytest.approx(8 + 0.3 * 4 - 10)
    calls = counter.calls
    assert not serve(policy, counter, START + 0.49, 44)
    assert serve(policy, counter, START + 0.51, 45)
    assert counter.calls == calls


def test_no_unit_is_leased_ahead_for_an_infrequent_customer(
    policy: Policy, other_policy: Policy, counter: InMemoryCounter
) -> None:
    assert serve_many(policy, counter, START, range(30)) == 8
    assert not serve(other_policy, counter, START + 0.01, 40)
    assert only_lease(policy).credits == 1.0
    assert only_lease(other_policy).credits == 0.0


# Guards against exceeding the ceiling when queued requests are dispatched with credits of an earlier window.
def test_the_credits_of_a_queued_request_under_a_ceiling_expire_with_the_window(
    policy: Policy, counter: InMemoryCounter
) -> None:
    limiter = policy.concurrency_limiter
    limiter.lateness.reset(1.0)
    limiter.concurrency_limit = 0.0
    policy.endpoints.by_id.clear()
    policy.endpoints.ready.clear()
    run_event(policy, counter, START, make_request(1, plan=1))
    calls = counter.calls
    later = START + only_lease(policy).quota.window_length + 0.01
    limiter.concurrency_limit = 4.0
    update = EndpointUpdate(UpdateKind.SNAPSHOT, 2, (make_record(1),))
    actions = run_event(policy, counter, later, update)
    assert counter.calls == calls + 2
    assert not [action for action in actions if isinstance(action, Fail)]
