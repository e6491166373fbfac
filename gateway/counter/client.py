"""The counter as the gateway uses it: additions by name, their expiry, and moving to another address."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Coroutine

from gateway.address import Address
from gateway.counter.call import CounterCall
from gateway.counter.connection import PING_INTERVAL_SECONDS, CounterConnection
from gateway.policy.actions import AddToCounter
from gateway.policy.events import CounterReply, Outcome

CONNECTION_COUNT = 4  # the counter accepts 32 of one gateway
LIVENESS_CHECK_SECONDS = PING_INTERVAL_SECONDS / 2


class CounterClient:
    """Adds to counters and calls back with a reply to each addition.

    Additions of one name share a connection, so that their replies come in the order of the calls.  `ready`
    is done once the first attempt to connect has succeeded or failed.
    """

    def __init__(
        self, address: Address, timeout_seconds: float, on_reply: Callable[[CounterReply], None]
    ) -> None:
        self.timeout_seconds = timeout_seconds  # of a call, the same for all
        self.on_reply = on_reply
        self.loop = asyncio.get_running_loop()
        self.ready = self.loop.create_future()
        self.is_closed = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._expiring_calls: deque[CounterCall] = deque()  # oldest first
        self._expiry_timer: asyncio.TimerHandle | None = None
        self.connections = [CounterConnection(self, address) for _ in range(CONNECTION_COUNT)]
        # To another address: each takes the place of the one in use once it is open.
        self.replacements: list[CounterConnection] = []
        for connection in self.connections:
            connection.connect()
        self._liveness_timer = self.loop.call_later(LIVENESS_CHECK_SECONDS, self._check_liveness)

    def add(self, request: AddToCounter) -> None:
        """Send an addition; its reply comes through `on_reply`, perhaps before this returns."""
        self.connections[request.name % CONNECTION_COUNT].add(request, time.monotonic())
        if self._expiry_timer is None and self._expiring_calls:
            self._expiry_timer = self.loop.call_later(self.timeout_seconds, self._expire_calls)

    def change_address(self, address: Address) -> None:
        """Move to the counter at another address; each connection is used until its replacement is open."""
        if address == (self.replacements or self.connections)[-1].address:
            return
        dropped = self.replacements
        self.replacements = [CounterConnection(self, address) for _ in range(CONNECTION_COUNT)]
        for connection in dropped:
            if connection not in self.connections:
                connection.abort()
        for connection in self.replacements:
            connection.connect()

    def is_current(self, connection: CounterConnection) -> bool:
        """Whether the connection is in use, or is to replace one that is."""
        return connection in self.connections or connection in self.replacements

    def start_task(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine until it is done or the client is closed."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def connection_attempted(self) -> None:
        """Note that an attempt to connect has succeeded or failed."""
        if not self.ready.done():
            self.ready.set_result(None)

    def connection_opened(self, connection: CounterConnection) -> None:
        """Let a replacement take the place of the connection that it is for."""
        if connection in self.replacements:
            place = self.replacements.index(connection)
            replaced, self.connections[place] = self.connections[place], connection
            replaced.hand_over_to(connection)
            if all(current.address == connection.address for current in self.connections):
                self.replacements = []

    def schedule_expiry(self, call: CounterCall) -> None:
        """Expire the call once it has waited for too long."""
        self._expiring_calls.append(call)

    def _expire_calls(self) -> None:
        now = time.monotonic()
        while self._expiring_calls:
            call = self._expiring_calls[0]
            if not call.is_settled:
                seconds_left = call.started_at + self.timeout_seconds - now
                if seconds_left > 0:
                    self._expiry_timer = self.loop.call_later(seconds_left, self._expire_calls)
                    return
                call.connection.expire(call)
            self._expiring_calls.popleft()
        self._expiry_timer = None

    def settle(self, call: CounterCall, outcome: Outcome, total: float = 0.0) -> None:
        """Reply to the policy unless it has had its reply to this call."""
        if not call.is_settled:
            call.is_settled = True
            elapsed = time.monotonic() - call.started_at
            self.on_reply(CounterReply(call.request.name, outcome, total, elapsed))

    def _check_liveness(self) -> None:
        now = time.monotonic()
        for connection in self.connections:
            connection.check_liveness(now)
        self._liveness_timer = self.loop.call_later(LIVENESS_CHECK_SECONDS, self._check_liveness)

    def close(self) -> None:
        """Close all connections; calls that are out get no reply."""
        self.is_closed = True
        self._liveness_timer.cancel()
        if self._expiry_timer:
            self._expiry_timer.cancel()
        for task in self._tasks:
            task.cancel()
        for connection in [*self.connections, *self.replacements]:
            connection.abort()
