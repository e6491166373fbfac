"""Tests of the reuse of connections and its delay, over loopback sockets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from gateway.policy.events import ClientDisconnected, Outcome
from gateway.upstream import connection_pool
from testbed.fake_endpoint import FakeEndpoint
from testbed.http_messages import read_message
from tests.support.event_loop import async_test, until
from tests.support.gateway import running_gateway
from tests.support.http_client import NON_IDEMPOTENT_CLASS, HttpClient
from tests.support.scripted_policy import FIRST_ENDPOINT_ID, forward_to_first
from tests.support.upstream import echo_request_id, two_clients

if TYPE_CHECKING:
    import pytest


class DuplicatingEndpoint:
    """An endpoint that sends its first response again 5 ms after `may_duplicate` is set."""

    def __init__(self) -> None:
        self.may_duplicate = asyncio.Event()
        self.request_ids: list[str] = []

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_message(reader)
            self.request_ids.append(message.headers["request-id"])
            writer.write(echo_request_id(message))
            if len(self.request_ids) == 1:
                await self.may_duplicate.wait()
                await asyncio.sleep(0.005)
                writer.write(echo_request_id(message))


# Guards against forwarding a duplicate response that arrives some milliseconds after the first: without the
# reuse delay the next request could already be in progress on the connection.
@async_test
async def test_a_late_duplicate_response_is_not_used_as_the_next_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_SECONDS", 1.0)
    endpoint = DuplicatingEndpoint()
    async with two_clients(endpoint.handle) as clients, asyncio.TaskGroup() as group:
        responses_of_both = group.create_task(clients.send_both_requests())
        # The policy starts the second attempt when the first has finished.
        await until(clients.policy.outcomes)
        endpoint.may_duplicate.set()
        responses = await responses_of_both
        assert [response.status for response in responses] == [200, 200]
        assert [response.body for response in responses] == [b"one", b"two"]
        assert clients.policy.outcomes() == [Outcome.OK, Outcome.OK]
        assert endpoint.request_ids == ["one", "two"]


# Guards against sending an attempt whose client disconnected during the reuse delay, and against losing the
# connection that the attempt waited for.
@async_test
async def test_an_attempt_whose_client_disconnects_during_the_reuse_delay_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_SECONDS", 0.3)
    endpoint = FakeEndpoint(echo_request_id)
    async with running_gateway(endpoint, react=forward_to_first) as (gateway, policy):
        async with HttpClient(gateway.listener) as client:
            assert (await client.send_request(Request_Id="one")).body == b"one"
            client.writer.write(client.encode_request(NON_IDEMPOTENT_CLASS, Request_Id="two"))
            await until(lambda: gateway.driver.upstream.pools[FIRST_ENDPOINT_ID].waiting_attempts)
        await until(lambda: policy.events_of_type(ClientDisconnected))
        assert policy.outcomes() == [Outcome.OK, Outcome.NOT_STARTED]
        async with HttpClient(gateway.listener) as client:
            assert (await client.send_request(Request_Id="three")).body == b"three"
        assert [message.headers["request-id"] for message in endpoint.requests] == ["one", "three"]
