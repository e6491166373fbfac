"""When the policy asks for its timer."""

from __future__ import annotations

from gateway.policy.context import TICK_SECONDS
from gateway.policy.tick_timer import MIN_DELAY_SECONDS, SLOW_TICK_SECONDS, TickTimer
from tests.support.policy import START


def test_a_timer_is_due_after_a_tick_while_a_request_waits() -> None:
    assert TickTimer().schedule(START, waiting=True) == START + TICK_SECONDS
    assert TickTimer().schedule(START, waiting=False) == START + SLOW_TICK_SECONDS


def test_a_timer_that_is_set_in_time_is_not_set_again() -> None:
    timer = TickTimer()
    timer.schedule(START, waiting=True)
    assert timer.schedule(START + TICK_SECONDS / 2, waiting=True) is None


def test_an_earlier_timer_is_set_when_a_request_begins_to_wait() -> None:
    timer = TickTimer()
    timer.schedule(START, waiting=False)
    assert timer.schedule(START, waiting=True) == START + TICK_SECONDS


def test_a_timer_that_is_due_is_set_again() -> None:
    timer = TickTimer()
    due = timer.schedule(START, waiting=True)
    assert due is not None
    now = due - MIN_DELAY_SECONDS / 2
    assert timer.schedule(now, waiting=True) == now + TICK_SECONDS
