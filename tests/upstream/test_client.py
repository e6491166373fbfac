"""Tests of the assignment of connections to endpoints, over loopback sockets."""

from __future__ import annotations

from gateway.policy.events import Outcome
from testbed.fake_endpoint import FakeEndpoint
from tests.support.event_loop import async_test, until
from tests.support.gateway import gateway_with_client
from tests.support.scripted_policy import FIRST_ENDPOINT_ID
from tests.support.upstream import echo_request_id

NEW_ENDPOINT_ID = 9


# Guards against sending attempts for a removed endpoint to a new endpoint that listens on the same address:
# the new endpoint is warming up and does not have the removed endpoint's responses for idempotency keys.
@async_test
async def test_attempts_for_a_removed_endpoint_do_not_reach_a_new_endpoint_at_its_address() -> None:
    endpoint = FakeEndpoint(echo_request_id)
    async with gateway_with_client(endpoint) as gateway:
        assert (await gateway.client.send_request()).status == 200
        upstream = gateway.process.driver.upstream
        upstream.set_endpoint(NEW_ENDPOINT_ID, upstream.pools[FIRST_ENDPOINT_ID].address, 0.0)
        await until(lambda: not endpoint.open_connections)
        # The policy still selects the removed endpoint.
        assert (await gateway.client.send_request()).status == 502
        assert gateway.policy.outcomes() == [Outcome.OK, Outcome.CONNECT_FAILED]
        assert len(endpoint.requests) == 1
        assert list(upstream.pools) == [NEW_ENDPOINT_ID]
