"""Requests whose id comes again after the request with it has ended, over loopback sockets."""

from __future__ import annotations

import pytest

from testbed.fake_endpoint import FakeEndpoint, respond_done, send_no_response
from tests.support.event_loop import async_test, until
from tests.support.gateway import UNREACHABLE, running_gateway
from tests.support.http_client import IDEMPOTENT_CLASS, KEYED_CLASS, NON_IDEMPOTENT_CLASS, HttpClient
from tests.support.scripted_policy import forward_to_first

REQUEST_ID = "sent-before"
SHORT_TIMEOUT_MS = 100
WRITES = [
    pytest.param(KEYED_CLASS, id="with a key"),
    pytest.param(NON_IDEMPOTENT_CLASS, id="without a key"),
]


# Guards against a request that runs twice, because its id comes again after its client has left.
@pytest.mark.parametrize("class_index", WRITES)
@async_test
async def test_a_write_whose_client_has_left_is_not_executed_again(class_index: int) -> None:
    endpoint = FakeEndpoint(send_no_response)
    async with running_gateway(endpoint, react=forward_to_first) as (gateway, _):
        async with HttpClient(gateway.listener) as first:
            timeout_ms = SHORT_TIMEOUT_MS
            first.writer.write(first.encode_request(class_index, timeout_ms, Request_Id=REQUEST_ID))
            await until(lambda: endpoint.requests)
        await until(lambda: not gateway.driver.open_requests)
        async with HttpClient(gateway.listener) as second:
            assert (await second.send_request(class_index, Request_Id=REQUEST_ID)).status == 409
    assert len(endpoint.requests) == 1


@pytest.mark.parametrize("class_index", WRITES)
@async_test
async def test_a_write_that_was_served_is_not_executed_again(class_index: int) -> None:
    endpoint = FakeEndpoint(respond_done)
    async with (
        running_gateway(endpoint, react=forward_to_first) as (gateway, _),
        HttpClient(gateway.listener) as client,
    ):
        assert (await client.send_request(class_index, Request_Id=REQUEST_ID)).status == 200
        assert (await client.send_request(class_index, Request_Id=REQUEST_ID)).status == 409
    assert len(endpoint.requests) == 1


@async_test
async def test_an_idempotent_request_may_come_again() -> None:
    async with (
        running_gateway(FakeEndpoint(), react=forward_to_first) as (gateway, _),
        HttpClient(gateway.listener) as client,
    ):
        for _ in range(2):
            assert (await client.send_request(IDEMPOTENT_CLASS, Request_Id=REQUEST_ID)).status == 200
        assert not len(gateway.listener.budget.executed_request_ids)


@pytest.mark.parametrize("class_index", WRITES)
@async_test
async def test_a_write_that_surely_never_ran_may_come_again(class_index: int) -> None:
    async with running_gateway(UNREACHABLE) as (gateway, _):
        for _ in range(2):
            async with HttpClient(gateway.listener) as client:
                response = await client.send_request(class_index, SHORT_TIMEOUT_MS, Request_Id=REQUEST_ID)
            assert response.status != 409
            await until(lambda: not gateway.driver.open_requests)
