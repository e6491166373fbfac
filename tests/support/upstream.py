"""Responses of a fake endpoint and a policy that starts one attempt at a time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gateway.policy.actions import Action, Fail, StartAttempt
from gateway.policy.events import AttemptFinished, Outcome, Request
from tests.support.sockets import FIRST, Message, http_response


def echo_request_id(message: Message) -> bytes:
    """Respond with the request's id as body."""
    return http_response(body=message.headers["request-id"].encode())


def one_at_a_time() -> Callable[[Any], list[Action]]:
    """Return a policy that starts the next attempt once it hears that the last one has finished."""
    waiting: list[int] = []

    def react(event: Any) -> list[Action]:
        if isinstance(event, Request):
            waiting.append(event.request_id)
            return [StartAttempt(event.request_id, FIRST, 0.0)] if len(waiting) == 1 else []
        if isinstance(event, AttemptFinished):
            waiting.pop(0)
            following: list[Action] = [StartAttempt(waiting[0], FIRST, 0.0)] if waiting else []
            return following if event.outcome is Outcome.OK else [Fail(event.request_id), *following]
        return []

    return react
