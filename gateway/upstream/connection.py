"""One connection to an endpoint, which carries one attempt at a time."""

from __future__ import annotations

import asyncio
import logging
import select
import time
from typing import TYPE_CHECKING, Protocol, cast

from gateway.policy.events import Outcome
from gateway.upstream.attempt import Attempt, AttemptResult
from gateway.upstream.errors import MalformedResponseError
from gateway.upstream.response_parser import ResponseParser

if TYPE_CHECKING:
    from gateway.upstream.load_report import LoadReportParser

log = logging.getLogger(__name__)


class ConnectionOwner(Protocol):
    """What a connection needs of the pool that it belongs to."""

    endpoint_id: int
    load_report_parser: LoadReportParser

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The loop on which the callbacks of attempts run."""

    def put_back(self, connection: UpstreamConnection) -> None:
        """Take back a connection that can carry another attempt."""

    def discard(self, connection: UpstreamConnection) -> None:
        """Forget a connection that has ended."""


class UpstreamConnection(asyncio.Protocol):
    """One connection to an endpoint; it carries one attempt at a time.

    The event loop calls the methods of `asyncio.Protocol`; the pool calls the others.

    Attributes:
        pool: The pool that the connection belongs to.
        transport: None until the connection is open.
        attempt: The attempt that is carried; None while the connection is idle.
        idle_since: When the pool took the connection back, in monotonic seconds.
        has_unsent_bytes: Whether part of the request is still in this process.
        parser: Parses the responses.
        readable: Polls the socket for bytes that the event loop has not read yet.
    """

    __slots__ = ("attempt", "has_unsent_bytes", "idle_since", "parser", "pool", "readable", "transport")

    def __init__(self, pool: ConnectionOwner) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.has_unsent_bytes = False
        self.parser = ResponseParser()
        self.readable = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Have unsent bytes reported, and prepare to poll for unread ones."""
        transport = cast("asyncio.Transport", transport)  # uvloop's are not its subclasses
        transport.set_write_buffer_limits(high=0)  # report at once bytes that could not be written
        self.transport = transport
        self.readable.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    @property
    def is_open(self) -> bool:
        """Whether the connection is open and is not being closed."""
        return self.transport is not None and not self.transport.is_closing()

    def is_usable(self) -> bool:
        """Return whether an idle connection can carry an attempt.

        Bytes that can be read before the attempt is written do not belong to its response: they are a second
        copy of the last response, noise, or the end of the connection.
        """
        return self.is_open and not self.readable.poll(0)

    def mark_idle(self) -> None:
        """Note that the connection waits for its next attempt from now on."""
        self.idle_since = time.monotonic()

    def carry(self, attempt: Attempt) -> None:
        """Write an attempt's request and wait for the response."""
        assert self.transport is not None
        self.attempt = attempt
        self.transport.write(attempt.bind(self))

    def pause_writing(self) -> None:
        """Note that part of the request is not sent yet."""
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        """Note that the whole request is sent."""
        self.has_unsent_bytes = False

    def data_received(self, data: bytes) -> None:
        """Parse part of a response; the attempt finishes once it is complete."""
        if self.attempt is None:
            self.abort()  # a response without a request: the framing is lost
            return
        try:
            self.parser.feed(data)
        except MalformedResponseError as error:
            log.warning("endpoint %s: malformed response: %s", self.pool.endpoint_id, error)
            # The request may have run.  ERROR, not RESET: the endpoint is up, so the policy keeps using it.
            self.attempt.mark_abandoned(Outcome.ERROR)
            self.abort()  # the attempt finishes with its connection
            return
        if self.parser.is_complete and self.is_open:
            # Only once all bytes that were read are parsed: completing may start the next attempt on this
            # connection, which must not get the bytes behind this response.
            self.complete()

    def eof_received(self) -> None:
        """Complete a response without framing; a reset does not complete one, and is not reported here."""
        if self.attempt is None or self.attempt.abandoned_as is not None:
            return
        self.parser.feed_eof()
        if self.parser.is_complete and self.is_open:
            self.complete()

    def complete(self) -> None:
        """Return the connection to its pool, or close it, and then hand the response over."""
        attempt = self.attempt
        assert attempt is not None
        parser = self.parser
        result = AttemptResult(
            parser.outcome,
            attempt.elapsed,
            self.pool.load_report_parser.parse(parser.load_report),
            parser.body,
            parser.content_type,
        )
        is_reusable = parser.is_reusable
        self.attempt = None
        parser.reset()
        if is_reusable and not self.has_unsent_bytes:
            self.pool.put_back(self)
        else:
            self.abort()
        attempt.finish(result)

    def abort(self) -> None:
        """Close the connection at once, whatever is not sent yet."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, _error: Exception | None) -> None:
        """Leave the pool, and finish the attempt that was carried."""
        self.pool.discard(self)
        attempt = self.attempt
        if attempt is not None:
            self.attempt = None
            # The descriptor is closed only after this call returns; a retry must come later.
            self.pool.loop.call_soon(attempt.fail, attempt.outcome_of_lost_connection())
