"""The graceful shutdown of a gateway process."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gateway.driver.policy_driver import PolicyDriver
    from gateway.frontend.listener import Listener
    from gateway.policy.settings import Settings

# SIGKILL follows SIGTERM after the longest deadline, 3 s at most, plus 0.7 s: the drain and the flush have to
# fit into that.
SHUTDOWN_ACCEPT_SECONDS = 0.6  # time after SIGTERM in which new connections are still accepted
MAX_REQUEST_DEADLINE_SECONDS = 3.0  # longest deadline that SIGKILL allows for
DRAIN_MARGIN_SECONDS = 0.4  # time beyond the longest deadline that open requests may take
FLUSH_SECONDS = 0.2  # time in which the last responses are sent and read
SHUTDOWN_POLL_SECONDS = 0.01  # interval of the checks whether a step of the shutdown is complete


class GracefulShutdown:
    """Completes the open requests of a process and sends their responses, within a limited time."""

    def __init__(self, driver: PolicyDriver, listener: Listener, drain_timeout: float) -> None:
        """Prepare a shutdown.

        Args:
            driver: Has the open requests.
            listener: Has the connections of clients.
            drain_timeout: Seconds from the start of the shutdown that open requests may take.
        """
        self._open_requests = driver.open_requests
        self._listener = listener
        self._connections = listener.connection_table
        self._drain_timeout = drain_timeout

    async def run(self) -> None:
        """Accept connections for a moment, complete the open requests, and flush their responses."""
        started_at = time.monotonic()
        await asyncio.sleep(SHUTDOWN_ACCEPT_SECONDS)
        self._listener.stop_listening()
        drain_deadline = started_at + self._drain_timeout
        await self._complete_requests(drain_deadline)
        self._open_requests.close_all()
        self._connections.reject_incomplete_requests()
        await self._flush_responses(drain_deadline + FLUSH_SECONDS)

    async def _complete_requests(self, deadline: float) -> None:
        """Wait until no request is open or received in part, or for a monotonic deadline in seconds."""
        while self._open_requests.unanswered_count or self._connections.has_incoming_requests():
            if time.monotonic() >= deadline:
                return
            await asyncio.sleep(SHUTDOWN_POLL_SECONDS)

    async def _flush_responses(self, deadline: float) -> None:
        """Wait until the last responses are sent and read, or for a monotonic deadline in seconds.

        A client that keeps its connection open after its last response is waited for only for
        ``FLUSH_SECONDS``.
        """
        grace_ends_at = time.monotonic() + FLUSH_SECONDS
        while self._connections.connections and (now := time.monotonic()) < deadline:
            if now > grace_ends_at and not self._connections.has_unsent_responses():
                return
            await asyncio.sleep(SHUTDOWN_POLL_SECONDS)


def drain_timeout(settings: Settings) -> float:
    """Return the seconds from the start of a shutdown that open requests may take."""
    deadlines = (request_class.deadline for request_class in settings.classes)
    longest_deadline = max(deadlines, default=MAX_REQUEST_DEADLINE_SECONDS)
    return min(MAX_REQUEST_DEADLINE_SECONDS, longest_deadline) + DRAIN_MARGIN_SECONDS
