"""Stand-ins of the platform around real gateways: servers, discovery, the counter, clients and the record.

Only the standard library is used.  Every address is a loopback address on a free port.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
OK, REFUSED = 200, (429, 503)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_SECONDS = 30.0
RUN_SECONDS = 117.0  # of a whole case
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HEAD_END = b"\r\n\r\n"
SERVER_LOST = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError)


class CannotRunError(Exception):
    """The case cannot run here; this says nothing about the rule."""


class Record:
    """Collects what happened, and writes it to `record.txt` in the case's folder."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.started_at = time.time()
        self.lines: list[str] = []

    def add(self, text: str, at: float | None = None) -> None:
        """Add a line with the seconds since the start."""
        seconds = (time.time() if at is None else at) - self.started_at
        self.lines.append(f"{seconds:8.3f} {text}")

    def section(self, title: str, lines: list[str]) -> None:
        """Add lines under a title, without times."""
        self.lines += ["", title, *lines]

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def free_port() -> int:
    """Return a free port."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


@dataclass
class Arrival:
    """A request that a server has received.

    Attributes:
        server: Name of the server.
        first_byte_at: Unix time of the request's first byte, in seconds.
        at: Unix time of the request's last byte, in seconds.
        method: HTTP method.
        target: Path and query.
        headers: Headers, with names in lower case.
        body: The body.
        connection: Number of the connection.
        index_on_connection: Number of the request on its connection, from 0.
        outcome: What the server did with it.
        reader: The connection that it came on.
    """

    server: str
    first_byte_at: float
    at: float
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int
    index_on_connection: int
    outcome: str = "open"
    reader: asyncio.StreamReader | None = None

    @property
    def is_given_up(self) -> bool:
        """Whether the gateway has closed the connection."""
        return self.reader is not None and self.reader.at_eof()

    @property
    def request_id(self) -> str:
        """The client's id."""
        return self.headers.get("request-id", "")

    @property
    def told_seconds(self) -> float:
        """The time that the gateway says that it will wait."""
        text = self.headers.get("request-timeout", "0m")
        return float(text[:-1]) / (1e3 if text.endswith("m") else 1e6)


async def read_head(reader: asyncio.StreamReader) -> tuple[float, bytes]:
    """Read a message's head; return the time of its first byte too."""
    first = await reader.readexactly(1)
    first_at = time.time()
    return first_at, first + await reader.readuntil(HEAD_END)


