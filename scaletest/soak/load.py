"""The clients of a soak, in a process of their own.

Run as `python -m scaletest.soak.load SEED GATEWAYS RATE LONGEST_DEADLINE`.  It takes `SetGateway` commands,
sends requests to the gateways, and ends with its report when the line `report` comes.
"""

from __future__ import annotations

import asyncio
import enum
import itertools
import random
import sys
import time
from dataclasses import dataclass, field

import httptools
import uvloop
from pydantic import TypeAdapter

from scaletest.soak.configuration import CEILING_PLAN, PLAN
from scaletest.soak.records import LOAD_REPORT, LoadReport, RequestClass, RequestEnd, RequestRecord
from testbed.child_process import input_lines
from testbed.fake_server import LOOPBACK

REPORT_COMMAND = "report"
CUSTOMER_COUNT = 300
CLASS_WEIGHTS = {RequestClass.IDEMPOTENT: 6, RequestClass.KEYED: 2, RequestClass.NON_IDEMPOTENT: 2}
MIN_TIMEOUT_SECONDS = 0.3
ANSWER_GRACE_SECONDS = 0.5  # after its timeout, a request may still be answered
CONNECT_SECONDS = 1.0  # for a connection to a gateway
LEAVE_PROBABILITY = 0.1  # of a client that closes its connection before the answer
HALF_SENT_PROBABILITY = 0.02  # of a client that closes its connection in the middle of its request
SLOW_PROBABILITY = 0.03  # of a client that sends its request in two parts
SLOW_SECONDS = 0.3  # at the most, between the two parts
OK_STATUS = 200


class GatewayState(enum.StrEnum):
    """What clients do with a gateway."""

    OPEN = "open"  # open connections as needed
    DRAINING = "draining"  # use open connections as long as they stay open
    CLOSED = "closed"  # the process is not there


@dataclass(frozen=True, slots=True)
class SetGateway:
    """A command: the state of a gateway from now on, and its port."""

    gateway: int
    state: GatewayState
    port: int


COMMAND = TypeAdapter(SetGateway)


