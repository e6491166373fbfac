"""How the endpoints that discovery names are told apart, over loopback sockets."""

from __future__ import annotations

from gateway.policy.events import Outcome
from tests.support.event_loop import async_test, until
from tests.support.fake_endpoint import FakeEndpoint
from tests.support.gateway import gateway_with_client
from tests.support.scripted_policy import FIRST
from tests.support.upstream import echo_request_id

NEW_ENDPOINT_ID = 9


# Guards against sending attempts on an old endpoint to a new one that listens at its address: the new one is
# warming up, and the responses that it keeps for idempotency keys are its own.
@async_test
async def test_a_new_endpoint_at_an_old_address_does_not_get_the_old_ones_attempts() -> None:
    endpoint = FakeEndpoint(echo_request_id)
    async with gateway_with_client(endpoint) as gateway:
        assert (await gateway.client.ask()).status == 200
        upstream = gateway.process.driver.upstream
        upstream.set_endpoint(NEW_ENDPOINT_ID, upstream.pools[FIRST].address, 0.0)
        await until(lambda: not endpoint.open_connections)
        assert (await gateway.client.ask()).status == 502  # still meant for the old one
        assert gateway.policy.outcomes() == [Outcome.OK, Outcome.CONNECT_FAILED]
        assert len(endpoint.requests) == 1
        assert list(upstream.pools) == [NEW_ENDPOINT_ID]
