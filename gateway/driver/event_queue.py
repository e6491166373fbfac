"""The queue of events to be delivered to the policy."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from gateway.policy.events import Event


class EventQueue:
    """Processes events one at a time, in the order in which they were delivered."""

    __slots__ = ("_events", "_is_processing", "_process_event")

    def __init__(self, process_event: Callable[[Event], None]) -> None:
        self._process_event = process_event
        self._events: deque[Event] = deque()
        self._is_processing = False

    def deliver(self, event: Event) -> None:
        """Process an event, followed by the events that its processing delivers.

        When called while another event is being processed, append the event to the queue instead.
        """
        self._events.append(event)
        if self._is_processing:
            return
        self._is_processing = True
        try:
            while self._events:
                self._process_event(self._events.popleft())
        finally:
            self._is_processing = False
