"""Helpers for tests of upstream connections: responses, a scripted policy and a gateway with two clients."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from gateway.policy.actions import Action, Fail, StartAttempt
from gateway.policy.events import AttemptFinished, Outcome, Request
from testbed.http_messages import Message, http_response, read_message
from tests.support.gateway import running_gateway
from tests.support.http_client import HttpClient
from tests.support.scripted_policy import FIRST_ENDPOINT_ID, ScriptedPolicy

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from testbed.fake_server import FakeServer, Handler


def echo_request_id(message: Message) -> bytes:
    """Return a response whose body is the Request-Id of the request."""
    return http_response(body=message.headers["request-id"].encode())


def one_attempt_at_a_time() -> Callable[[Any], list[Action]]:
    """Return a policy script that starts each attempt when the attempt before it has finished."""
    waiting: list[int] = []

    def react(event: Any) -> list[Action]:
        if isinstance(event, Request):
            waiting.append(event.request_id)
            return [StartAttempt(event.request_id, FIRST_ENDPOINT_ID, 0.0)] if len(waiting) == 1 else []
        if isinstance(event, AttemptFinished):
            waiting.pop(0)
            next_start: list[Action] = [StartAttempt(waiting[0], FIRST_ENDPOINT_ID, 0.0)] if waiting else []
            return next_start if event.outcome is Outcome.OK else [Fail(event.request_id), *next_start]
        return []

    return react


@dataclass(frozen=True)
class TwoClients:
    """Two clients of a gateway that runs one attempt at a time, and the gateway's scripted policy."""

    policy: ScriptedPolicy
    first: HttpClient
    second: HttpClient

    async def send_both_requests(self) -> list[Message]:
        """Send a request from each client, with the ids `one` and `two`, and return the responses."""
        self.first.writer.write(self.first.encode_request(Request_Id="one"))
        self.second.writer.write(self.second.encode_request(Request_Id="two"))
        return [await read_message(self.first.reader), await read_message(self.second.reader)]


@contextlib.asynccontextmanager
async def two_clients(endpoint: FakeServer | Handler) -> AsyncIterator[TwoClients]:
    """Run a gateway with one endpoint and two connected clients."""
    async with (
        running_gateway(endpoint, react=one_attempt_at_a_time()) as (gateway, policy),
        HttpClient(gateway.listener) as first,
        HttpClient(gateway.listener) as second,
    ):
        yield TwoClients(policy, first, second)
