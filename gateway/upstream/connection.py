"""A connection to an endpoint, which sends one request at a time and reads its response."""

from __future__ import annotations

import logging
import select
import time
from typing import TYPE_CHECKING, Protocol, cast

from gateway.connector import OutgoingProtocol
from gateway.policy.events import Outcome
from gateway.read_scheduler import BULK_READ_BYTES
from gateway.scheduled_protocol import ScheduledProtocol
from gateway.upstream.attempt import Attempt, AttemptResult
from gateway.upstream.errors import MalformedResponseError
from gateway.upstream.response_parser import ResponseParser

if TYPE_CHECKING:
    import asyncio

    from gateway.read_scheduler import ReadScheduler
    from gateway.upstream.load_report import LoadReportParser

log = logging.getLogger(__name__)


class ConnectionOwner(Protocol):
    """The interface of a connection pool that its connections use."""

    endpoint_id: int
    load_report_parser: LoadReportParser
    read_scheduler: ReadScheduler

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop that runs the callbacks of attempts."""

    def return_connection(self, connection: UpstreamConnection) -> None:
        """Return a reusable connection to the pool."""

    def remove_connection(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection from the pool."""


class UpstreamConnection(ScheduledProtocol, OutgoingProtocol):
    """A connection to an endpoint; it serves one attempt at a time.

    The event loop calls the methods of `asyncio.BufferedProtocol`; the pool and the attempt call the others.

    Attributes:
        pool: The pool that the connection belongs to.
        transport: The transport of the connection; None until the connection is open and after it is lost.
        attempt: The attempt in progress; None while the connection is idle.
        idle_since: The `time.monotonic` value at which the connection became idle.
        has_unsent_bytes: Whether the transport still buffers bytes of the request.
        parser: Parses the responses.
        poller: Polls the socket for bytes that the event loop has not read yet.
    """

    __slots__ = ("attempt", "has_unsent_bytes", "idle_since", "parser", "poller", "pool", "transport")

    def __init__(self, pool: ConnectionOwner) -> None:
        super().__init__(pool.read_scheduler)
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.has_unsent_bytes = False
        self.parser = ResponseParser()
        self.poller = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enable notifications of unsent bytes and register the socket with the poller."""
        super().connection_made(transport)
        # A cast, not an `isinstance` check, because uvloop's transports do not inherit from this class.
        transport = cast("asyncio.Transport", transport)
        transport.set_write_buffer_limits(high=0)  # call `pause_writing` as soon as a byte is buffered
        self.transport = transport
        self.poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    @property
    def has_transport(self) -> bool:
        """Whether `connection_made` was called, and `connection_lost` was not called since."""
        return self.transport is not None

    @property
    def is_open(self) -> bool:
        """Whether the connection is open and not closing."""
        return self.transport is not None and not self.transport.is_closing()

    def is_usable(self) -> bool:
        """Return whether an idle connection can be used for another attempt.

        A socket that is readable before the request is written has received a duplicate of the last response,
        garbage or the end of the stream, but no response to that request.
        """
        return self.is_open and not self.poller.poll(0)

    def mark_idle(self) -> None:
        """Record the time at which the connection became idle."""
        self.idle_since = time.monotonic()

    def send(self, attempt: Attempt) -> None:
        """Write the request of an attempt; the attempt finishes when its response is complete."""
        assert self.transport is not None
        self.attempt = attempt
        self.transport.write(attempt.assign_connection(self))

    def pause_writing(self) -> None:
        """Record that part of the request is still buffered."""
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        """Record that all buffered bytes have been sent."""
        self.has_unsent_bytes = False

    def bulk_bytes(self) -> int:
        """Return how many of the next bytes cost a fixed number of calls to parse."""
        return BULK_READ_BYTES if self.attempt is None else self.parser.plain_body_bytes

    def update_reading(self) -> None:
        """Pause reading while received bytes are not parsed yet, and resume it otherwise."""
        if not self.is_open:
            return
        assert self.transport is not None
        if self.has_deferred_bytes:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def parse(self, data: memoryview | bytes) -> None:
        """Parse received bytes, and finish the attempt if the response is complete."""
        if self.attempt is None:
            self.abort()  # data without a request in progress: response boundaries are no longer known
            return
        try:
            self.parser.feed(data)
        except MalformedResponseError as error:
            log.warning("endpoint %s: malformed response: %s", self.pool.endpoint_id, error)
            # The endpoint may have executed the request.  The outcome is ERROR and not RESET, because the
            # endpoint is up and the policy should keep using it.
            self.attempt.mark_abandoned(Outcome.ERROR)
            self.abort()  # the attempt finishes in `connection_lost`
            return
        if self.parser.is_complete and self.is_open:
            # Called only when all received bytes are parsed, because it may start the next attempt on this
            # connection, and bytes after this response must not be parsed as the response to that attempt.
            self.finish_attempt()

    def eof_received(self) -> None:
        """Complete a close-delimited response; the event loop does not call this method on a reset."""
        if self.attempt is None or self.attempt.abandon_outcome is not None:
            return
        self.parser.feed_eof()
        if self.parser.is_complete and self.is_open:
            self.finish_attempt()

    def finish_attempt(self) -> None:
        """Return the connection to its pool or close it, then finish the attempt with the response."""
        attempt = self.attempt
        assert attempt is not None
        parser = self.parser
        result = AttemptResult(
            parser.outcome,
            attempt.elapsed,
            self.pool.load_report_parser.parse(parser.load_report),
            bytes(parser.body),
            parser.content_type,
        )
        is_reusable = parser.is_reusable
        self.attempt = None
        parser.reset()
        if is_reusable and not self.has_unsent_bytes:
            self.pool.return_connection(self)
        else:
            self.abort()
        attempt.finish(result)

    def abort(self) -> None:
        """Close the connection immediately and discard unsent bytes."""
        self.discard_deferred()
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, _error: Exception | None) -> None:
        """Leave the pool, and finish the attempt in progress, if any."""
        self.transport = None
        self.discard_deferred()
        self.parser.close()
        self.pool.remove_connection(self)
        attempt = self.attempt
        if attempt is not None:
            self.attempt = None
            # The event loop closes the descriptor after this method returns; a retry must start later.
            self.pool.loop.call_soon(attempt.fail, attempt.outcome_of_lost_connection())
