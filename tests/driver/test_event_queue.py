"""The event queue: the order of processing, and exceptions during the processing of an event."""

from __future__ import annotations

import pytest

from gateway.driver.event_queue import EventQueue
from gateway.policy.events import Event, TimerFired

FIRST = TimerFired(1)
SECOND = TimerFired(2)
THIRD = TimerFired(3)


# Guards against an event that reaches the policy before all actions for the previous event are executed.
def test_event_delivered_while_another_is_processed_is_processed_after_it() -> None:
    steps: list[tuple[str, Event]] = []

    def process(event: Event) -> None:
        steps.append(("started", event))
        if event is FIRST:
            queue.deliver(SECOND)
            queue.deliver(THIRD)
        steps.append(("finished", event))

    queue = EventQueue(process)
    queue.deliver(FIRST)
    assert steps == [(step, event) for event in (FIRST, SECOND, THIRD) for step in ("started", "finished")]


# Guards against a queue that stays marked as processing after an exception and never processes again.
def test_events_are_processed_after_an_exception() -> None:
    processed: list[Event] = []

    def process(event: Event) -> None:
        if event is FIRST:
            raise RuntimeError("simulated bug")
        processed.append(event)

    queue = EventQueue(process)
    with pytest.raises(RuntimeError):
        queue.deliver(FIRST)
    queue.deliver(SECOND)
    assert processed == [SECOND]
