"""A policy whose actions a test decides."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from gateway.policy.actions import Action, Fail, StartAttempt
from gateway.policy.events import AttemptFinished, Event, Outcome, Request

# Ids of the endpoints of a running gateway, in the order in which the test passes them.
FIRST_ENDPOINT_ID = 0x00000001
SECOND_ENDPOINT_ID = 0x00000002

Reaction = Callable[[Any], list[Action]]
EventT = TypeVar("EventT")


class ScriptedPolicy:
    """Replaces the policy: `react` returns the actions for each event.

    Attributes:
        react: The script.
        events: All events so far.
        actions: The actions for the latest event.
    """

    def __init__(self, react: Reaction) -> None:
        self.react = react
        self.events: list[Any] = []
        self.actions: list[Action] = []

    def handle(self, _now: float, event: Event) -> list[Action]:
        """Return the script's actions for an event."""
        self.events.append(event)
        self.actions = []
        for action in self.react(event):
            self.actions.append(action)
        return self.actions

    def outcomes(self) -> list[Outcome]:
        """Return the outcomes of all finished attempts."""
        return [event.outcome for event in self.events_of_type(AttemptFinished)]

    def events_of_type(self, event_type: type[EventT]) -> list[EventT]:
        """Return all events of a type."""
        return [event for event in self.events if isinstance(event, event_type)]


def do_nothing(_event: Any) -> list[Action]:
    """Return no action for any event."""
    return []


def forward_to_first(event: Any) -> list[Action]:
    """Forward each request to the first endpoint, and fail the request if the attempt fails."""
    if isinstance(event, Request):
        return [StartAttempt(event.request_id, FIRST_ENDPOINT_ID, 0.0)]
    if isinstance(event, AttemptFinished) and event.outcome is not Outcome.OK:
        return [Fail(event.request_id)]
    return []
