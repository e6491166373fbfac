"""The scheduling of the policy's timer."""

from __future__ import annotations

from gateway.policy.context import TICK_SECONDS
from gateway.policy.tick_timer import SLOW_TICK_SECONDS, TIMER_TOLERANCE_SECONDS, TickTimer
from tests.support.policy import START


def test_a_timer_is_due_after_one_tick_while_a_request_waits() -> None:
    assert TickTimer().schedule(START, waiting=True) == START + TICK_SECONDS
    assert TickTimer().schedule(START, waiting=False) == START + SLOW_TICK_SECONDS


def test_no_timer_is_set_while_one_is_due_early_enough() -> None:
    timer = TickTimer()
    timer.schedule(START, waiting=True)
    assert timer.schedule(START + TICK_SECONDS / 2, waiting=True) is None


def test_an_earlier_timer_is_set_when_a_request_starts_to_wait() -> None:
    timer = TickTimer()
    timer.schedule(START, waiting=False)
    assert timer.schedule(START, waiting=True) == START + TICK_SECONDS


def test_a_timer_that_is_due_is_set_again() -> None:
    timer = TickTimer()
    due = timer.schedule(START, waiting=True)
    assert due is not None
    now = due - TIMER_TOLERANCE_SECONDS / 2
    assert timer.schedule(now, waiting=True) == now + TICK_SECONDS
