"""A policy that follows a test's script."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from gateway.policy.actions import Action, Fail, StartAttempt
from gateway.policy.events import AttemptFinished, Event, Outcome, Request

# Ids of the endpoints of a running gateway, in the order in which the test passes them.
FIRST_ENDPOINT = 0x00000001
SECOND_ENDPOINT = 0x00000002

Reaction = Callable[[Any], list[Action]]
EventT = TypeVar("EventT")


class ScriptedPolicy:
    """Takes the place of the policy: `react` gives the actions for each event."""

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
        """Return the outcomes of the attempts that have finished."""
        return [event.outcome for event in self.events_of_type(AttemptFinished)]

    def events_of_type(self, kind: type[EventT]) -> list[EventT]:
        """Return the events of a type."""
        return [event for event in self.events if isinstance(event, kind)]


def do_nothing(_event: Any) -> list[Action]:
    """Answer no event with an action."""
    return []


def forward_to_first(event: Any) -> list[Action]:
    """Forward each request to the first endpoint, and fail it when that did not serve."""
    if isinstance(event, Request):
        return [StartAttempt(event.request_id, FIRST_ENDPOINT, 0.0)]
    if isinstance(event, AttemptFinished) and event.outcome is not Outcome.OK:
        return [Fail(event.request_id)]
    return []
