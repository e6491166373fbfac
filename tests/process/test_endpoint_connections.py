"""Connections to endpoints: reuse, idle timeout, restarts, the limit, load reports and probes."""

from __future__ import annotations

import time
from typing import Any

from gateway.policy.actions import Action, Probe, Reject, StartAttempt
from gateway.policy.events import (
    AttemptFinished,
    EndpointRecord,
    EndpointState,
    EndpointUpdate,
    Outcome,
    ProbeFinished,
    Request,
    UpdateKind,
)
from testbed.fake_endpoint import FakeEndpoint, send_no_response
from testbed.http_messages import http_response
from tests.support.event_loop import async_test, until
from tests.support.gateway import gateway_with_client
from tests.support.http_client import HttpClient
from tests.support.scripted_policy import FIRST_ENDPOINT_ID, forward_to_first

OVER_HALF_IDLE_TIMEOUT_SECONDS = 16.0  # the endpoints' idle timeout is 30 s


@async_test
async def test_connections_are_reused_unless_the_response_says_connection_close() -> None:
    responses = [http_response(), http_response(Connection="close"), http_response()]
    endpoint = FakeEndpoint(lambda _: responses[len(endpoint.requests) - 1])
    async with gateway_with_client(endpoint) as gateway:
        for opened in (1, 1, 2):
            assert (await gateway.client.send_request()).status == 200
            assert endpoint.accepted_connections == opened


@async_test
async def test_idle_connections_are_closed_before_the_endpoint_closes_them() -> None:
    endpoint = FakeEndpoint()
    async with gateway_with_client(endpoint) as gateway:
        assert (await gateway.client.send_request()).status == 200
        assert endpoint.open_connections == 1
        upstream = gateway.process.driver.upstream
        pool = upstream.pools[FIRST_ENDPOINT_ID]
        pool.idle_connections[0].idle_since -= OVER_HALF_IDLE_TIMEOUT_SECONDS
        upstream.idle_check_timer.cancel()
        upstream.close_expired_connections()
        await until(lambda: endpoint.open_connections == 0)
        assert not pool.connections
        assert upstream.connection_count == 0


@async_test
async def test_restarted_endpoint_gets_new_connections() -> None:
    endpoint = FakeEndpoint()
    async with gateway_with_client(endpoint) as gateway:
        assert (await gateway.client.send_request()).status == 200
        driver = gateway.process.driver
        address = driver.upstream.pools[FIRST_ENDPOINT_ID].address
        restarted = EndpointRecord(FIRST_ENDPOINT_ID, 0, time.time(), EndpointState.READY, 0, 0, 1.0)
        driver.apply_endpoint_update(
            EndpointUpdate(UpdateKind.DELTA, 42, (restarted,)), {FIRST_ENDPOINT_ID: address}
        )
        await until(lambda: endpoint.open_connections == 0)
        assert (await gateway.client.send_request()).status == 200
        assert endpoint.accepted_connections == 2


@async_test
async def test_idle_connection_is_closed_for_a_new_one_at_the_connection_limit() -> None:
    def react(event: Any) -> list[Action]:
        if isinstance(event, Request):
            return [StartAttempt(event.request_id, event.class_index + 1, 0.0)]
        return forward_to_first(event)

    responsive = FakeEndpoint()
    silent = FakeEndpoint(send_no_response)
    async with (
        gateway_with_client(responsive, silent, silent, react=react) as gateway,
        HttpClient(gateway.process.listener) as other,
    ):
        gateway.process.driver.upstream.max_connections = 1
        assert (await gateway.client.send_request(0)).status == 200
        # The idle connection to the first endpoint is closed to open one to the second.
        gateway.client.writer.write(gateway.client.encode_request(1))
        await until(lambda: silent.requests)
        await until(lambda: responsive.open_connections == 0)
        # No further connection may be opened, so the attempt never ran.
        assert (await other.send_request(2)).status == 502
        assert gateway.policy.outcomes() == [Outcome.OK, Outcome.OVERLOADED]


@async_test
async def test_load_report_has_the_columns_of_the_settings_in_order() -> None:
    headers = ["TEXT queue=2, latency_ms=180.5, util=0.61", "TEXT queue=2", "TEXT queue=x, util=1", ""]
    endpoint = FakeEndpoint(lambda _: http_response(Server_Load=headers[len(endpoint.requests) - 1]))
    async with gateway_with_client(endpoint) as gateway:
        for _ in headers:
            assert (await gateway.client.send_request()).status == 200
        reports = [event.load_report for event in gateway.policy.events_of_type(AttemptFinished)]
        assert reports == [(180.5, 0.61, 2.0), (), (), ()]


@async_test
async def test_probe_returns_the_load_report() -> None:
    def react(event: Any) -> list[Action]:
        return [Probe(FIRST_ENDPOINT_ID), Reject(event.request_id, 0.0)] if isinstance(event, Request) else []

    endpoint = FakeEndpoint(lambda _: http_response(body=b"TEXT latency_ms=9, util=0.5, queue=1"))
    async with gateway_with_client(endpoint, react=react) as gateway:
        assert (await gateway.client.send_request()).status == 503
        await until(lambda: gateway.policy.events_of_type(ProbeFinished))
        (finished,) = gateway.policy.events_of_type(ProbeFinished)
        assert finished.endpoint_id == FIRST_ENDPOINT_ID
        assert finished.outcome == Outcome.OK
        assert finished.load_report == (9.0, 0.5, 1.0)
        assert endpoint.requests[0].start_line == "GET /-/load HTTP/1.1"