class GatewayConnection(asyncio.Protocol):
    """One connection to a gateway; httptools calls the methods named `on_...`.

    Attributes:
        answer: Done with the status once an answer is complete, or with 0 once the connection is closed.
        body: The body of the answer.
        last_request_id: The request that was answered last.
        request_count: Number of requests sent on the connection.
        is_closed: Whether the connection is closed.
    """

    def __init__(self, report: LoadReport) -> None:
        self.report = report
        self.loop = asyncio.get_running_loop()
        self.answer: asyncio.Future[int] | None = None
        self.body = b""
        self.last_request_id = ""
        self.request_count = 0
        self.is_closed = False
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]

    def expect_answer(self, request_id: str) -> asyncio.Future[int]:
        """Return the future of the next answer."""
        self.request_count += 1
        self.last_request_id = request_id
        self.body = b""
        self.answer = self.loop.create_future()
        if self.is_closed:
            self.answer.set_result(0)
        return self.answer

    def data_received(self, data: bytes) -> None:
        """Parse an answer; record bytes that belong to no request."""
        if self.answer is None or self.answer.done():
            self.report.surplus_answers.append(self.last_request_id)
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_body(self, body: bytes) -> None:
        """Append a part of the answer's body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Complete the answer; an interim one is ignored."""
        status = self.parser.get_status_code()
        if status >= OK_STATUS and self.answer is not None and not self.answer.done():
            self.answer.set_result(status)

    def connection_lost(self, _error: Exception | None) -> None:
        """End the request that awaits an answer."""
        self.is_closed = True
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(0)

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent."""
        return not self.is_closed and not self.transport.is_closing()


@dataclass
class Gateway:
    """The clients' view of one gateway."""

    index: int
    state: GatewayState = GatewayState.CLOSED
    port: int = 0
    idle: list[GatewayConnection] = field(default_factory=list)

    def take_idle(self) -> GatewayConnection | None:
        """Remove and return a usable idle connection, the most recently used one."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable:
                return connection
        return None

    def is_reachable(self) -> bool:
        """Return whether a request can be sent."""
        if self.state is GatewayState.DRAINING:
            return any(connection.is_usable for connection in self.idle)
        return self.state is GatewayState.OPEN


@dataclass
class Clients:
    """All clients.

    Attributes:
        source: Draws everything.
        gateways: The gateways.
        rate: Requests a second.
        longest_deadline: Longest timeout of a request, in seconds.
        report: What the clients have seen.
    """

    source: random.Random
    gateways: list[Gateway]
    rate: float
    longest_deadline: float
    report: LoadReport = field(default_factory=LoadReport)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    async def run(self) -> None:
        """Send requests until the report is asked for; then await all answers and print the report."""
        sender = asyncio.create_task(self._send_at_rate())
        async for line in input_lines():
            if line == REPORT_COMMAND:
                sender.cancel()
                await asyncio.gather(*self._tasks)
                print(LOAD_REPORT.dump_json(self.report).decode(), flush=True)  # noqa: T201
                return
            self._set_gateway(COMMAND.validate_json(line))

    def _set_gateway(self, command: SetGateway) -> None:
        gateway = self.gateways[command.gateway]
        gateway.state = command.state
        gateway.port = command.port

    async def _send_at_rate(self) -> None:
        loop = asyncio.get_running_loop()
        at = loop.time()
        while True:
            at += self.source.expovariate(self.rate)
            await asyncio.sleep(max(0.0, at - loop.time()))
            reachable = [gateway for gateway in self.gateways if gateway.is_reachable()]
            if reachable:
                gateway = self.source.choice(reachable)
                task = asyncio.create_task(self._send(gateway, self._draw_request(gateway)))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def _draw_request(self, gateway: Gateway) -> RequestRecord:
        (request_class,) = self.source.choices(list(CLASS_WEIGHTS), list(CLASS_WEIGHTS.values()))
        timeout = round(self.source.uniform(MIN_TIMEOUT_SECONDS, self.longest_deadline), 3)
        request_id = f"{next(self._numbers):016x}"
        return RequestRecord(request_id, request_class, gateway.index, timeout)

    async def _send(self, gateway: Gateway, request: RequestRecord) -> None:
        """Send a request; send it once more if the gateway closes the connection of an earlier request."""
        data = self._encode(request)
        await self._send_once(gateway, request, data)
        is_repeatable = request.end is RequestEnd.CLOSED and not request.is_first
        if is_repeatable and gateway.state is GatewayState.OPEN:
            again = RequestRecord(
                request.request_id, request.request_class, gateway.index, request.timeout, is_resent=True
            )
            await self._send_once(gateway, again, data)

    async def _send_once(self, gateway: Gateway, request: RequestRecord, data: bytes) -> None:
        connection = None if request.is_resent else gateway.take_idle()
        request.is_first = connection is None
        if connection is None:
            request.connecting_at = time.monotonic()
            connection = await self._connect(gateway)
        self.report.requests.append(request)
        if connection is None:
            return
        request.begun_at = time.monotonic()
        if await self._write(connection, data):
            request.sent_at = time.monotonic()
            await self._await_answer(connection, request)
            if request.end is RequestEnd.ANSWERED and connection.is_usable:
                gateway.idle.append(connection)

    async def _connect(self, gateway: Gateway) -> GatewayConnection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: GatewayConnection(self.report), LOOPBACK, gateway.port
                )
        except (OSError, TimeoutError):
            return None
        return connection

    async def _write(self, connection: GatewayConnection, data: bytes) -> bool:
        """Write a request; return whether its last byte was written on an open connection."""
        draw = self.source.random()
        if draw < HALF_SENT_PROBABILITY:
            connection.transport.write(data[: len(data) // 2])
            connection.transport.close()
            return False
        if draw < HALF_SENT_PROBABILITY + SLOW_PROBABILITY:
            connection.transport.write(data[: len(data) // 2])
            await asyncio.sleep(self.source.uniform(0.0, SLOW_SECONDS))
            data = data[len(data) // 2 :]
        if not connection.is_usable:
            return False
        connection.transport.write(data)
        return True

    async def _await_answer(self, connection: GatewayConnection, request: RequestRecord) -> None:
        answer = connection.expect_answer(request.request_id)
        leaves = self.source.random() < LEAVE_PROBABILITY
        last_moment = request.timeout + ANSWER_GRACE_SECONDS
        wait = self.source.uniform(0.0, 0.1) if leaves else last_moment
        await asyncio.wait([answer], timeout=wait)
        request.ended_at = time.monotonic()
        if answer.done():
            request.status = answer.result()
            request.end = RequestEnd.ANSWERED if request.status else RequestEnd.CLOSED
            is_served = request.status == OK_STATUS
            request.is_own_body = not is_served or connection.body == request.request_id.encode()
        else:
            connection.transport.abort()
            request.end = RequestEnd.LEFT if leaves else RequestEnd.SILENT

    def _encode(self, request: RequestRecord) -> bytes:
        is_read = request.request_class is RequestClass.IDEMPOTENT
        customer = self.source.randrange(CUSTOMER_COUNT)
        plan = CEILING_PLAN if customer % 2 else PLAN
        gateway_count = len(self.gateways)
        lines = [
            f"{'GET' if is_read else 'POST'} /{request.request_class}?customer={customer:016x} HTTP/1.1",
            "Host: origin.svc",
            f"Request-Id: {request.request_id}",
            f"Request-Class: {request.request_class}",
            f"X-Tier: {plan}",
            f"Request-Timeout: {round(request.timeout * 1000)}m",
            f"X-Call-Terms: units=1,spread={gateway_count},first=0",
        ]
        if request.request_class is RequestClass.KEYED:
            lines.append(f"Idempotency-Key: {request.request_id}{request.request_id}")
        body = b"" if is_read else b"amount=1"
        if not is_read:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def main() -> None:
    """Run the clients that the arguments describe."""
    seed, gateways, rate, longest_deadline = sys.argv[1:]
    clients = Clients(
        random.Random(int(seed)),
        [Gateway(index) for index in range(int(gateways))],
        float(rate),
        float(longest_deadline),
    )
    uvloop.run(clients.run())


if __name__ == "__main__":
    main()
