"""One pipelined connection to the counter: its state, its calls in order of their replies, reconnecting."""

from __future__ import annotations

import asyncio
import enum
import logging
import time
from collections import deque
from collections.abc import Coroutine
from typing import Protocol, cast

from gateway.address import Address
from gateway.counter.call import CounterCall, Ping
from gateway.counter.errors import MalformedReplyError
from gateway.counter.resp import ErrorReply, Pong, Reply, ReplyParser, Total
from gateway.policy.actions import AddToCounter
from gateway.policy.events import Outcome

MAX_PENDING_CALLS = 1000  # on one connection, queued or written
PING_INTERVAL_SECONDS = 2.0  # without a call; a PING then keeps the connection from being closed as idle
REPLY_TIMEOUT_SECONDS = 2.0  # without a byte while calls wait: the machine at the other end has vanished
MIN_RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS = 0.05, 1.0  # between attempts to connect
CONNECT_TIMEOUT_SECONDS = 1.0

log = logging.getLogger(__name__)


class ConnectionState(enum.Enum):
    """How far a connection has come."""

    DISCONNECTED = enum.auto()  # calls fail at once until the next attempt to connect
    CONNECTING = enum.auto()  # calls are queued
    OPEN = enum.auto()
    DRAINING = enum.auto()  # another took its place; it stays open until its written calls have ended


