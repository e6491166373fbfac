"""Endpoints with faults that are switched on and off from outside, in a process of their own.

Run as `python -m testbed.faulty_endpoints COUNT SEED`.  It prints the ports as JSON, takes `SetEndpointFault`
commands, and prints all arrivals when it is asked for its report.
"""

from __future__ import annotations

import asyncio
import enum
import random
import socket
import sys
import time
from dataclasses import dataclass, field
from functools import partial

import httptools
import uvloop
from pydantic import TypeAdapter

from testbed.child_process import serve_commands
from testbed.fake_server import LOOPBACK
from testbed.http_messages import http_response

MEAN_SERVICE_SECONDS = 0.02
DUPLICATE_DELAY_SECONDS = 0.004  # between a response and its duplicate
STALL_CHECK_SECONDS = 0.005
MIN_STALL_SECONDS = 0.02
REPORT_COMMAND = "report"


class EndpointFault(enum.StrEnum):
    """What an endpoint does with the requests that it receives."""

    NONE = "none"
    HANG = "hang"  # never responds
    RESET = "reset"  # executes the request and resets the connection
    DUPLICATE = "duplicate"  # responds twice
    REJECT = "reject"  # responds 503 with Not-Started, without executing the request
    GARBAGE = "garbage"  # executes the request and responds with bytes that are not HTTP
    ERROR = "error"  # executes the request and responds 500


FAULTS_WITHOUT_EXECUTION = frozenset({EndpointFault.REJECT})


@dataclass(frozen=True, slots=True)
class SetEndpointFault:
    """A command: one endpoint has a fault from now on."""

    endpoint: int
    fault: EndpointFault


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request whose last byte has reached an endpoint.

    Attributes:
        request_id: The Request-Id header.
        endpoint: Index of the endpoint.
        at: Monotonic time in seconds.
        may_run: Whether the endpoint executes the request.
    """

    request_id: str
    endpoint: int
    at: float
    may_run: bool


@dataclass(frozen=True, slots=True)
class Stall:
    """A time in which the process of the endpoints did not run, so that arrivals in it are recorded late.

    Attributes:
        started_at: Monotonic time in seconds.
        ended_at: Monotonic time in seconds.
    """

    started_at: float
    ended_at: float


@dataclass(slots=True)
class EndpointReport:
    """What the endpoints have received, and when they were stalled."""

    arrivals: list[Arrival] = field(default_factory=list)
    stalls: list[Stall] = field(default_factory=list)


COMMAND = TypeAdapter(SetEndpointFault)
REPORT = TypeAdapter(EndpointReport)
PORTS = TypeAdapter(list[int])


@dataclass
class EndpointGroup:
    """All endpoints of the process.

    Attributes:
        random: Draws service times.
        faults: The fault of each endpoint.
        report: What was recorded so far.
    """

    random: random.Random
    faults: list[EndpointFault]
    report: EndpointReport = field(default_factory=EndpointReport)

    async def serve(self) -> None:
        """Serve requests and commands until the end of standard input."""
        loop = asyncio.get_running_loop()
        ports: list[int] = []
        for index in range(len(self.faults)):
            server = await loop.create_server(partial(EndpointConnection, self, index), LOOPBACK, 0)
            ports.append(server.sockets[0].getsockname()[1])
        unaccepting = listen_without_accepting()
        ports.append(unaccepting.getsockname()[1])
        print(PORTS.dump_json(ports).decode(), flush=True)  # noqa: T201
        watcher = asyncio.create_task(self.record_stalls())
        await serve_commands(self.handle)
        watcher.cancel()

    async def record_stalls(self) -> None:
        """Record each time in which the event loop did not run."""
        while True:
            started_at = time.monotonic()
            await asyncio.sleep(STALL_CHECK_SECONDS)
            ended_at = time.monotonic()
            if ended_at - started_at > MIN_STALL_SECONDS:
                self.report.stalls.append(Stall(started_at, ended_at))

    def handle(self, line: str) -> str | None:
        """Execute a command."""
        if line == REPORT_COMMAND:
            return REPORT.dump_json(self.report).decode()
        command = COMMAND.validate_json(line)
        self.faults[command.endpoint] = command.fault
        return None


def listen_without_accepting() -> socket.socket:
    """Return a listening socket; connections to it come up but are never read."""
    listening = socket.socket()
    listening.bind((LOOPBACK, 0))
    listening.listen()
    return listening


class EndpointConnection(asyncio.Protocol):
    """One connection from a gateway; httptools calls the methods named `on_...`."""

    def __init__(self, group: EndpointGroup, index: int) -> None:
        self.group = group
        self.index = index
        self.parser = httptools.HttpRequestParser(self)
        self.request_id = ""
        self.target = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        """Store the target."""
        self.target = url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the id of the request."""
        if name.lower() == b"request-id":
            self.request_id = value.decode()

    def on_message_complete(self) -> None:
        """Record the request and respond according to the endpoint's fault."""
        if self.target.startswith(b"/-/"):
            self.transport.write(http_response())
            return
        fault = self.group.faults[self.index]
        may_run = fault not in FAULTS_WITHOUT_EXECUTION
        self.group.report.arrivals.append(Arrival(self.request_id, self.index, time.monotonic(), may_run))
        delay = self.group.random.expovariate(1 / MEAN_SERVICE_SECONDS)
        asyncio.get_running_loop().call_later(delay, self.respond, fault, self.request_id.encode())

    def respond(self, fault: EndpointFault, body: bytes) -> None:
        """Send the response to a request, unless the connection has closed."""
        if self.transport.is_closing():
            return
        if fault is EndpointFault.RESET:
            self.transport.abort()
            return
        response = response_of(fault, body)
        self.transport.write(response)
        if fault is EndpointFault.DUPLICATE:
            loop = asyncio.get_running_loop()
            loop.call_later(DUPLICATE_DELAY_SECONDS, self.transport.write, response)


def response_of(fault: EndpointFault, body: bytes) -> bytes:
    """Return the bytes that an endpoint with a fault sends; empty for none."""
    match fault:
        case EndpointFault.HANG | EndpointFault.RESET:
            return b""
        case EndpointFault.GARBAGE:
            return b"\x00garbage\r\n\r\n"
        case EndpointFault.REJECT:
            return http_response(503, Not_Started="1")
        case EndpointFault.ERROR:
            return http_response(500)
        case EndpointFault.NONE | EndpointFault.DUPLICATE:
            return http_response(body=body)


def main() -> None:
    """Run the endpoints that the arguments describe."""
    count, seed = sys.argv[1:]
    group = EndpointGroup(random.Random(int(seed)), [EndpointFault.NONE] * int(count))
    uvloop.run(group.serve())


if __name__ == "__main__":
    main()
