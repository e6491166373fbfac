"""Leases over the shared counter: one quota for several gateways, and the rate of counter calls."""

from __future__ import annotations

import time

from gateway.policy.context import stable_hash
from gateway.policy.quota_factory import WINDOW_SECONDS
from tests.support.harness import async_test
from tests.support.sockets import FakeCounter, FakeEndpoint, HttpClient, listening, running_gateway


def customer_in_mid_window() -> int:
    """A customer whose lease window began 8 to 10 s ago."""
    window_ages = (
        (customer, (time.time() + stable_hash(customer) / 2**64 * WINDOW_SECONDS) % WINDOW_SECONDS)
        for customer in range(1, 1000)
    )
    return next(customer for customer, age in window_ages if 8 < age < 10)


@async_test
async def test_quota_holds_over_two_gateways_that_meet_a_customer_in_mid_window() -> None:
    """Neither gateway may take the customer's credit for full, nor for emptier than it is."""
    customer = customer_in_mid_window()
    async with (
        listening(FakeEndpoint().handle) as address,
        listening(FakeCounter().handle) as counter,
        running_gateway(address, counter=counter) as (first_process, _),
        running_gateway(address, counter=counter) as (second_process, _),
        HttpClient(first_process.listener, customer) as first_client,
        HttpClient(second_process.listener, customer) as second_client,
    ):
        started_at = time.monotonic()
        served = 0
        for client in (first_client, second_client):
            for _ in range(16):
                served += (await client.ask()).status == 200
        # The quota's burst is 8 and its rate 4 a second; one unit more may be leased for what comes next.
        assert 8 <= served <= 9 + 4 * (time.monotonic() - started_at)


@async_test
async def test_counter_calls_keep_their_rate_while_connections_break() -> None:
    """A call that fails at once says nothing about the counter's load, so the rate limit must not fall."""
    counter = FakeCounter(lambda number, _call: b"?\r\n" if number % 4 == 3 else None)
    async with (
        listening(counter.handle) as counter_address,
        listening(FakeEndpoint().handle) as address,
        running_gateway(address, counter=counter_address) as (process, _),
    ):
        rate_limiter = process.driver.policy.counter_rate_limiter
        rate_before = rate_limiter.rate
        for customer in range(1, 80):
            async with HttpClient(process.listener, customer) as client:
                assert (await client.ask()).status == 200
        assert counter.opened > 6
        assert rate_limiter.failure_ratio.value > 0
        assert rate_limiter.rate >= rate_before


@async_test
async def test_gateways_name_a_lease_alike() -> None:
    """Lease windows follow from Unix time: a gateway with a clock of its own would use other names."""
    customer = customer_in_mid_window()
    counter = FakeCounter()
    async with (
        listening(counter.handle) as counter_address,
        listening(FakeEndpoint().handle) as address,
        running_gateway(address, counter=counter_address) as (first_process, _),
        running_gateway(address, counter=counter_address) as (second_process, _),
        HttpClient(first_process.listener, customer) as first_client,
        HttpClient(second_process.listener, customer) as second_client,
    ):
        assert (await first_client.ask()).status == 200
        assert (await second_client.ask()).status == 200
        assert abs(first_process.driver.now - time.time()) < 5
        names = [name for _, name, *_ in counter.calls]
        assert len(names) >= 3  # a lease each, and the first gateway adds to its own
        assert len(set(names)) == 1
