"""Starts attempts on endpoints and probes of them, with a pool of connections to each endpoint."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING, Any

from gateway.policy.events import Outcome
from gateway.upstream.attempt import Attempt, AttemptResult
from gateway.upstream.connection_pool import EndpointPool
from gateway.upstream.load_report import LoadReportParser

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from gateway.address import Address

ENDPOINT_CONNECTIONS_FRACTION = 0.5  # of all connections, that one endpoint may have
IDLE_TIMEOUT_FRACTION = 0.5  # of the endpoints' idle timeout, after which this side closes a connection
IDLE_SWEEP_SECONDS = 1.0  # between checks for such connections
PROBE = b"GET %s HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
LOAD_REPORT_TARGET = b"/-/load"  # of a probe whose response is a load report
HEALTH_TARGET = b"/-/healthy"  # of a probe where there are no load reports


class UpstreamClient:
    """The connections to all endpoints that discovery has named.

    Attributes:
        connect_timeout: Seconds that opening a connection, or a probe, may take.
        max_connections: Connections to all endpoints together.
        idle_timeout: Seconds after which an idle connection is closed.
        load_report_parser: Parses the load reports of all endpoints.
        probe_payload: The request of a probe.
        pools: The pool of each endpoint by its id.
        endpoint_by_address: The id of the endpoint that listens at an address.
        connection_count: Number of connections, including those that are being opened.
    """

    def __init__(
        self,
        connect_timeout: float,
        endpoint_idle_timeout: float,
        report_columns: tuple[str, ...],
        max_connections: int,
    ) -> None:
        self.connect_timeout = connect_timeout
        self.max_connections = max_connections
        self.idle_timeout = IDLE_TIMEOUT_FRACTION * endpoint_idle_timeout
        self.load_report_parser = LoadReportParser(report_columns)
        self.probe_payload = PROBE % (LOAD_REPORT_TARGET if report_columns else HEALTH_TARGET)
        self.loop = asyncio.get_running_loop()
        self.pools: dict[int, EndpointPool] = {}
        self.endpoint_by_address: dict[Address, int] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.connection_count = 0
        self.idle_check_timer = self.loop.call_later(IDLE_SWEEP_SECONDS, self.close_expired_connections)

    def set_endpoint(self, endpoint_id: int, address: Address, started_at: float) -> None:
        """Set where an endpoint listens and when it was started.

        The idle connections to an endpoint that has moved or was restarted are stale: a machine that vanished
        never closed them.  Attempts on its other connections run on.
        """
        pool = self.pools.get(endpoint_id)
        is_known = pool is not None and (pool.address, pool.started_at) == (address, started_at)
        if is_known:
            return
        self.remove_endpoint(endpoint_id)
        # Another endpoint that listened at this address is gone; its attempts must not reach the new one.
        previous_id = self.endpoint_by_address.get(address, endpoint_id)
        self.remove_endpoint(previous_id)
        self.pools[endpoint_id] = EndpointPool(self, endpoint_id, address, started_at)
        self.endpoint_by_address[address] = endpoint_id

    def remove_endpoint(self, endpoint_id: int) -> None:
        """Forget an endpoint; the attempts that were written to it run on."""
        pool = self.pools.pop(endpoint_id, None)
        if pool is not None:
            del self.endpoint_by_address[pool.address]
            pool.remove()

    def cancel_waiting_attempts(self, endpoint_id: int) -> None:
        """Fail the attempts on an endpoint that are not written yet."""
        pool = self.pools.get(endpoint_id)
        if pool is not None:
            pool.cancel_waiting_attempts()

    def start_attempt(
        self, endpoint_id: int, payload: bytes, timeout: float, on_finished: Callable[[AttemptResult], None]
    ) -> Attempt:
        """Send a request to an endpoint; the callback gets the result, never before this method returns.

        `payload` is the whole request, and `timeout` is in seconds.
        """
        attempt = Attempt(payload, on_finished)
        pool = self.pools.get(endpoint_id)
        if pool is None:
            self.loop.call_soon(attempt.fail, Outcome.CONNECT_FAILED)
        else:
            attempt.start_timeout(self.loop, timeout)
            pool.start(attempt)
        return attempt

    def probe(self, endpoint_id: int, on_finished: Callable[[AttemptResult], None]) -> None:
        """Check an endpoint's health; if load reports are in use the body of the response is one."""

        def read_load_report(result: AttemptResult) -> None:
            if result.outcome is Outcome.OK and not result.load_report:
                load_report = self.load_report_parser.parse(result.body)
                result = dataclasses.replace(result, load_report=load_report)
            on_finished(result)

        self.start_attempt(endpoint_id, self.probe_payload, self.connect_timeout, read_load_report)

    def close_idle_connections(self, endpoint_id: int) -> None:
        """Close the idle connections to an endpoint."""
        pool = self.pools.get(endpoint_id)
        if pool is not None:
            pool.close_idle_connections()

    def reserve_connection(self, open_in_pool: int) -> bool:
        """Count one more connection if the limits of its pool and of all pools allow it.

        At the limit of all pools the connection that has been idle longest, in any pool, is closed for it.
        Return whether the connection may be opened.
        """
        if open_in_pool >= self.max_connections * ENDPOINT_CONNECTIONS_FRACTION:
            return False
        if not self.free_connection():
            return False
        self.connection_count += 1
        return True

    def release_connection(self) -> None:
        """Count one connection fewer, as it has ended or could not be opened."""
        self.connection_count -= 1

    def free_connection(self) -> bool:
        """Return whether a connection may be opened, after closing an idle one if that is needed."""
        if self.connection_count < self.max_connections:
            return True
        pools_with_idle = [pool for pool in self.pools.values() if pool.idle_connections]
        if not pools_with_idle:
            return False
        pool_with_oldest = min(pools_with_idle, key=lambda pool: pool.idle_connections[0].idle_since)
        pool_with_oldest.close_oldest_idle()
        return True

    def close_expired_connections(self) -> None:
        """Close idle connections well before the endpoint does: a request that crosses its close is lost."""
        time_limit = time.monotonic() - self.idle_timeout
        for pool in self.pools.values():
            pool.close_idle_before(time_limit)
        self.idle_check_timer = self.loop.call_later(IDLE_SWEEP_SECONDS, self.close_expired_connections)

    def run_in_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine that is cancelled when the client is closed."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def close(self) -> None:
        """Close all connections, and stop opening further ones."""
        self.idle_check_timer.cancel()
        for task in self.tasks:
            task.cancel()
        for pool in self.pools.values():
            pool.close()
