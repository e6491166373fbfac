"""One connection to the counter: its states, its transport, liveness and reconnecting."""

from __future__ import annotations

import asyncio
import enum
import logging
import time
from typing import TYPE_CHECKING, Protocol, cast

from gateway.backoff import Backoff
from gateway.counter.call import CounterCall, Ping
from gateway.counter.call_pipeline import CallPipeline
from gateway.counter.errors import MalformedReplyError
from gateway.policy.events import Outcome

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from gateway.address import Address

MAX_PENDING_CALLS = 1000  # on one connection, queued or written
PING_INTERVAL_SECONDS = 2.0  # idle time after which a PING keeps the connection from being closed
REPLY_TIMEOUT_SECONDS = 2.0  # silence while calls wait, after which the counter's machine is taken for lost
CONNECT_TIMEOUT_SECONDS = 1.0
MIN_RETRY_DELAY_SECONDS = 0.05  # between attempts to connect
MAX_RETRY_DELAY_SECONDS = 1.0

log = logging.getLogger(__name__)


class ConnectionState(enum.Enum):
    """How far a connection has come."""

    DISCONNECTED = enum.auto()  # calls fail at once until the next attempt to connect
    CONNECTING = enum.auto()  # calls are queued
    OPEN = enum.auto()
    DRAINING = enum.auto()  # replaced by another connection; open until the written calls are settled


NEXT_STATES = {
    # OPEN: the transport may report the connection just after the attempt has timed out.
    ConnectionState.DISCONNECTED: {ConnectionState.CONNECTING, ConnectionState.OPEN},
    ConnectionState.CONNECTING: {ConnectionState.OPEN, ConnectionState.DISCONNECTED},
    ConnectionState.OPEN: {ConnectionState.DRAINING, ConnectionState.DISCONNECTED},
    ConnectionState.DRAINING: {ConnectionState.DISCONNECTED},
}


