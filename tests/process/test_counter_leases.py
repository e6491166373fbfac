"""Leases from the counter: one quota at several gateways, and the rate of counter calls."""

from __future__ import annotations

import contextlib
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gateway.policy.context import stable_hash
from gateway.policy.quota_factory import WINDOW_SECONDS
from testbed.fake_counter import FakeCounter
from testbed.fake_endpoint import FakeEndpoint
from testbed.fake_server import listening
from tests.support.event_loop import async_test
from tests.support.gateway import running_gateway
from tests.support.http_client import HttpClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from gateway.process import GatewayProcess

QUOTA_BURST_UNITS = 8
QUOTA_UNITS_PER_SECOND = 4
MAX_CLOCK_ERROR_SECONDS = 5
SLOW_MACHINE_TIMEOUT_SECONDS = 1.0  # half of it is a slow reply, which a machine that stalls must not cause


def customer_in_mid_window() -> int:
    """Return a customer whose lease window began 8 to 10 s ago."""
    window_ages = (
        (customer, (time.time() + stable_hash(customer) / 2**64 * WINDOW_SECONDS) % WINDOW_SECONDS)
        for customer in range(1, 1000)
    )
    return next(customer for customer, age in window_ages if 8 < age < 10)


@dataclass(frozen=True)
class TwoGateways:
    """Two gateways that share a counter and an endpoint, and a client of each for the same customer."""

    first_process: GatewayProcess
    first_client: HttpClient
    second_client: HttpClient


@contextlib.asynccontextmanager
async def two_gateways(counter: FakeCounter, customer: int) -> AsyncIterator[TwoGateways]:
    """Run two gateways that share a counter."""
    async with (
        listening(FakeEndpoint().handle) as endpoint,
        listening(counter.handle) as counter_address,
        running_gateway(endpoint, counter=counter_address) as (first_process, _),
        running_gateway(endpoint, counter=counter_address) as (second_process, _),
        HttpClient(first_process.listener, customer) as first_client,
        HttpClient(second_process.listener, customer) as second_client,
    ):
        yield TwoGateways(first_process, first_client, second_client)


@async_test
async def test_quota_is_enforced_at_two_gateways_that_first_see_a_customer_in_mid_window() -> None:
    """Together, the gateways must admit what the counter has left: neither a whole burst each, nor less."""
    async with two_gateways(FakeCounter(), customer_in_mid_window()) as gateways:
        started_at = time.monotonic()
        statuses = []
        for client in (gateways.first_client, gateways.second_client):
            statuses += [(await client.send_request()).status for _ in range(16)]
        # One unit beyond the quota may be leased in advance.
        accrued_units = QUOTA_UNITS_PER_SECOND * (time.monotonic() - started_at)
        assert QUOTA_BURST_UNITS <= statuses.count(200) <= QUOTA_BURST_UNITS + 1 + accrued_units


@async_test
async def test_lost_connections_do_not_lower_the_rate_of_counter_calls() -> None:
    """A call that fails immediately does not indicate that the counter is overloaded."""
    counter = FakeCounter(lambda number, _call: b"?\r\n" if number % 4 == 3 else None)
    timeout = str(SLOW_MACHINE_TIMEOUT_SECONDS)
    async with running_gateway(FakeEndpoint(), counter=counter, extra__counter_timeout_s=timeout) as (
        process,
        _,
    ):
        rate_limiter = process.driver.policy.counter_rate_limiter
        rate_before = rate_limiter.rate
        for customer in range(1, 80):
            async with HttpClient(process.listener, customer) as client:
                assert (await client.send_request()).status == 200
        assert counter.accepted_connections > 6
        assert rate_limiter.failure_ratio.value > 0
        assert rate_limiter.rate >= rate_before


@async_test
async def test_gateways_use_the_same_name_for_a_lease() -> None:
    """Names derive from lease windows in Unix time, so a gateway with another clock would use other names."""
    counter = FakeCounter()
    async with two_gateways(counter, customer_in_mid_window()) as gateways:
        assert (await gateways.first_client.send_request()).status == 200
        assert (await gateways.second_client.send_request()).status == 200
        assert abs(gateways.first_process.driver.now - time.time()) < MAX_CLOCK_ERROR_SECONDS
        names = [name for _, name, *_ in counter.calls]
        assert len(names) >= 3  # one lease for each gateway, and a further call of the first gateway
        assert len(set(names)) == 1