def parse_headers(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the start line and the headers, with names in lower case."""
    start, *lines = head.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return start, headers


def ok_answer(body: bytes, extra: bytes = b"") -> bytes:
    """Return a 200 answer with its length."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s" % (len(body), extra, body)


def body_for(server: str, request_id: str) -> bytes:
    """Return the body that a server makes for a request."""
    return f"{server} {request_id}".encode()


Handler = Callable[["Server", Arrival, asyncio.StreamWriter], Awaitable[bool]]


async def answer_soon(server: Server, arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
    """Answer after the server's work time."""
    await asyncio.sleep(server.work_seconds)
    writer.write(ok_answer(body_for(server.name, arrival.request_id)))
    await writer.drain()
    arrival.outcome = "answered"
    return True


@dataclass
class Server:
    """A catalogue server: it answers requests and probes, and remembers what came.

    Attributes:
        number: Makes up its name.
        handler: Handles one request; returns whether the connection stays open.
        work_seconds: Time of one request.
        idle_seconds: Time after which an idle connection is closed.
        born_ms: When it last started, in Unix time in milliseconds.
        health: Its state in discovery's list.
    """

    number: int
    handler: Handler = answer_soon
    work_seconds: float = 0.02
    idle_seconds: float = 15.0
    born_ms: int = 0
    health: str = "Ready"
    port: int = 0
    arrivals: list[Arrival] = field(default_factory=list)
    connections: int = 0
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    resting: dict[asyncio.StreamWriter, asyncio.StreamReader] = field(default_factory=dict)
    listener: asyncio.Server | None = None

    @property
    def name(self) -> str:
        """The host name in discovery's list."""
        return f"s-{self.number:08x}"

    @property
    def entry(self) -> dict[str, Any]:
        """The server as discovery lists it."""
        return {
            "host": self.name,
            "dial": f"{HOST}:{self.port}",
            "site": "hallen-norrvik",
            "class": "small-2c",
            "block": self.number % 3,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    async def start(self) -> None:
        """Listen, at the same port as before if it ran before."""
        self.listener = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 20)
        self.port = self.listener.sockets[0].getsockname()[1]

    def die(self) -> None:
        """End as a process does: connections are reset and new ones refused."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            reset(writer)

    def has_received(self, writer: asyncio.StreamWriter) -> bool:
        """Return whether a byte of a further request has come on a connection, also one not read yet."""
        reader = self.resting.get(writer)
        if reader is None or reader.at_eof() or reader._buffer:  # type: ignore[attr-defined]  # noqa: SLF001
            return True
        poller = select.poll()
        poller.register(writer.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poller.poll(0))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = self.connections
        self.connections += 1
        self.writers.add(writer)
        try:
            index = 0
            while True:
                async with asyncio.timeout(self.idle_seconds):
                    arrival = await self._read(reader, writer, number, index)
                index += 1
                if arrival.target.startswith("/-/"):
                    writer.write(ok_answer(b"latency_ms=20"))
                    continue
                self.arrivals.append(arrival)
                if not await self.handler(self, arrival, writer):
                    return
        except (*SERVER_LOST, TimeoutError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int, index: int
    ) -> Arrival:
        self.resting[writer] = reader
        try:
            first = await reader.readexactly(1)
        finally:
            del self.resting[writer]
        first_at = time.time()
        start, headers = parse_headers(first + await reader.readuntil(HEAD_END))
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        method, target, _ = start.split(" ", 2)
        now = time.time()
        return Arrival(self.name, first_at, now, method, target, headers, body, number, index, reader=reader)


class Discovery:
    """The agent: it answers a call for the list, and sends changes on watches, with a line every 2 s."""

    def __init__(self, servers: list[Server]) -> None:
        self.servers = servers
        self.seq = 41
        self.port = 0
        self.silent = False  # whether it takes connections and says nothing
        self.answer_delay = 0.0  # seconds that a call waits for its answer
        self.calls: list[tuple[float, str]] = []
        self.told_at: dict[tuple[str, str], float] = {}
        self._queues: dict[asyncio.Queue[bytes], asyncio.StreamWriter] = {}
        self._listener: asyncio.Server | None = None

    def whole(self) -> bytes:
        """Return the whole list."""
        hosts = [server.entry for server in self.servers if server.health != "Gone"]
        return json.dumps({"seq": self.seq, "whole": True, "hosts": hosts}).encode()

    async def start(self) -> None:
        """Listen."""
        self._listener = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._listener.sockets[0].getsockname()[1]

    def reset_watches(self) -> None:
        """Reset all open watches."""
        for writer in self._queues.values():
            reset(writer)

    def close(self) -> None:
        """Accept nothing more, and end the open watches."""
        if self._listener is not None:
            self._listener.close()
        self.reset_watches()

    def publish(self, *servers: Server) -> None:
        """Send the entries of servers that have changed on all watches."""
        self.seq += 1
        hosts = [server.entry for server in servers]
        for server in servers:
            self.told_at[server.name, server.health] = time.time()
        line = json.dumps({"seq": self.seq, "whole": False, "hosts": hosts}).encode() + b"\n"
        for queue in self._queues:
            queue.put_nowait(line)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                _, head = await read_head(reader)
                target = head.split(b" ", 2)[1].decode()
                self.calls.append((time.time(), target))
                await asyncio.sleep(self.answer_delay)
                while self.silent:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
                if "watch" in target:
                    await self._watch(writer, target)
                    return
                writer.write(ok_answer(self.whole()))
        except SERVER_LOST:
            return
        finally:
            writer.close()

    async def _watch(self, writer: asyncio.StreamWriter, target: str) -> None:
        queue: asyncio.Queue[bytes] = asyncio.Queue()
        self._queues[queue] = writer
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if int(target.rpartition("=")[2]) != self.seq:
                queue.put_nowait(self.whole() + b"\n")
            while not writer.is_closing():
                line = b"\n"
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(2.0):
                        line = await queue.get()
                while self.silent:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
        finally:
            del self._queues[queue]


class Counter:
    """The counter: adds to named numbers, which are forgotten at the end of their life."""

    def __init__(self) -> None:
        self.port = 0
        self.mute = False
        self.delay = 0.001
        self.calls = 0
        self.totals: dict[bytes, tuple[float, float]] = {}
        self.log: list[tuple[float, bytes, float, float]] = []
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._listener = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._listener.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Accept nothing more."""
        if self._listener is not None:
            self._listener.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                parts = []
                for _ in range(int((await reader.readline())[1:])):
                    size = int((await reader.readline())[1:])
                    parts.append((await reader.readexactly(size + 2))[:-2])
                await asyncio.sleep(self.delay)
                while self.mute:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
                writer.write(self._answer(parts))
                await writer.drain()
        except SERVER_LOST:
            return
        finally:
            writer.close()

    def _answer(self, parts: list[bytes]) -> bytes:
        command = parts[0].upper()
        if command == b"PING":
            return b"+PONG\r\n"
        if command != b"TALLY":
            return b"+OK\r\n"
        _, name, amount, life = parts
        now = time.time()
        total, ends_at = self.totals.get(name, (0.0, 0.0))
        if now >= ends_at:
            total, ends_at = 0.0, now + min(60_000.0, float(life)) / 1000
        total += float(amount)
        self.totals[name] = (total, ends_at)
        self.calls += 1
        self.log.append((now, name, float(amount), total))
        text = f"{total:.7g}".encode()
        return b"$%d\r\n%s\r\n" % (len(text), text)


def request_class(name: str, effect: str, deadline: float, **changes: Any) -> dict[str, Any]:
    """Return a request class of the settings."""
    values = {
        "name": name,
        "effect": effect,
        "deadline_s": deadline,
        "goal_time_s": 0.6,
        "late_value": 0.0,
        "memory_span_s": 5.0,
        "dedup_scope": "all",
        "stream": False,
        "worth": 3.0,
    }
    return values | changes


def plan(name: str, rate: float, burst: float, **changes: Any) -> dict[str, Any]:
    """Return a plan of the settings."""
    values = {
        "name": name,
        "quota_rate": rate,
        "peak_units": burst,
        "over_cost": 1.0,
        "pays": 1.0,
        "parallel": 0,
        "beyond_earns": 0.0,
        "never_over_rate": 0.0,
        "hard_burst": 0.0,
        "ceiling_slack": 0.0,
    }
    return values | changes


def make_settings(classes: list[dict[str, Any]], plans: list[dict[str, Any]], peers: int) -> dict[str, Any]:
    """Return settings like those of the site's page, for a small deployment."""
    return {
        "az": 0,
        "me": 0,
        "peers_total": peers,
        "layer": 0,
        "period_s": 0.004,
        "caps": {
            "cancel": True,
            "conn_idle_s": 15.0,
            "connect_timeout_s": 0.25,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 500000,
            "max_attempts": 6,
            "max_retry_after_s": 1.0,
            "may_probe": True,
            "most_held": 20000,
            "peers": False,
            "retry_after": True,
            "second_copies": True,
            "streams_per_conn": 100,
        },
        "classes": classes,
        "clients": {"marks_retry": False},
        "extra": {
            "counter_price": 0.02,
            "counter_timeout_s": 0.05,
            "has_counter": True,
            "metering_s": 0.0,
            "most_units": 1,
            "peer_in_per_s": 0.0,
            "settles": False,
        },
        "goal": {"whole": 0.5, "worst_class": 0.1, "worst_tenant": 0.15, "worst_window": 0.25},
        "host_types": ["small-2c"],
        "membership_mode": "push",
        "penalties": {"late_fail": 0.08, "probe": 0.022, "waste": 0.16},
        "report": {"columns": ["latency_ms"], "how": "pull"},
        "rules": {
            "answer_slack_s": 0.016,
            "ask_within_s": 10.0,
            "cold_share": 0.15,
            "drain_grace_s": 1.0,
            "fall_multiple": 3.0,
            "fall_s": 1.0,
            "warm_up_s": 18.0,
        },
        "service_type": "gate",
        "tariffs": plans,
        "tiers": ["katalog-servers"],
        "weight_source": "silent",
        "zones": ["hallen-norrvik"],
    }


class Gateway:
    """One gateway, started by the command `run` of the deploy file."""

    def __init__(self, stage: Stage, index: int) -> None:
        self.stage = stage
        self.index = index
        self.port = free_port()
        self.starts = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.config_path = stage.folder / f"config-{index}.json"
        self.log_path = stage.folder / f"log-{index}.txt"

    @property
    def name(self) -> str:
        """The gateway's name."""
        return f"n{self.index}"

    @property
    def pid(self) -> int:
        """The process id."""
        assert self.process is not None
        return self.process.pid

    @property
    def status(self) -> int | None:
        """The exit status; None while it runs."""
        assert self.process is not None
        return self.process.poll()

    def write_config(self) -> None:
        """Write the configuration with the present addresses and list."""
        stage = self.stage
        self.starts += 1
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{stage.discovery.port}",
            "counter": f"{HOST}:{stage.counter.port}",
            "seed": f"{0x8C1F30D27A5BE964 + 977 * self.index + self.starts:x}",
            "limits": stage.limits,
            "known": json.loads(stage.discovery.whole()),
            "settings": stage.settings | {"me": self.index},
        }
        text = json.dumps(config)
        new_path = self.config_path.with_suffix(".new")
        new_path.write_text(text)
        new_path.replace(self.config_path)

    def start(self) -> None:
        """Start the process."""
        self.write_config()
        temporary = self.stage.folder / f"tmp-{self.index}-{self.starts}"
        temporary.mkdir()
        env = dict(os.environ) | {
            "NODE_NAME": self.name,
            "NODE_LISTEN": f"{HOST}:{self.port}",
            "NODE_DISCOVERY": f"{HOST}:{self.stage.discovery.port}",
            "NODE_CONFIG": str(self.config_path),
            "TMPDIR": str(temporary),
        }
        env.pop("PYTHONPATH", None)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_command()], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.stage.record.add(f"{self.name} started")

    async def wait_ready(self) -> None:
        """Wait until it answers the readiness check with 200."""
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            if self.status is not None:
                raise CannotRunError(f"{self.name} ended with {self.status}")
            with contextlib.suppress(*SERVER_LOST):
                if await readiness(self.port) == OK:
                    self.stage.record.add(f"{self.name} ready")
                    return
            await asyncio.sleep(0.02)
        raise CannotRunError(f"{self.name} is not ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)
            self.stage.record.add(f"{number.name} to {self.name}")

    def end(self) -> None:
        """Kill the process if it still runs, and wait for it."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()

    def log_lines(self) -> list[str]:
        """Return what the process has written."""
        return self.log_path.read_text(errors="replace").splitlines() if self.log_path.exists() else []


def run_command() -> str:
    """Return the command `run` of the deploy file."""
    with (ROOT / "deploy/balancer.toml").open("rb") as source:
        command: str = tomllib.load(source)["run"]
        return command


async def readiness(port: int) -> int:
    """Return the status of a gateway's readiness check."""
    async with asyncio.timeout(2.0):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
            _, head = await read_head(reader)
            return int(head.split()[1])
        finally:
            writer.close()


@dataclass
class Ask:
    """What a client asks; the defaults are those of a read in the first plan.

    Attributes:
        request_id: The request's id.
        class_name: The class.
        plan: The plan's name.
        customer: The customer.
        seconds: How long the client waits.
        key: The idempotency key; empty for a class without one.
        method: HTTP method.
        body: The body.
        spread: How many gateways serve the customer.
        extra: Further header lines.
    """

    request_id: str
    class_name: str = "listing-read"
    plan: str = "stor"
    customer: int = 1
    seconds: float = 1.5
    key: str = ""
    method: str = "GET"
    body: bytes = b""
    spread: int = 1
    first: int = 0
    extra: bytes = b""

    def encode(self) -> bytes:
        """Return the request as a client writes it."""
        lines = [
            f"{self.method} /{self.class_name}?customer={self.customer:016x} HTTP/1.1",
            "Host: origin.svc",
            f"Request-Id: {self.request_id}",
            f"Request-Class: {self.class_name}",
            f"X-Tier: {self.plan}",
            f"Request-Timeout: {round(self.seconds * 1000)}m",
            f"X-Call-Terms: units=1,spread={self.spread},first={self.first}",
        ]
        if self.key:
            lines.append(f"Idempotency-Key: {self.key}")
        if self.method == "POST":
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode() + b"\r\n" + self.extra + b"\r\n" + self.body


@dataclass
class Reply:
    """What a client has seen of one request.

    Attributes:
        ask: The request.
        gateway: Name of the gateway.
        sent_at: Unix time at which its last byte was written, in seconds.
        ended_at: Unix time of the answer's last byte, or of the connection's end.
        status: The answer's status; 0 if the connection ended without a whole answer, -1 if nothing came.
        body: The answer's body.
        headers: The answer's headers.
    """

    ask: Ask
    gateway: str = ""
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = -1
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    note: str = ""

    @property
    def late_by(self) -> float:
        """Seconds by which it came after the client's time."""
        return self.ended_at - self.sent_at - self.ask.seconds


class Client:
    """One client's connection to a gateway; it sends one request at a time."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(HOST, self.gateway.port, limit=1 << 20)

    async def ask(self, ask: Ask, patience: float = 1.5) -> Reply:
        """Send a request and wait for its answer, for some time beyond what the request says."""
        if self.writer is None:
            await self.connect()
        assert self.writer is not None
        reply = Reply(ask, self.gateway.name)
        self.writer.write(ask.encode())
        reply.sent_at = time.time()
        await self.finish(reply, patience)
        return reply

    async def finish(self, reply: Reply, patience: float) -> None:
        """Wait for the answer to a request that has been sent."""
        assert self.reader is not None
        try:
            async with asyncio.timeout(reply.sent_at + reply.ask.seconds + patience - time.time()):
                await self._read_answer(reply)
        except TimeoutError:
            reply.note = "nothing came; the client goes"
            self.close()
        except SERVER_LOST as error:
            reply.status = 0
            reply.note = f"connection ended: {type(error).__name__}"
            self.close()
        reply.ended_at = time.time()

    async def _read_answer(self, reply: Reply) -> None:
        assert self.reader is not None
        _, head = await read_head(self.reader)
        start, reply.headers = parse_headers(head)
        if "content-length" in reply.headers:
            reply.body = await self.reader.readexactly(int(reply.headers["content-length"]))
        else:
            reply.body = await self.reader.read()
        reply.status = int(start.split()[1])
        if reply.headers.get("connection", "").lower() == "close":
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Stage:
    """Everything of one case: gateways, stand-ins, the record and the temporary folder."""

    def __init__(self, folder: Path, settings: dict[str, Any], servers: int = 3, gateways: int = 1) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.settings = settings
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.servers = [Server(0x5BE2A000 + number) for number in range(servers)]
        self.discovery = Discovery(self.servers)
        self.counter = Counter()
        self.gateways = [Gateway(self, index) for index in range(gateways)]
        self.replies: list[Reply] = []

    async def __aenter__(self) -> Stage:
        for server in self.servers:
            await server.start()
        await self.discovery.start()
        await self.counter.start()
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        return self

    async def __aexit__(self, *_: object) -> None:
        for gateway in self.gateways:
            gateway.end()
            self.record.section(f"log of {gateway.name}", gateway.log_lines()[-60:])
        self.record.write()
        shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def arrivals(self) -> list[Arrival]:
        """All requests that reached a server, in the order of their last bytes."""
        every = [arrival for server in self.servers for arrival in server.arrivals]
        return sorted(every, key=lambda arrival: arrival.at)

    def arrivals_of(self, request_id: str) -> list[Arrival]:
        """Return the attempts of one request that reached a server."""
        return [arrival for arrival in self.arrivals if arrival.request_id == request_id]

    def note_reply(self, reply: Reply) -> None:
        """Record a request and its answer."""
        self.replies.append(reply)
        ask = reply.ask
        self.record.add(
            f"sent {ask.request_id} {ask.class_name} {ask.seconds}s to {reply.gateway}", reply.sent_at
        )
        self.record.add(
            f"answer to {ask.request_id}: {reply.status} {reply.body[:60]!r} {reply.note}", reply.ended_at
        )

    def note_arrivals(self) -> None:
        """Record every request that reached a server."""
        for arrival in self.arrivals:
            self.record.add(
                f"ran {arrival.request_id} at {arrival.server} (connection {arrival.connection}, "
                f"request {arrival.index_on_connection}): {arrival.outcome}",
                arrival.at,
            )


def run_case(case: Callable[[], Awaitable[list[str]]], record_folder: Path) -> None:
    """Run a case, print its result, and exit with its status."""
    sys.unraisablehook = lambda _: None  # connections that are open at the end need no message
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    try:
        faults = asyncio.run(_limited(case))
    except (Exception, asyncio.CancelledError) as error:  # whatever it is, it is no result
        message = f"could not run: {type(error).__name__}: {error}"
        (record_folder / "record.txt").open("a").write(message + "\n")
        sys.stdout.write(f"{message}\n")
        sys.exit(NOT_RUN)
    result = ["rule broken:", *faults] if faults else ["rule held"]
    sys.stdout.write("\n".join(result) + "\n")
    with (record_folder / "record.txt").open("a") as record:
        record.write("\n" + "\n".join(result) + "\n")
    sys.exit(BROKEN if faults else HELD)


async def _limited(case: Callable[[], Awaitable[list[str]]]) -> list[str]:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)  # to end the processes
    async with asyncio.timeout(RUN_SECONDS):
        return await case()