class ConnectionOwner(Protocol):
    """What a connection needs of the client that it belongs to."""

    loop: asyncio.AbstractEventLoop
    is_closed: bool

    def is_current(self, connection: CounterConnection) -> bool:
        """Return whether the connection is in use, or is to replace one that is."""
        ...

    def start_task(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine until it is done or the client is closed."""
        ...

    def connection_attempted(self) -> None:
        """Note that an attempt to connect has succeeded or failed."""
        ...

    def connection_opened(self, connection: CounterConnection) -> None:
        """Use a connection that has just opened in the place of the one that it replaces."""
        ...


class CounterConnection(asyncio.Protocol):
    """One connection to one address, which reconnects for as long as its owner uses it.

    The event loop calls the methods of `asyncio.Protocol`; the owner calls the others.  When another
    connection replaces this one (`hand_over_to`), that one writes only once all calls written here are
    settled: the policy gets the replies to calls of one name in the order of the calls.
    """

    def __init__(self, owner: ConnectionOwner, address: Address) -> None:
        self.address = address
        self.state = ConnectionState.DISCONNECTED
        self.calls = CallPipeline()
        self.last_received_at = 0.0  # monotonic seconds; or when the first of the waiting calls was written
        self._owner = owner
        self._predecessor: CounterConnection | None = None  # replaced by this one and not drained yet
        self._successor: CounterConnection | None = None  # replaces this one and waits until it has drained
        self._transport: asyncio.Transport | None = None
        self._has_unsent_bytes = False  # whether written bytes are still in this process
        self._backoff = Backoff(MIN_RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS)

    def _enter(self, state: ConnectionState) -> None:
        assert state in NEXT_STATES[self.state], f"{self.state} to {state}"
        self.state = state

    def submit(self, call: CounterCall) -> None:
        """Write a call, or queue it while the connection is being opened; settle it at once otherwise."""
        if len(self.calls) >= MAX_PENDING_CALLS:
            call.settle(Outcome.OVERLOADED)
        elif self.state is ConnectionState.DISCONNECTED:
            call.settle(Outcome.CONNECT_FAILED)
        elif self.can_write():
            self._write(call)
        else:
            self.calls.queue(call)

    def can_write(self) -> bool:
        """Return whether a call may be written now: not before the predecessor has drained."""
        if self.state is not ConnectionState.OPEN or self._predecessor is not None:
            return False
        return self._transport is not None and not self._transport.is_closing()

    def _write_queued_calls(self) -> None:
        while self.can_write():
            call = self.calls.dequeue()
            if call is None:
                return
            self._write(call)

    def _write(self, call: CounterCall | Ping) -> None:
        assert self._transport is not None
        if not self.calls.has_written:
            self.last_received_at = time.monotonic()
        self.calls.append_written(call)
        self._transport.write(call.encode())

    def expire(self, call: CounterCall) -> None:
        """End a call that has waited longer than its timeout."""
        self.calls.expire(call)
        self._close_when_drained()

    def hand_over_to(self, successor: CounterConnection) -> None:
        """Let another connection replace this one: written calls end here, queued ones move to it."""
        self._successor = successor
        successor.wait_for(self)
        self.calls.hand_queue_to(successor.calls, successor)
        if self.state is ConnectionState.OPEN:
            self._enter(ConnectionState.DRAINING)
        self._close_when_drained()

    def wait_for(self, predecessor: CounterConnection) -> None:
        """Write nothing until the connection that this one replaces has drained."""
        self._predecessor = predecessor

    def _close_when_drained(self) -> None:
        """Close once another connection replaces this one and all written calls are settled."""
        successor = self._successor
        if successor is not None and self.calls.is_drained:
            self._successor = None
            self.abort()
            successor.predecessor_drained()

    def predecessor_drained(self) -> None:
        """Write what was queued while the connection that this one replaces was draining."""
        self._predecessor = None
        self._write_queued_calls()

    def connect(self) -> None:
        """Start an attempt to connect if there is no connection and the owner still uses this one."""
        is_wanted = not self._owner.is_closed and self._owner.is_current(self)
        if self.state is ConnectionState.DISCONNECTED and is_wanted:
            self._enter(ConnectionState.CONNECTING)
            self._owner.start_task(self._attempt_connection())

    async def _attempt_connection(self) -> None:
        """Connect; if that fails, fail the queued calls and connect again after the backoff."""
        host = self.address.host
        port = self.address.port
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await self._owner.loop.create_connection(lambda: self, host, port)
        except (OSError, TimeoutError):
            if self.state is ConnectionState.CONNECTING:  # it may have opened just as the attempt timed out
                self._enter(ConnectionState.DISCONNECTED)
            self.calls.fail_queued()
            self._owner.loop.call_later(self._backoff.seconds, self.connect)
            self._backoff.lengthen()
        finally:
            self._owner.connection_attempted()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Replace the connection that this one is for, and write what is queued."""
        transport = cast("asyncio.Transport", transport)  # uvloop's are not its subclasses
        transport.set_write_buffer_limits(high=0)  # so that any unsent byte pauses writing
        self._transport = transport
        self._enter(ConnectionState.OPEN)
        self._has_unsent_bytes = False
        self.calls.expect_new_stream()
        self.last_received_at = time.monotonic()
        if not self._owner.is_current(self):  # the address was changed in the meantime
            transport.abort()
            return
        self._owner.connection_opened(self)
        self._write_queued_calls()

    def pause_writing(self) -> None:
        """Note that some written bytes are not sent yet."""
        self._has_unsent_bytes = True

    def resume_writing(self) -> None:
        """Note that all written bytes are sent."""
        self._has_unsent_bytes = False

    def connection_lost(self, _error: Exception | None) -> None:
        """Settle all written calls and connect again."""
        self._transport = None
        self._enter(ConnectionState.DISCONNECTED)
        self.calls.fail_written(has_unsent_bytes=self._has_unsent_bytes)
        self._close_when_drained()
        self.connect()

    def data_received(self, data: bytes) -> None:
        """Settle the calls whose replies are complete; close the connection on a malformed reply."""
        self.last_received_at = time.monotonic()
        self._backoff.reset()
        try:
            self.calls.receive(data)
        except MalformedReplyError as error:
            log.warning("counter: connection closed: %s", error)
            self.abort()
        self._close_when_drained()

    def check_liveness(self, now: float) -> None:
        """Close a connection whose calls get no reply, and ping an idle one; `now` is monotonic seconds."""
        if self.state is not ConnectionState.OPEN:
            return
        silent_seconds = now - self.last_received_at
        if self.calls.has_written:
            if silent_seconds > REPLY_TIMEOUT_SECONDS:
                self.abort()
        elif silent_seconds > PING_INTERVAL_SECONDS:
            self._write(Ping())

    def abort(self) -> None:
        """Close the connection at once, if there is one."""
        if self._transport is not None:
            self._transport.abort()
