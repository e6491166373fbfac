"""The policy driver: exceptions in the policy, timers, and actions that the process does not support."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from gateway.policy.actions import Action, FetchEndpoints, Log, Reject, SetTimer, WatchEndpoints
from gateway.policy.events import AttemptFinished, Outcome, Request, TimerFired
from testbed.fake_endpoint import FakeEndpoint
from testbed.http_messages import http_response
from tests.support.event_loop import async_test, run, until
from tests.support.gateway import UNREACHABLE, gateway_with_client
from tests.support.scripted_policy import forward_to_first

if TYPE_CHECKING:
    import pytest

TIMER_COUNT = 40
TIMER_INTERVAL_SECONDS = 0.0017  # not a multiple of the millisecond, the event loop's timer resolution


def test_exception_in_the_policy_loses_no_request(caplog: pytest.LogCaptureFixture) -> None:
    async def send_requests() -> None:
        def react(event: Any) -> list[Action]:
            if isinstance(event, Request) and event.class_index == 0:
                raise RuntimeError("simulated bug")
            if isinstance(event, AttemptFinished) and event.outcome is not Outcome.OK:
                raise RuntimeError("another simulated bug")
            return forward_to_first(event)

        endpoint = FakeEndpoint(lambda _: http_response(500 if len(endpoint.requests) == 1 else 200))
        async with gateway_with_client(endpoint, react=react) as gateway:
            assert (await gateway.client.send_request(0)).status == 503  # the request never ran
            assert (await gateway.client.send_request(2)).status == 502  # the request may have run
            assert (await gateway.client.send_request(2)).status == 200
            assert not gateway.process.driver.open_requests

    run(send_requests())
    assert "the policy failed on Request" in caplog.text
    assert "the policy failed on AttemptFinished" in caplog.text


@async_test
async def test_timers_never_fire_early() -> None:
    """The policy ignores a timer that fires early, and would then do nothing until its next event."""
    due_at: dict[int, float] = {}  # Unix time in seconds, by token
    fired_at: dict[int, float] = {}

    def react(event: Any) -> list[Action]:
        driver = gateway.process.driver
        if isinstance(event, Request):
            due_at.update(
                {token: driver.now + token * TIMER_INTERVAL_SECONDS for token in range(TIMER_COUNT)}
            )
            return [SetTimer(at, token) for token, at in due_at.items()]
        if isinstance(event, TimerFired):
            fired_at[event.token] = driver.now
        return []

    async with gateway_with_client(UNREACHABLE, react=react) as gateway:
        gateway.client.writer.write(gateway.client.encode_request())
        await until(lambda: len(fired_at) == TIMER_COUNT)
        assert all(at >= due_at[token] for token, at in fired_at.items())


def test_unsupported_actions_are_logged_once_per_type(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")

    async def send_request() -> None:
        def react(event: Any) -> list[Action]:
            if not isinstance(event, Request):
                return []
            unsupported: list[Action] = [
                WatchEndpoints(enabled=True),
                FetchEndpoints(),
                WatchEndpoints(enabled=False),
            ]
            return [*unsupported, Log("two endpoints unknown"), Reject(event.request_id, 0.0)]

        async with gateway_with_client(UNREACHABLE, react=react) as gateway:
            for _ in range(2):
                assert (await gateway.client.send_request()).status == 503

    run(send_request())
    assert caplog.text.count("unsupported action: WatchEndpoints") == 1
    assert caplog.text.count("unsupported action: FetchEndpoints") == 1
    assert caplog.text.count("policy: two endpoints unknown") == 2
