"""Settings, events and a fake counter to run policies in tests, without sockets or a clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gateway.policy.actions import Action, AddToCounter, StartAttempt
from gateway.policy.engine import Policy
from gateway.policy.events import (
    AttemptFinished,
    CounterReply,
    EndpointRecord,
    EndpointState,
    EndpointUpdate,
    Event,
    Outcome,
    Request,
    UpdateKind,
)
from gateway.policy.rate_ledger import RateLedger
from gateway.settings_parser import parse_settings

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gateway.policy.lease import Lease

BASE_SETTINGS = {
    "me": "0",
    "peers_total": "3",
    "az": "0",
    "zones": "a,b",
    "period_s": "0.002",
    "rules.answer_slack_s": "0.008",
    "rules.drain_grace_s": "1.0",
    "rules.cold_share": "0.2",
    "rules.warm_up_s": "10.0",
    "rules.fall_multiple": "2.0",
    "rules.fall_s": "2.0",
    "caps.max_attempts": "4",
    "caps.second_copies": "true",
    "caps.cancel": "true",
    "caps.retry_after": "true",
    "caps.max_retry_after_s": "1.0",
    "caps.connect_timeout_s": "0.25",
    "extra.has_counter": "true",
    "extra.counter_price": "0.01",
    "extra.counter_timeout_s": "0.05",
    "classes.count": "3",
    "tariffs.count": "3",
}
EFFECTS = ("safe", "keyed", "unsafe")
for index, effect in enumerate(EFFECTS):
    BASE_SETTINGS |= {
        f"classes.{index}.name": f"class-{index}",
        f"classes.{index}.goal_time_s": "2.0",
        f"classes.{index}.deadline_s": "4.0",
        f"classes.{index}.effect": effect,
        f"classes.{index}.dedup_scope": "cell",
        f"classes.{index}.memory_span_s": "2.0",
        f"classes.{index}.worth": "1.0",
    }
PLANS: tuple[dict[str, str], ...] = (
    {"quota_rate": "4.0", "peak_units": "8.0", "over_cost": "1.0"},
    {"quota_rate": "4.0", "peak_units": "8.0", "never_over_rate": "8.0", "hard_burst": "16.0"},
    {"parallel": "2", "over_cost": "0.5"},
)
for index, plan in enumerate(PLANS):
    BASE_SETTINGS |= {f"tariffs.{index}.name": f"plan-{index}", f"tariffs.{index}.pays": "1.0"}
    BASE_SETTINGS |= {f"tariffs.{index}.{key}": value for key, value in plan.items()}
START = 100.0  # Unix time of the first event


def settings_text(**changes: str) -> str:
    """Return the settings text with some keys changed; a double underscore stands for a dot in a key."""
    values = BASE_SETTINGS | {key.replace("__", "."): value for key, value in changes.items()}
    return "\n".join(f"{key}={value}" for key, value in values.items())


def make_record(
    endpoint: int, *, cell: int = 0, started: float = 0.0, state: EndpointState = EndpointState.READY
) -> EndpointRecord:
    return EndpointRecord(endpoint, 0, started, state, 0, cell, 1.0)


def make_request(
    request_id: int,
    *,
    cls: int = 0,
    plan: int = 0,
    customer: int = 5,
    gateway_set_size: int = 3,
) -> Request:
    return Request(
        request_id,
        cls,
        plan,
        customer,
        time_remaining=4.0,
        units=1.0,
        gateway_set_size=gateway_set_size,
        first_gateway=0,
        is_retry=False,
        is_write=False,
    )


def make_finished(
    request_id: int, started: StartAttempt, outcome: Outcome, attempt: int = 0, *, closed: bool = False
) -> AttemptFinished:
    return AttemptFinished(request_id, attempt, started.endpoint_id, outcome, closed, 0.1, 0, 0, ())


def started_attempts(actions: Iterable[Action]) -> list[StartAttempt]:
    return [action for action in actions if isinstance(action, StartAttempt)]


def counter_calls(actions: Iterable[Action]) -> list[AddToCounter]:
    return [action for action in actions if isinstance(action, AddToCounter)]


class InMemoryCounter:
    """A counter shared by the gateways of a test.

    Attributes:
        totals: The totals, by name.
        calls: Number of calls so far.
        outcome: Outcome of the next calls; with any but OK they add nothing.
        drops_replies: Whether the next calls time out although they add their amounts.
    """

    def __init__(self) -> None:
        self.totals: dict[int, float] = {}
        self.calls = 0
        self.outcome = Outcome.OK
        self.drops_replies = False

    def lose_totals(self) -> None:
        """Delete all totals, as a counter does that restarts."""
        self.totals.clear()

    def answer(self, call: AddToCounter) -> CounterReply:
        """Run a call and return its reply."""
        self.calls += 1
        if self.outcome is not Outcome.OK:
            return CounterReply(call.name, self.outcome, 0.0, 0.05)
        self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
        if self.drops_replies:
            return CounterReply(call.name, Outcome.TIMEOUT, 0.0, 0.05)
        return CounterReply(call.name, Outcome.OK, self.totals[call.name], 0.001)


def make_policy(endpoints: Iterable[EndpointRecord] = (), seed: int = 1, /, **changes: str) -> Policy:
    policy = Policy(parse_settings(settings_text(**changes)), seed)
    listed = tuple(endpoints) or tuple(make_record(endpoint, cell=endpoint % 2) for endpoint in range(1, 7))
    policy.handle(START, EndpointUpdate(UpdateKind.CACHED, 1, listed))
    return policy


def make_fleet(count: int, **changes: str) -> list[Policy]:
    """Return the gateways of one deployment."""
    return [make_policy(me=str(index), **changes) for index in range(count)]


def run_event(policy: Policy, counter: InMemoryCounter, now: float, event: Event) -> list[Action]:
    """Handle an event and answer all counter calls that follow from it; return all actions."""
    actions = policy.handle(now, event)
    index = 0
    while index < len(actions):
        action = actions[index]
        index += 1
        if isinstance(action, AddToCounter):
            actions = actions + policy.handle(now, counter.answer(action))
    return actions


def serve(policy: Policy, counter: InMemoryCounter, now: float, request_id: int, **fields: int) -> bool:
    """Handle a request and finish its attempt at once; return whether an attempt was started."""
    attempts = started_attempts(run_event(policy, counter, now, make_request(request_id, **fields)))
    for attempt in attempts:
        run_event(policy, counter, now, make_finished(request_id, attempt, Outcome.OK, closed=True))
    return bool(attempts)


def serve_many(policy: Policy, counter: InMemoryCounter, now: float, request_ids: Iterable[int]) -> int:
    """Serve several requests of one customer at the same time; return how many were admitted."""
    return sum(serve(policy, counter, now, request_id) for request_id in request_ids)


def start_request(policy: Policy, request_id: int, **fields: int) -> StartAttempt:
    """Handle a request of a new customer; return its first attempt, which stays in flight."""
    (attempt,) = started_attempts(
        run_event(policy, InMemoryCounter(), START, make_request(request_id, customer=request_id, **fields))
    )
    return attempt


def only_lease(policy: Policy) -> Lease:
    """Return the lease of a gateway that has exactly one."""
    (lease,) = policy.leases.by_key.values()
    return lease


def quota_level(policy: Policy) -> float:
    """Return the level of the only customer's rate quota, as the gateway knows it."""
    ledger = only_lease(policy).ledger
    assert isinstance(ledger, RateLedger)
    return ledger.level(policy.context.now)


class ReferenceQuota:
    """A token bucket that counts each request at once: the exact level of a customer's rate quota."""

    def __init__(self, *, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.updated_at = START

    def refill(self, now: float) -> None:
        """Add the units that have accrued, up to a burst."""
        self.level = min(self.burst, self.level + self.rate * (now - self.updated_at))
        self.updated_at = now

    def consume(self, now: float) -> None:
        """Consume a unit, even if that overdraws the quota."""
        self.refill(now)
        self.level -= 1.0


class PreloadedCounter(InMemoryCounter):
    """A counter whose totals start at `initial_total`, the units that other gateways have added."""

    initial_total = 0.0

    def answer(self, call: AddToCounter) -> CounterReply:
        self.totals.setdefault(call.name, self.initial_total)
        return super().answer(call)
