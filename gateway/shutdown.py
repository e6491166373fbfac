"""Graceful shutdown of a gateway process."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gateway.driver.policy_driver import PolicyDriver
    from gateway.frontend.listener import Listener
    from gateway.policy.settings import Settings

# SIGKILL follows SIGTERM after the longest request deadline, 3 s at most, plus 0.7 s.  Draining and flushing
# must complete before that.
SHUTDOWN_ACCEPT_SECONDS = 0.6  # after SIGTERM, while new connections are still accepted
MAX_REQUEST_DEADLINE_SECONDS = 3.0  # longest deadline that the delay of SIGKILL accounts for
DRAIN_MARGIN_SECONDS = 0.4  # beyond the longest deadline, for open requests to complete
FLUSH_SECONDS = 0.2  # for the last responses to be sent and read
SHUTDOWN_POLL_SECONDS = 0.01  # between checks whether a step of the shutdown is complete


class GracefulShutdown:
    """Completes the open requests of a process and sends their responses within a time limit."""

    def __init__(self, driver: PolicyDriver, listener: Listener, drain_timeout: float) -> None:
        """Prepare a shutdown.

        Args:
            driver: Provides the open requests.
            listener: Provides the client connections.
            drain_timeout: Seconds after the start of the shutdown within which open requests must complete.
        """
        self._open_requests = driver.open_requests
        self._listener = listener
        self._connections = listener.connection_table
        self._drain_timeout = drain_timeout

    async def run(self) -> None:
        """Accept connections for a short time, complete the open requests, and flush their responses."""
        started_at = time.monotonic()
        await asyncio.sleep(SHUTDOWN_ACCEPT_SECONDS)
        self._listener.stop_listening()
        drain_deadline = started_at + self._drain_timeout
        await self._complete_requests(drain_deadline)
        self._open_requests.close_all()
        self._connections.reject_incomplete_requests()
        await self._flush_responses(drain_deadline + FLUSH_SECONDS)

    async def _complete_requests(self, deadline: float) -> None:
        """Wait until no request is open or partly received, or until a deadline in monotonic seconds."""
        while self._open_requests.unanswered_count or self._connections.has_incoming_requests():
            if time.monotonic() >= deadline:
                return
            await asyncio.sleep(SHUTDOWN_POLL_SECONDS)

    async def _flush_responses(self, deadline: float) -> None:
        """Wait until the last responses are sent and read, or until a deadline in monotonic seconds.

        Clients that keep their connections open after the last response delay the shutdown by at most
        ``FLUSH_SECONDS``.
        """
        grace_ends_at = time.monotonic() + FLUSH_SECONDS
        while self._connections.connections and (now := time.monotonic()) < deadline:
            if now > grace_ends_at and not self._connections.has_unsent_responses():
                return
            await asyncio.sleep(SHUTDOWN_POLL_SECONDS)


def drain_timeout(settings: Settings) -> float:
    """Return the seconds after the start of a shutdown within which open requests must complete."""
    deadlines = (request_class.deadline for request_class in settings.classes)
    longest_deadline = max(deadlines, default=MAX_REQUEST_DEADLINE_SECONDS)
    return min(MAX_REQUEST_DEADLINE_SECONDS, longest_deadline) + DRAIN_MARGIN_SECONDS
