"""Events in, actions out: the timer, deadlines, late events, determinism."""

from __future__ import annotations

import subprocess
import sys

from gateway.policy.actions import Action, Fail, Reject, SetTimer
from gateway.policy.context import TICK_SECONDS
from gateway.policy.events import (
    AttemptFinished,
    AttemptStarted,
    ClientDisconnected,
    CounterReply,
    Outcome,
    PeerMessage,
    ProbeFinished,
    TimerFired,
)
from gateway.policy.outlier_detector import INITIAL_LATENCY_SECONDS
from tests.support.policy import (
    START,
    FakeCounter,
    make_finished,
    make_policy,
    make_request,
    serve,
    start_request,
)


def test_an_idle_gateway_sets_no_timer() -> None:
    counter, policy = FakeCounter(), make_policy()
    serve(policy, counter, START, 1)
    timers, now = 0, START
    for _ in range(200):
        now += 0.1
        timers += len([a for a in policy.handle(now, TimerFired(1)) if isinstance(a, SetTimer)])
    assert timers <= 40
    assert not policy.handle(now + 1, ClientDisconnected(1))


def test_a_timer_that_fires_a_little_early_is_set_again() -> None:
    policy = make_policy()
    (timer,) = (a for a in policy.handle(START, make_request(1)) if isinstance(a, SetTimer))
    assert [a for a in policy.handle(timer.at - 1e-7, TimerFired(1)) if isinstance(a, SetTimer)]


def test_every_waiting_request_ends_in_time() -> None:
    policy = make_policy()
    policy.handle(START, make_request(1, time_remaining=0.3))  # its lease is never answered
    ended: list[Action] = []
    for n in range(1, 13):
        ended += policy.handle(START + n * TICK_SECONDS, TimerFired(1))
    assert [a for a in ended if isinstance(a, Reject)] == [Reject(1, INITIAL_LATENCY_SECONDS)]


def test_a_timeout_at_the_deadline_is_answered_as_failed() -> None:
    policy = make_policy()
    sent = start_request(policy, 1, cls=2)
    assert Fail(1) in policy.handle(START + 4.0, make_finished(1, sent, Outcome.TIMEOUT))


def test_late_and_unknown_events_are_ignored() -> None:
    policy = make_policy()
    sent = start_request(policy, 1)
    policy.handle(START + 0.1, make_finished(1, sent, Outcome.OK, closed=True))
    for event in (
        make_finished(1, sent, Outcome.OK, closed=True), ClientDisconnected(1), ClientDisconnected(1),
        ClientDisconnected(77), TimerFired(12345),
        CounterReply(99, Outcome.OK, 1.0, 0.1), AttemptStarted(1, 0, 1, 0.1), PeerMessage(1, b"x"),
        ProbeFinished(1, Outcome.OK, 0.1, ()), AttemptFinished(5, 0, 999, Outcome.OK, True, 0.1, 0, 0, ()),
    ):  # fmt: skip
        assert not [a for a in policy.handle(START + 0.2, event) if not isinstance(a, SetTimer)]


SCRIPT = """
from gateway.policy.events import Outcome, TimerFired
from tests.support.policy import *
made, counter, log = make_policy(), FakeCounter(), []
for rid in range(200):
    asked = make_request(rid, cls=rid % 3, plan=rid % 3, customer=rid % 7)
    found = run_event(made, counter, START + rid / 40, asked)
    for s in started_attempts(found):
        if rid % 5:
            found += run_event(made, counter, START + rid / 40, make_finished(rid, s, Outcome(rid % 2 * 5)))
    log.append(repr(found + made.handle(START + rid / 40, TimerFired(1))))
print("".join(log))
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


def test_instances_share_nothing() -> None:
    alone = make_policy((), 4)
    one, other = make_policy((), 4), make_policy((), 5)
    for request_id in range(50):
        other.handle(START, make_request(request_id))
        assert one.handle(START, make_request(request_id)) == alone.handle(START, make_request(request_id))
