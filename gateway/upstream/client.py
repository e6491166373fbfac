"""Client for all endpoints: starts attempts and probes, and manages a connection pool for each endpoint."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING, Any

from gateway.policy.events import Outcome
from gateway.read_scheduler import ReadScheduler
from gateway.upstream.attempt import Attempt, AttemptResult
from gateway.upstream.connection_pool import EndpointPool
from gateway.upstream.load_report import LoadReportParser

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from gateway.address import Address

MAX_POOL_FRACTION = 0.5  # maximum fraction of `max_connections` that the pool of one endpoint may use
IDLE_TIMEOUT_FRACTION = 0.5  # the gateway's idle timeout as a fraction of that of the endpoints
IDLE_CHECK_SECONDS = 1.0  # interval between checks for connections that have been idle too long
PROBE_REQUEST_FORMAT = b"GET %s HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
LOAD_REPORT_TARGET = b"/-/load"  # request target of probes if the settings have load report columns
HEALTH_TARGET = b"/-/healthy"  # request target of probes otherwise


class UpstreamClient:
    """The connections to all endpoints of the endpoint list.

    Attributes:
        connect_timeout: Timeout in seconds for opening a connection, and for a probe.
        max_connections: Maximum number of connections to all endpoints together.
        idle_timeout: Seconds after which an idle connection is closed.
        load_report_parser: Parses the load reports of all endpoints.
        read_scheduler: Bounds the time for which the responses of all endpoints are parsed.
        probe_request: The bytes of the HTTP request that a probe sends.
        pools: The connection pools by endpoint id.
        endpoint_id_by_address: The id of the endpoint that listens on each address.
        connection_count: Number of connections to all endpoints, including those that are being opened.
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
        self.probe_request = PROBE_REQUEST_FORMAT % (LOAD_REPORT_TARGET if report_columns else HEALTH_TARGET)
        self.loop = asyncio.get_running_loop()
        self.read_scheduler = ReadScheduler(self.loop)
        self.pools: dict[int, EndpointPool] = {}
        self.endpoint_id_by_address: dict[Address, int] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.connection_count = 0
        self.idle_check_timer = self.loop.call_later(IDLE_CHECK_SECONDS, self.close_expired_connections)

    def set_endpoint(self, endpoint_id: int, address: Address, started_at: float) -> None:
        """Set the address and the start time of an endpoint.

        If either has changed, the pool is replaced: its idle connections may be stale, because a machine that
        failed did not close them.  Attempts in progress on its other connections continue.  An endpoint at
        whose address another one has started since gets no pool.
        """
        pool = self.pools.get(endpoint_id)
        is_unchanged = pool is not None and (pool.address, pool.started_at) == (address, started_at)
        if is_unchanged:
            return
        self.remove_endpoint(endpoint_id)
        if self._has_later_endpoint(address, started_at):
            return
        # An endpoint that used this address before is gone; its attempts must not reach the new endpoint.
        previous_id = self.endpoint_id_by_address.get(address, endpoint_id)
        self.remove_endpoint(previous_id)
        self.pools[endpoint_id] = EndpointPool(self, endpoint_id, address, started_at)
        self.endpoint_id_by_address[address] = endpoint_id

    def _has_later_endpoint(self, address: Address, started_at: float) -> bool:
        """Return whether an endpoint that started later has an address.

        The list may tell of the end of an endpoint only after the start of the next one at its address.
        """
        later_id = self.endpoint_id_by_address.get(address)
        return later_id is not None and self.pools[later_id].started_at > started_at

    def remove_endpoint(self, endpoint_id: int) -> None:
        """Remove an endpoint and its pool; attempts whose request was already written continue."""
        pool = self.pools.pop(endpoint_id, None)
        if pool is not None:
            del self.endpoint_id_by_address[pool.address]
            pool.remove()

    def cancel_waiting_attempts(self, endpoint_id: int) -> None:
        """Fail the attempts that wait for a connection to an endpoint."""
        pool = self.pools.get(endpoint_id)
        if pool is not None:
            pool.cancel_waiting_attempts()

    def start_attempt(
        self, endpoint_id: int, request: bytes, timeout: float, on_finished: Callable[[AttemptResult], None]
    ) -> Attempt:
        """Start an attempt to send a request to an endpoint.

        Args:
            endpoint_id: The endpoint.
            request: The bytes of the HTTP request, including its body.
            timeout: The timeout of the attempt in seconds.
            on_finished: Receives the result; it is never called before this method returns.
        """
        attempt = Attempt(request, on_finished)
        pool = self.pools.get(endpoint_id)
        if pool is None:
            self.loop.call_soon(attempt.fail, Outcome.CONNECT_FAILED)
        else:
            attempt.start_timeout(self.loop, timeout)
            pool.send(attempt)
        return attempt

    def probe(self, endpoint_id: int, on_finished: Callable[[AttemptResult], None]) -> None:
        """Send a health check to an endpoint; if load reports are in use, the response body contains one."""

        def handle_result(result: AttemptResult) -> None:
            if result.outcome is Outcome.OK and not result.load_report:
                load_report = self.load_report_parser.parse(result.body)
                result = dataclasses.replace(result, load_report=load_report)
            on_finished(result)

        self.start_attempt(endpoint_id, self.probe_request, self.connect_timeout, handle_result)

    def close_idle_connections(self, endpoint_id: int) -> None:
        """Close the idle connections to an endpoint."""
        pool = self.pools.get(endpoint_id)
        if pool is not None:
            pool.close_idle_connections()

    def reserve_connection(self, connections_in_pool: int) -> bool:
        """Count a new connection if the limits for its pool and for all pools allow it.

        At the limit for all pools, the connection that has been idle longest in any pool is closed first.
        Return whether the new connection may be opened.
        """
        if connections_in_pool >= self.max_connections * MAX_POOL_FRACTION:
            return False
        if not self.ensure_capacity():
            return False
        self.connection_count += 1
        return True

    def release_connection(self) -> None:
        """Subtract a connection that was closed or could not be opened from the count."""
        self.connection_count -= 1

    def ensure_capacity(self) -> bool:
        """Close an idle connection if the limit is reached; return whether a connection may be opened."""
        if self.connection_count < self.max_connections:
            return True
        pools_with_idle = [pool for pool in self.pools.values() if pool.idle_connections]
        if not pools_with_idle:
            return False
        pool_with_longest_idle = min(pools_with_idle, key=lambda pool: pool.idle_connections[0].idle_since)
        pool_with_longest_idle.close_longest_idle()
        return True

    def close_expired_connections(self) -> None:
        """Close connections that have been idle too long, and schedule the next check.

        The gateway closes them well before the endpoint does, because a request that is sent while the
        endpoint closes the connection is lost.
        """
        cutoff = time.monotonic() - self.idle_timeout
        for pool in self.pools.values():
            pool.close_idle_before(cutoff)
        self.idle_check_timer = self.loop.call_later(IDLE_CHECK_SECONDS, self.close_expired_connections)

    def run_in_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task, which is cancelled when the client is closed."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def close(self) -> None:
        """Close all connections, including those that are being opened, and stop the idle check."""
        self.idle_check_timer.cancel()
        for task in self.tasks:
            task.cancel()
        for pool in self.pools.values():
            pool.close()
