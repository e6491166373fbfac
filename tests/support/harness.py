"""Set-up that the process tests share: tests as coroutines, and a gateway between endpoints and a client."""

from __future__ import annotations

import contextlib
import functools
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any, ParamSpec

from gateway.policy.actions import Action
from gateway.process import GatewayProcess
from tests.support.sockets import (
    FakeEndpoint,
    Handler,
    HttpClient,
    ScriptedPolicy,
    config_text,
    listening,
    run,
    running_gateway,
    send_on,
)

UNREACHABLE = "127.0.0.1:1"  # nothing listens on this port

P = ParamSpec("P")
Reaction = Callable[[Any], list[Action]]


def async_test(test: Callable[P, Awaitable[None]]) -> Callable[P, None]:
    """Runs a test that is a coroutine on the event loop that serves, bounded in time."""

    @functools.wraps(test)
    def run_on_loop(*args: P.args, **kwargs: P.kwargs) -> None:
        run(test(*args, **kwargs))

    return run_on_loop


def config_without(key: str) -> str:
    """A configuration that lacks a key."""
    raw: dict[str, Any] = json.loads(config_text([]))
    del raw[key]
    return json.dumps(raw)


@dataclass(frozen=True)
class GatewaySetUp:
    """A running gateway, the scripted policy in it, and a connected client."""

    process: GatewayProcess
    policy: ScriptedPolicy
    client: HttpClient


@contextlib.asynccontextmanager
async def gateway_with_client(
    *endpoints: FakeEndpoint | Handler | str, react: Reaction | None = send_on, **changes: str
) -> AsyncIterator[GatewaySetUp]:
    """A gateway that has these endpoints, each a fake, a connection handler or an address.

    ``react`` scripts the policy; with None the gateway has its own.  ``changes`` are changed settings.
    """
    async with contextlib.AsyncExitStack() as stack:
        addresses = [await _listen(stack, endpoint) for endpoint in endpoints]
        gateway = running_gateway(*addresses, react=react, **changes)
        process, policy = await stack.enter_async_context(gateway)
        client = await stack.enter_async_context(HttpClient(process.listener))
        yield GatewaySetUp(process, policy, client)


async def _listen(stack: contextlib.AsyncExitStack, endpoint: FakeEndpoint | Handler | str) -> str:
    if isinstance(endpoint, str):
        return endpoint
    handler = endpoint.handle if isinstance(endpoint, FakeEndpoint) else endpoint
    return await stack.enter_async_context(listening(handler))
