"""One connection to the counter: its states, its transport, liveness checks and reconnects."""

from __future__ import annotations

import enum
import logging
import time
from typing import TYPE_CHECKING, Protocol

from gateway.backoff import Backoff
from gateway.connector import connect
from gateway.counter.call import CounterCall, Ping
from gateway.counter.call_pipeline import CallPipeline
from gateway.counter.errors import MalformedReplyError
from gateway.counter.transport import CounterTransport
from gateway.policy.events import Outcome

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Coroutine

    from gateway.address import Address

MAX_PENDING_CALLS = 1000  # queued or awaiting a reply on one connection
PING_INTERVAL_SECONDS = 2.0  # a PING after this idle time keeps the connection from being closed
# A transport without any byte for this time while a reply is awaited is replaced, as the counter's machine is
# likely down.
REPLY_TIMEOUT_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 1.5  # TCP repeats a lost SYN after 1 s
MIN_RETRY_DELAY_SECONDS = 0.05  # after the first failed attempt to connect, then doubled
MAX_RETRY_DELAY_SECONDS = 1.0

log = logging.getLogger(__name__)


class ConnectionState(enum.Enum):
    """The state of a connection."""

    DISCONNECTED = enum.auto()  # calls fail at once until the next attempt to connect
    CONNECTING = enum.auto()  # calls are queued
    OPEN = enum.auto()
    DRAINING = enum.auto()  # replaced by another connection; closed once all written calls are settled


ALLOWED_TRANSITIONS = {
    ConnectionState.DISCONNECTED: {ConnectionState.CONNECTING},
    ConnectionState.CONNECTING: {ConnectionState.OPEN, ConnectionState.DISCONNECTED},
    ConnectionState.OPEN: {ConnectionState.DRAINING, ConnectionState.DISCONNECTED},
    ConnectionState.DRAINING: {ConnectionState.DISCONNECTED},
}


