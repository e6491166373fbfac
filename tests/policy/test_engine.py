"""The actions that the policy returns for events: the timer, deadlines, late events, determinism."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import replace

from gateway.policy.actions import Action, Fail, Reject, SetTimer
from gateway.policy.context import TICK_SECONDS
from gateway.policy.events import (
    AttemptStarted,
    ClientDisconnected,
    CounterReply,
    Event,
    Outcome,
    PeerMessage,
    ProbeFinished,
    TimerFired,
)
from gateway.policy.outlier_detector import INITIAL_LATENCY_SECONDS
from tests.support.endpoints import actions_of
from tests.support.policy import (
    START,
    InMemoryCounter,
    make_finished,
    make_policy,
    make_request,
    serve,
    start_request,
)


# Guards against an idle gateway that sets timers forever: it needs them only until it has reclaimed its idle
# credits.
def test_an_idle_gateway_stops_setting_timers() -> None:
    policy = make_policy()
    serve(policy, InMemoryCounter(), START, 1)
    now = START
    timers: list[SetTimer] = []
    for _ in range(200):
        now += 0.1
        timers += actions_of(policy.handle(now, TimerFired(1)), SetTimer)
    assert len(timers) <= 40
    assert not policy.handle(now + 1, ClientDisconnected(1))


# Guards against waiting requests without a timer: a driver that rounds the due time down fires early.
def test_a_timer_that_fires_slightly_early_is_set_again() -> None:
    policy = make_policy()
    (timer,) = actions_of(policy.handle(START, make_request(1)), SetTimer)
    assert actions_of(policy.handle(timer.at - 1e-7, TimerFired(1)), SetTimer)


def test_a_request_whose_lease_call_gets_no_reply_is_rejected_before_its_deadline() -> None:
    policy = make_policy()
    policy.handle(START, replace(make_request(1), time_remaining=0.3))
    actions: list[Action] = []
    for tick in range(1, 13):
        actions += policy.handle(START + tick * TICK_SECONDS, TimerFired(1))
    assert actions_of(actions, Reject) == [Reject(1, INITIAL_LATENCY_SECONDS)]


def test_a_request_whose_attempt_times_out_at_the_deadline_fails() -> None:
    policy = make_policy()
    attempt = start_request(policy, 1, cls=2)
    assert Fail(1) in policy.handle(START + 4.0, make_finished(1, attempt, Outcome.TIMEOUT))


def test_late_and_unknown_events_are_ignored() -> None:
    policy = make_policy()
    attempt = start_request(policy, 1)
    policy.handle(START + 0.1, make_finished(1, attempt, Outcome.OK, closed=True))
    duplicate = make_finished(1, attempt, Outcome.OK, closed=True)
    late_events: list[Event] = [
        duplicate,
        ClientDisconnected(1),
        ClientDisconnected(1),
        ClientDisconnected(77),
        TimerFired(12345),
        CounterReply(99, Outcome.OK, 1.0, 0.1),
        AttemptStarted(1, 0, 1, 0.1),
        PeerMessage(1, b"x"),
        ProbeFinished(1, Outcome.OK, 0.1, ()),
        replace(duplicate, request_id=5, endpoint_id=999),
    ]
    for event in late_events:
        actions = policy.handle(START + 0.2, event)
        assert actions == list(actions_of(actions, SetTimer))


SCRIPT = """
from gateway.policy.events import Outcome, TimerFired
from tests.support.policy import *
policy = make_policy()
counter = InMemoryCounter()
for request_id in range(200):
    now = START + request_id / 40
    request = make_request(request_id, cls=request_id % 3, plan=request_id % 3, customer=request_id % 7)
    actions = run_event(policy, counter, now, request)
    for attempt in started_attempts(actions):
        if request_id % 5:
            finished = make_finished(request_id, attempt, Outcome(request_id % 2 * 5))
            actions += run_event(policy, counter, now, finished)
    print(actions + policy.handle(now, TimerFired(1)), end="")
"""


def test_identical_events_give_identical_actions_under_any_hash_seed() -> None:
    outputs = {
        subprocess.run(
            [sys.executable, "-c", SCRIPT],
            env={"PYTHONHASHSEED": seed, "PYTHONPATH": "."},
            capture_output=True,
            check=True,
        ).stdout
        for seed in ("0", "1", "777")
    }
    assert len(outputs) == 1
    assert len(outputs.pop()) > 1000


def test_policies_share_no_state() -> None:
    alone = make_policy((), 4)
    beside_another = make_policy((), 4)
    another = make_policy((), 5)
    for request_id in range(50):
        request = make_request(request_id)
        another.handle(START, request)
        assert beside_another.handle(START, request) == alone.handle(START, request)
