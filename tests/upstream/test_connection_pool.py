"""When a connection is used again, and which attempts still get it, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest

from gateway.policy.events import ClientDisconnected, Outcome
from gateway.upstream import connection_pool
from tests.support.harness import async_test
from tests.support.sockets import (
    FIRST,
    FakeEndpoint,
    HttpClient,
    listening,
    read_message,
    running_gateway,
    send_on,
    until,
)
from tests.support.upstream import echo_request_id, one_at_a_time


# Guards against forwarding a second copy of a response that comes some milliseconds late, when the next
# request could be in flight on its connection: for that time the connection is not used again.
@async_test
async def test_a_late_second_copy_is_not_the_next_response(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_SECONDS", 1.0)

    seen: list[str] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_message(reader)
            seen.append(message.headers["request-id"])
            writer.write(echo_request_id(message))
            if len(seen) == 1:
                await until(lambda: script.outcomes())  # the next request goes out with this news
                await asyncio.sleep(0.005)
                writer.write(echo_request_id(message))

    async with (
        listening(handle) as address,
        running_gateway(address, react=one_at_a_time()) as (gateway, script),
        HttpClient(gateway.listener) as one,
        HttpClient(gateway.listener) as two,
    ):
        one.writer.write(one.request(Request_Id="one"))
        two.writer.write(two.request(Request_Id="two"))
        responses = [await read_message(c.reader) for c in (one, two)]
        assert [(a.status, a.body) for a in responses] == [(200, b"one"), (200, b"two")]
        assert script.outcomes() == [Outcome.OK, Outcome.OK]
        assert seen == ["one", "two"]


# Guards against an attempt that is sent for a client that left during the reuse delay, and against losing the
# connection that it waited for.
@async_test
async def test_an_attempt_that_waits_for_the_reuse_delay_is_not_sent_once_its_client_has_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_SECONDS", 0.3)

    endpoint = FakeEndpoint(echo_request_id)
    async with (
        listening(endpoint.handle) as address,
        running_gateway(address, react=send_on) as (gateway, script),
    ):
        async with HttpClient(gateway.listener) as client:
            assert (await client.ask(Request_Id="one")).body == b"one"
            client.writer.write(client.request(2, Request_Id="two"))
            await until(lambda: gateway.driver.upstream.pools[FIRST].waiting)
        await until(lambda: script.of(ClientDisconnected))
        assert script.outcomes() == [Outcome.OK, Outcome.NOT_STARTED]
        async with HttpClient(gateway.listener) as client:
            assert (await client.ask(Request_Id="three")).body == b"three"
        assert [m.headers["request-id"] for m in endpoint.seen] == ["one", "three"]