class ConnectionOwner(Protocol):
    """What a connection needs from the client that it belongs to."""

    loop: asyncio.AbstractEventLoop
    is_closed: bool

    def is_current(self, connection: CounterConnection) -> bool:
        """Return whether the connection is in use or is a replacement that is not open yet."""
        ...

    def start_task(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a task, which is cancelled when the client is closed."""
        ...

    def connect_attempt_ended(self) -> None:
        """Notify the client that an attempt to connect has succeeded or failed."""
        ...

    def connection_opened(self, connection: CounterConnection) -> None:
        """Notify the client that the connection has opened; a replacement is put into use."""
        ...


class CounterConnection:
    """One connection to the counter at a fixed address; it reconnects as long as its owner uses it.

    Each attempt to connect has a transport of its own.  The successor given to `replace_with` writes nothing
    until all calls written on this connection are settled, so that the policy gets the replies to calls of
    one name in the order of the calls.
    """

    def __init__(self, owner: ConnectionOwner, address: Address) -> None:
        self.address = address
        self.state = ConnectionState.DISCONNECTED
        self.pipeline = CallPipeline()
        # Monotonic time in seconds from which the counter's silence is measured: when the connection opened,
        # bytes arrived, or a call was written while no other awaited a reply.
        self.silent_since = 0.0
        self._owner = owner
        self._predecessor: CounterConnection | None = None  # replaced by this connection, and not drained yet
        self._successor: CounterConnection | None = None  # replaces this connection once it has drained
        self._transport = CounterTransport(self)
        self._backoff = Backoff(MIN_RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS)

    def _set_state(self, state: ConnectionState) -> None:
        assert state in ALLOWED_TRANSITIONS[self.state], f"{self.state} to {state}"
        self.state = state

    def submit(self, call: CounterCall) -> None:
        """Write a call or queue it; fail it if too many calls are pending or there is no connection."""
        if len(self.pipeline) >= MAX_PENDING_CALLS:
            call.settle(Outcome.OVERLOADED)
        elif self.state is ConnectionState.DISCONNECTED:
            call.settle(Outcome.CONNECT_FAILED)
        elif self.can_write():
            self._write(call)
        else:
            self.pipeline.enqueue(call)

    def can_write(self) -> bool:
        """Return whether calls may be written: the connection is open, and its predecessor has drained."""
        if self.state is not ConnectionState.OPEN or self._predecessor is not None:
            return False
        return self._transport.is_writable

    def _write_queued_calls(self) -> None:
        while self.can_write():
            call = self.pipeline.dequeue()
            if call is None:
                return
            self._write(call)

    def _write(self, call: CounterCall | Ping) -> None:
        if not self.pipeline.awaits_reply:
            self.silent_since = time.monotonic()
        self.pipeline.append_written(call)
        self._transport.write(call.encode())

    def expire(self, call: CounterCall) -> None:
        """Settle a call whose timeout has passed."""
        self.pipeline.expire(call)
        self._close_when_drained()

    def replace_with(self, successor: CounterConnection) -> None:
        """Drain this connection: it awaits the pending replies; its queued calls move to the successor."""
        self._successor = successor
        successor.set_predecessor(self)
        self.pipeline.transfer_queue(successor.pipeline, successor)
        if self.state is ConnectionState.OPEN:
            self._set_state(ConnectionState.DRAINING)
        self._close_when_drained()

    def set_predecessor(self, predecessor: CounterConnection) -> None:
        """Write nothing until the connection that this one replaces has drained."""
        self._predecessor = predecessor

    def _close_when_drained(self) -> None:
        """Close a replaced connection once all calls written on it and on its predecessor are settled."""
        successor = self._successor
        is_drained = self._predecessor is None and self.pipeline.is_drained
        if successor is not None and is_drained:
            self._successor = None
            self.abort()
            successor.predecessor_drained()

    def predecessor_drained(self) -> None:
        """Write the calls that were queued while the predecessor was draining."""
        self._predecessor = None
        self._write_queued_calls()
        self._close_when_drained()

    def connect(self) -> None:
        """Start an attempt to connect if disconnected and still used by the owner."""
        is_used = not self._owner.is_closed and self._owner.is_current(self)
        if self.state is ConnectionState.DISCONNECTED and is_used:
            self._set_state(ConnectionState.CONNECTING)
            self._transport = CounterTransport(self)
            self._owner.start_task(self._attempt_connection(self._transport))

    async def _attempt_connection(self, transport: CounterTransport) -> None:
        """Connect; after a failure, fail the queued calls and retry after the backoff delay."""
        try:
            await connect(self._owner.loop, transport, self.address, CONNECT_TIMEOUT_SECONDS)
        except (OSError, TimeoutError):
            self._set_state(ConnectionState.DISCONNECTED)
            self.pipeline.fail_queued()
            self._owner.loop.call_later(self._backoff.seconds, self.connect)
            self._backoff.increase()
        finally:
            self._owner.connect_attempt_ended()

    def transport_opened(self) -> None:
        """Replace the predecessor, if any, and write the queued calls."""
        self._set_state(ConnectionState.OPEN)
        self.pipeline.reset_parser()
        self.silent_since = time.monotonic()
        if not self._owner.is_current(self):  # the address changed while connecting
            self._transport.abort()
            return
        self._owner.connection_opened(self)
        self._write_queued_calls()

    def transport_lost(self) -> None:
        """Settle all written calls and reconnect."""
        self._set_state(ConnectionState.DISCONNECTED)
        self.pipeline.fail_written(has_unsent_bytes=self._transport.has_unsent_bytes)
        self._close_when_drained()
        self.connect()

    def data_received(self, data: bytes) -> None:
        """Settle the calls whose replies are complete; a malformed reply closes the connection."""
        self.silent_since = time.monotonic()
        self._backoff.reset()
        try:
            self.pipeline.receive(data)
        except MalformedReplyError as error:
            log.warning("counter: connection closed: %s", error)
            self.abort()
        self._close_when_drained()

    def check_liveness(self, now: float) -> None:
        """Replace an unresponsive transport and ping an idle one; `now` is the monotonic time in seconds."""
        if self.state is not ConnectionState.OPEN:
            return
        silent_seconds = now - self.silent_since
        if self.pipeline.awaits_reply:
            if silent_seconds > REPLY_TIMEOUT_SECONDS:
                self._replace_transport()
        elif silent_seconds > PING_INTERVAL_SECONDS:
            self._write(Ping())

    def _replace_transport(self) -> None:
        """Reconnect now, without waiting until the event loop reports the transport as lost."""
        self._transport.discard()
        self.transport_lost()

    def abort(self) -> None:
        """Close the transport immediately, if there is one."""
        self._transport.abort()