NEXT_STATES = {
    # OPEN: the transport may report the connection just after the attempt has run out of time.
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
        """Whether the connection is in use, or is to replace one that is."""
        ...

    def start_task(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine until it is done or the client is closed."""
        ...

    def connection_attempted(self) -> None:
        """Note that an attempt to connect has succeeded or failed."""
        ...

    def connection_opened(self, connection: CounterConnection) -> None:
        """Put a connection that is open now in its place."""
        ...

    def schedule_expiry(self, call: CounterCall) -> None:
        """Expire the call once it has waited for too long."""
        ...

    def settle(self, call: CounterCall, outcome: Outcome, total: float = 0.0) -> None:
        """Reply to the policy unless it has had its reply to this call."""
        ...


class CounterConnection(asyncio.Protocol):
    """One connection to an address; reconnects for as long as its owner uses it.

    When another connection takes its place (`hand_over_to`), that one writes only once the calls written here
    have ended: replies to calls of one name are given to the policy in the order of the calls.
    """

    def __init__(self, owner: ConnectionOwner, address: Address) -> None:
        self.address = address
        self.state = ConnectionState.DISCONNECTED
        self.queued_calls: deque[CounterCall] = deque()  # to be written once that is allowed
        self.written_calls: deque[CounterCall | Ping] = deque()  # in the order in which their replies come
        self.last_received_at = 0.0  # by the monotonic clock; or when a call was written with none before it
        self._owner = owner
        self._predecessor: CounterConnection | None = None  # whose place this took and whose calls come first
        self._successor: CounterConnection | None = None  # that took this one's place
        self._transport: asyncio.Transport | None = None
        self._parser = ReplyParser()
        self._has_unsent_bytes = False  # whether written bytes are still in this process
        self._retry_delay = MIN_RETRY_DELAY_SECONDS

    def _enter(self, state: ConnectionState) -> None:
        assert state in NEXT_STATES[self.state], f"{self.state} to {state}"
        self.state = state

    def add(self, request: AddToCounter, now: float) -> None:
        """Write an addition, or queue it while the connection is being made; settle it at once otherwise."""
        call = CounterCall(request, now, self)
        if len(self.written_calls) + len(self.queued_calls) >= MAX_PENDING_CALLS:
            self._owner.settle(call, Outcome.OVERLOADED)
            return
        if self.state is ConnectionState.DISCONNECTED:
            self._owner.settle(call, Outcome.CONNECT_FAILED)
            return
        self._owner.schedule_expiry(call)
        if self.can_write():
            self._write(call)
        else:
            self.queued_calls.append(call)

    def can_write(self) -> bool:
        """Whether a call may be written now: not before those written to the predecessor have ended."""
        return (
            self.state is ConnectionState.OPEN
            and self._transport is not None
            and not self._transport.is_closing()
            and self._predecessor is None
        )

    def _write_queued_calls(self) -> None:
        while self.queued_calls and self.can_write():
            self._write(self.queued_calls.popleft())

    def _write(self, call: CounterCall | Ping) -> None:
        assert self._transport is not None
        if not self.written_calls:
            self.last_received_at = time.monotonic()
        self.written_calls.append(call)
        self._transport.write(call.encode())

    def expire(self, call: CounterCall) -> None:
        """End a call that has waited for too long."""
        if call in self.queued_calls:
            self.queued_calls.remove(call)  # never written, so it can never be added
            self._owner.settle(call, Outcome.CONNECT_FAILED)
        else:
            # It keeps its place there: its late reply must not be taken for the next call's.
            self._owner.settle(call, Outcome.TIMEOUT)
        self._close_when_drained()

    def hand_over_to(self, successor: CounterConnection) -> None:
        """Let another connection take this one's place: written calls end here, queued ones move."""
        self._successor = successor
        successor._take_over(self, self.queued_calls)
        self.queued_calls = deque()
        if self.state is ConnectionState.OPEN:
            self._enter(ConnectionState.DRAINING)
        self._close_when_drained()

    def _take_over(self, predecessor: CounterConnection, queued_calls: deque[CounterCall]) -> None:
        self._predecessor = predecessor
        self.queued_calls = queued_calls
        for call in queued_calls:
            call.connection = self

    def _close_when_drained(self) -> None:
        """Close after a hand-over, once all written calls have ended, and let the successor write."""
        if self._successor is not None and all(call.is_settled for call in self.written_calls):
            successor, self._successor = self._successor, None
            self.abort()
            successor._predecessor_drained()

    def _predecessor_drained(self) -> None:
        self._predecessor = None
        self._write_queued_calls()

    def connect(self) -> None:
        """Start an attempt to connect if there is no connection and the owner still uses this one."""
        is_wanted = not self._owner.is_closed and self._owner.is_current(self)
        if self.state is ConnectionState.DISCONNECTED and is_wanted:
            self._enter(ConnectionState.CONNECTING)
            self._owner.start_task(self._attempt_connection())

    async def _attempt_connection(self) -> None:
        host, port = self.address.host, self.address.port
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await self._owner.loop.create_connection(lambda: self, host, port)
        except (OSError, TimeoutError):
            if self.state is ConnectionState.CONNECTING:  # it may have opened just as the time ran out
                self._enter(ConnectionState.DISCONNECTED)
            self._fail_queued_calls()
            self._owner.loop.call_later(self._retry_delay, self.connect)
            self._retry_delay = min(MAX_RETRY_DELAY_SECONDS, 2 * self._retry_delay)
        finally:
            self._owner.connection_attempted()

    def _fail_queued_calls(self) -> None:
        queued_calls, self.queued_calls = self.queued_calls, deque()
        for call in queued_calls:
            self._owner.settle(call, Outcome.CONNECT_FAILED)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the place that the owner has for this connection, and write what is queued."""
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        transport.set_write_buffer_limits(high=0)  # so that any unsent byte pauses writing
        self._transport = transport
        self._enter(ConnectionState.OPEN)
        self._has_unsent_bytes = False
        self._parser = ReplyParser()
        self.last_received_at = time.monotonic()
        if not self._owner.is_current(self):  # the address changed meanwhile
            transport.abort()
            return
        self._owner.connection_opened(self)
        self._write_queued_calls()

    def pause_writing(self) -> None:
        """Note that written bytes have not been sent."""
        self._has_unsent_bytes = True

    def resume_writing(self) -> None:
        """Note that all written bytes have been sent."""
        self._has_unsent_bytes = False

    def connection_lost(self, _error: Exception | None) -> None:
        """Settle all written calls and connect again."""
        self._transport = None
        self._enter(ConnectionState.DISCONNECTED)
        calls, self.written_calls = self.written_calls, deque()
        # Which of several calls the unsent bytes belong to is not known; a single one was not sent in full.
        not_sent = self._has_unsent_bytes and len(calls) == 1
        for call in calls:
            self._settle(call, Outcome.CONNECT_FAILED if not_sent else Outcome.TIMEOUT)
        self._close_when_drained()
        self.connect()

    def data_received(self, data: bytes) -> None:
        """Match the replies that are complete to the written calls, oldest first."""
        self.last_received_at, self._retry_delay = time.monotonic(), MIN_RETRY_DELAY_SECONDS
        try:
            for reply in self._parser.feed(data):
                if not self.written_calls:
                    raise MalformedReplyError(f"a reply that no call waits for: {reply}")
                self._apply_reply(self.written_calls.popleft(), reply)
        except MalformedReplyError as error:
            log.warning("counter: connection closed: %s", error)
            self.abort()
        self._close_when_drained()

    def _apply_reply(self, call: CounterCall | Ping, reply: Reply) -> None:
        match reply, call:
            case ErrorReply(), _:
                if not reply.is_busy:
                    log.warning("counter: error reply: %.80s", reply.text)
                self._settle(call, Outcome.OVERLOADED)  # nothing was added
            case Pong(), Ping():
                pass
            case Total(), CounterCall():
                self._settle(call, Outcome.OK, reply.value)
            case _:
                self._settle(call, Outcome.TIMEOUT)  # it may have been added
                raise MalformedReplyError(f"not a reply to {type(call).__name__}: {reply!r:.80}")

    def _settle(self, call: CounterCall | Ping, outcome: Outcome, total: float = 0.0) -> None:
        if isinstance(call, CounterCall):
            self._owner.settle(call, outcome, total)

    def check_liveness(self, now: float) -> None:
        """Close a connection whose calls get no reply, and ping an idle one."""
        if self.state is not ConnectionState.OPEN:
            return
        silent_seconds = now - self.last_received_at
        if self.written_calls and silent_seconds > REPLY_TIMEOUT_SECONDS:
            self.abort()
        elif not self.written_calls and silent_seconds > PING_INTERVAL_SECONDS:
            self._write(Ping())

    def abort(self) -> None:
        """Close the connection at once, if there is one."""
        if self._transport is not None:
            self._transport.abort()
