"""The event queue: the order in which events are processed, and errors while one is processed."""

from __future__ import annotations

import pytest

from gateway.driver.event_queue import EventQueue
from gateway.policy.events import Event, TimerFired

FIRST = TimerFired(1)
SECOND = TimerFired(2)
THIRD = TimerFired(3)


# Guards against an event that the policy gets in the middle of the actions for another one.
def test_an_event_that_is_delivered_during_another_is_processed_behind_it() -> None:
    steps: list[tuple[str, Event]] = []

    def process(event: Event) -> None:
        steps.append(("begun", event))
        if event is FIRST:
            queue.deliver(SECOND)
            queue.deliver(THIRD)
        steps.append(("ended", event))

    queue = EventQueue(process)
    queue.deliver(FIRST)
    assert steps == [(step, event) for event in (FIRST, SECOND, THIRD) for step in ("begun", "ended")]


# Guards against a queue that stops for good behind an error.
def test_events_are_processed_after_an_error() -> None:
    processed: list[Event] = []

    def process(event: Event) -> None:
        if event is FIRST:
            raise RuntimeError("a bug")
        processed.append(event)

    queue = EventQueue(process)
    with pytest.raises(RuntimeError):
        queue.deliver(FIRST)
    queue.deliver(SECOND)
    assert processed == [SECOND]
