"""One connection to an endpoint: socket events in, attempts carried."""

from __future__ import annotations

import asyncio
import logging
import select
from typing import Protocol, cast

from gateway.policy.events import Outcome
from gateway.upstream.attempt import Attempt, AttemptResult
from gateway.upstream.errors import MalformedResponseError
from gateway.upstream.load_report import LoadReportParser
from gateway.upstream.response_parser import ResponseParser

log = logging.getLogger(__name__)


class ConnectionOwner(Protocol):
    """What a connection needs of the pool that it belongs to."""

    endpoint_id: int
    load_report_parser: LoadReportParser

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The loop on which the callbacks of attempts run."""

    def put_back(self, connection: UpstreamConnection) -> None:
        """Take a connection back that can carry another attempt."""

    def discard(self, connection: UpstreamConnection) -> None:
        """Forget a connection that has ended."""


class UpstreamConnection(asyncio.Protocol):
    """One connection to an endpoint; it carries one attempt at a time."""

    __slots__ = ("attempt", "has_unsent_bytes", "idle_since", "parser", "pool", "readable", "transport")

    def __init__(self, pool: ConnectionOwner) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.idle_since = 0.0  # monotonic seconds
        self.has_unsent_bytes = False  # whether part of the request still waits in this process
        self.parser = ResponseParser()
        self.readable = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Have bytes reported that the socket does not take, and prepare to poll for unread ones."""
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        transport.set_write_buffer_limits(high=0)  # report at once bytes that could not be written
        self.transport = transport
        self.readable.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    @property
    def is_open(self) -> bool:
        """Whether the connection is up and not being closed."""
        return self.transport is not None and not self.transport.is_closing()

    def is_usable(self) -> bool:
        """Whether an idle connection can carry an attempt.

        What can be read before the attempt is written does not belong to its response: it is a second copy of
        the last response, noise, or the end of the connection.
        """
        return self.is_open and not self.readable.poll(0)

    def carry(self, attempt: Attempt) -> None:
        """Write an attempt's request and wait for the response."""
        assert self.transport is not None
        self.attempt = attempt
        self.transport.write(attempt.bind(self))

    def pause_writing(self) -> None:
        """The socket has not taken the whole request."""
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        """The socket has taken the rest of the request."""
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
            # Only once all that was read is parsed: finishing may start the next attempt on this connection,
            # which must not get what stood behind this response.
            self.complete()

    def eof_received(self) -> None:
        """Complete a response without framing.  A reset does not end one, and is not reported here."""
        if self.attempt is not None and self.attempt.abandoned_as is None:
            self.parser.feed_eof()
            if self.parser.is_complete and self.is_open:
                self.complete()

    def complete(self) -> None:
        """Hand the response over, after the connection has become idle or is being closed."""
        attempt, parser = self.attempt, self.parser
        assert attempt is not None
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
        """End the connection at once, whatever was not sent."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, _error: Exception | None) -> None:
        """Leave the pool and finish the attempt that was carried."""
        self.pool.discard(self)
        if (attempt := self.attempt) is not None:
            self.attempt = None
            # The descriptor is closed only after this call returns; a retry must come later.
            self.pool.loop.call_soon(attempt.fail, attempt.outcome_of_lost_connection())
