"""Discovery: the watch on the list of backends, and their names as the module's ids."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import time
from collections.abc import Callable
from hashlib import blake2b
from typing import Any, cast

import httptools

from gateway.config import Address, ConfigError, parse_address, plain
from gateway.discovery.json_stream import JsonStream
from gateway.policy.events import EndpointRecord, EndpointState, EndpointUpdate, UpdateKind

MOST_LIST = (
    1 << 20
)  # bytes of a list or a change, room for thousands of backends; a longer one ends the watch
SILENT_AFTER = 3.0  # seconds: an empty line comes every 2 s while the agent is well
# Seconds between tries to watch: well within a drain grace.  Behind a silence four tries may come to nothing,
# and a fifth still has the time to be told in 6 s.
RETRY_FIRST, RETRY_MOST = 0.25, 0.5
TRY_FOR = 1.0  # seconds without a byte after which a try is given up: the agent is on this machine
LIST_FOR = 5.0  # seconds in which a try's whole list has to be there
MOST_TRIES = 8  # connections to one agent, which take descriptors: the watch, and tries for 3 s at that pace
STATES = {"Ready": EndpointState.READY, "Terminating": EndpointState.DRAINING, "Gone": EndpointState.GONE}

log = logging.getLogger(__name__)
EndpointListener = Callable[[EndpointUpdate, dict[int, Address]], None]


def backend_id(name: str) -> int:
    """The module's id of a backend, derived from the name alone so that every front door has the same."""
    prefix, _, digits = name.partition("-")
    if prefix == "s" and len(digits) == 8 and all(c in "0123456789abcdef" for c in digits):
        return int(digits, 16)
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


class EndpointDecoder:
    """Turns discovery's lines into the module's lists."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.zones = {name: number for number, name in enumerate(zones)}
        self.machine_types = {name: number for number, name in enumerate(kinds)}
        self.host_names: dict[int, str] = {}  # two names with one id would be taken for one backend

    def decode_record(self, raw: Any) -> tuple[EndpointRecord, Address]:
        state = STATES[raw["health"]]
        name = str(raw["host"])
        number = backend_id(name)
        if self.host_names.setdefault(number, name) != name:
            raise ValueError(f"{name} has the id of {self.host_names[number]}")
        return EndpointRecord(
            endpoint_id=number,
            zone=self.zones[plain(raw["site"])],
            started_at=float(raw["born_ms"]) / 1000,
            state=state,
            machine_type=self.machine_types[plain(raw["class"])],
            cell=int(raw["block"]),
            weight=float(raw["share"]),
        ), parse_address(raw["dial"])

    def decode_update(self, raw: Any, cached: bool = False) -> tuple[EndpointUpdate, dict[int, Address]]:
        """One line as a list or a change; entries that make no sense are logged and left out."""
        if not isinstance(raw, dict) or not isinstance(raw.get("hosts"), list):
            raise ValueError("not a list of hosts")
        listing = (
            UpdateKind.CACHED if cached else UpdateKind.SNAPSHOT if raw.get("whole") else UpdateKind.DELTA
        )
        version = int(raw["seq"])
        known = self.host_names
        if listing is not UpdateKind.DELTA:
            self.host_names = {}
        entries, addresses = [], {}
        for item in raw["hosts"]:
            try:
                entry, address = self.decode_record(item)
            except (ConfigError, KeyError, TypeError, ValueError) as error:
                log.warning("discovery: entry skipped: %s: %s", type(error).__name__, error)
                continue
            entries.append(entry)
            addresses[entry.endpoint_id] = address
            if entry.state is EndpointState.GONE:
                del self.host_names[entry.endpoint_id]  # ids are ever new: kept ones would pile up
        if raw["hosts"] and not entries and listing is not UpdateKind.DELTA:
            self.host_names = known
            raise ValueError("no entry can be read")  # must not empty the fleet
        return EndpointUpdate(listing, version, tuple(entries)), addresses


class WatchConnection(asyncio.Protocol):
    """One connection: the whole list first, then a watch, a chunked answer with JSON objects one by one.

    The whole list comes first each time, as the version to go on from may mean nothing to this agent.
    """

    def __init__(self, source: AgentWatch) -> None:
        self.source = source
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.watching = False
        self.answered = False  # whether anything has come
        self.rest = b""  # of the whole list
        self.documents = JsonStream()
        self.heard_at = time.monotonic()  # while the list comes any bytes, then a document or an empty line
        self.lost: asyncio.Future[None] = source.owner.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        self.heard_at = time.monotonic()
        self.ask("/api/targets")

    def ask(self, target: str) -> None:
        assert self.transport is not None
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        if not self.watching:
            self.answered = True
            self.heard_at = time.monotonic()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:  # framing is lost
            self.end(str(error))

    def on_headers_complete(self) -> None:
        if self.parser.get_status_code() != 200:
            self.end(f"answered {self.parser.get_status_code()}")

    def on_body(self, body: bytes) -> None:
        if not self.watching:
            self.rest += body
        else:
            for document in self.documents.feed(body):
                self.heard_at = time.monotonic()
                if document and not self.source.change(self, document):
                    self.source.doubt(self)
        if len(self.rest) + len(self.documents.rest) > MOST_LIST:
            self.end("a list without an end")

    def on_message_complete(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self.watching:
            self.transport.close()
        elif not self.source.whole(self, self.rest):
            self.end("no whole list")
        else:
            self.watching, self.rest = True, b""
            self.ask(f"/api/targets?watch=1&from={self.source.seq}")

    def end(self, why: str) -> None:
        if self.transport is not None and not self.transport.is_closing():
            log.warning("discovery: watch ended: %s", why)
            self.transport.abort()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.lost.done():
            self.lost.set_result(None)
        self.source.news.set()


class AgentWatch:
    """One agent's address, watched until it is closed.

    An agent that is cut off says nothing, and what is written to it then it may never answer.  What it gets
    at its return counts at once, and the drain grace may be a second.  So a watch that is silent is not
    waited for: connections are tried one after another until one brings the whole list and takes over.
    Tries that drip must not keep others from being made: once there are too many, the oldest gives way.
    """

    def __init__(self, owner: DiscoveryClient, address: Address) -> None:
        self.owner, self.address = owner, address
        self.seq = -1  # of the last list or change; each agent may count on its own
        self.watch: WatchConnection | None = None  # the one that brought the list
        self.doubted = False  # whether something on it could not be read: a change may be lost with that
        self.tries: dict[
            WatchConnection, asyncio.Task[None]
        ] = {}  # connections, the watch among them, oldest first
        self.news = asyncio.Event()  # the watch has begun, ended or become doubtful
        self.task = owner.loop.create_task(self.run())

    def well_for(self) -> float:
        """Seconds for which the watch needs no other one beside it."""
        watch = self.watch
        if watch is None or watch.lost.done() or self.doubted:
            return 0.0
        return watch.heard_at + SILENT_AFTER - time.monotonic()

    async def run(self) -> None:
        wait, began = RETRY_FIRST, -RETRY_MOST
        last: WatchConnection | None = None  # the newest try
        while True:
            if (well := self.well_for()) > 0:
                self.news.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(well):
                        await self.news.wait()
                continue
            # Who answers, but nothing of use, must not be hammered.
            coming = [watch for watch in self.tries if watch is not self.watch]
            answered = any(watch.answered for watch in ([*coming, last] if last else coming))
            lasted = time.monotonic() - began > 2 * RETRY_MOST
            wait = min(RETRY_MOST, 2 * wait) if answered and not lasted else RETRY_FIRST
            last, began = self.try_anew(), time.monotonic()
            await asyncio.sleep(wait)

    def try_anew(self) -> WatchConnection:
        while len(self.tries) >= MOST_TRIES:
            self.give_up(next(watch for watch in self.tries if watch is not self.watch))
        watch = WatchConnection(self)
        self.tries[watch] = task = self.owner.loop.create_task(self.attempt(watch))
        task.add_done_callback(lambda _: self.tries.pop(watch, None))
        return watch

    def give_up(self, watch: WatchConnection) -> None:
        """Nothing that comes on it from now on is heard."""
        watch.abort()
        self.tries.pop(watch).cancel()

    async def attempt(self, watch: WatchConnection) -> None:
        """Open a connection and wait for its whole list, then until it is lost or another takes over."""
        began = time.monotonic()
        try:
            async with asyncio.timeout(TRY_FOR):
                await self.owner.loop.create_connection(lambda: watch, self.address.host, self.address.port)
            while not watch.lost.done() and not watch.watching:
                left = min(watch.heard_at + TRY_FOR, began + LIST_FOR) - time.monotonic()
                if left <= 0:
                    return
                await asyncio.wait([watch.lost], timeout=left)
            await watch.lost
        except (OSError, TimeoutError):
            return
        finally:
            watch.abort()

    def read(self, document: bytes) -> tuple[EndpointUpdate, dict[int, Address]] | None:
        try:
            return self.owner.decoder.decode_update(json.loads(document))
        except (KeyError, TypeError, ValueError, RecursionError) as error:
            log.warning("discovery: list skipped: %s: %s", type(error).__name__, error)
            return None

    def whole(self, watch: WatchConnection, document: bytes) -> bool:
        """Take a new connection's whole list; the watch before it and other tries are of no further use."""
        told = self.read(document)
        if told is None or told[0].kind is not UpdateKind.SNAPSHOT:
            return False
        self.watch, self.doubted = watch, False
        # A list that is still coming on another was made before this one: it must not replace it.
        for other in [other for other in self.tries if other is not watch]:
            self.give_up(other)
        self.owner.takes_over(self)
        self.tell(told)
        return True

    def change(self, watch: WatchConnection, document: bytes) -> bool:
        """Tell of what comes on the watch; false for what cannot be read or is older than what is known."""
        if watch is not self.watch or self is not self.owner.agent_watches[0]:
            return True  # another has taken over
        told = self.read(document)
        if told is None:
            return False
        members = told[0]
        if members.version < self.seq or (members.kind is UpdateKind.DELTA and members.version == self.seq):
            # A change that is known already.  A list from before may be one of an agent that counts anew.
            return members.kind is UpdateKind.DELTA
        self.tell(told)
        return True

    def tell(self, told: tuple[EndpointUpdate, dict[int, Address]]) -> None:
        self.seq = told[0].version
        self.owner.tell(*told)

    def doubt(self, watch: WatchConnection) -> None:
        """Ask for the whole list again on another connection; meanwhile this one is heard."""
        if watch is self.watch:
            self.doubted = True
            self.news.set()

    def close(self) -> None:
        self.task.cancel()
        for watch in list(self.tries):
            self.give_up(watch)


class DiscoveryClient:
    """Keeps a watch open and tells of every list and change."""

    def __init__(self, address: Address, names: EndpointDecoder, heard: EndpointListener) -> None:
        self.decoder, self.on_update = names, heard
        self.loop = asyncio.get_running_loop()
        self.first_update: asyncio.Future[None] = self.loop.create_future()  # done once a first list has come
        self.agent_watches = [AgentWatch(self, address)]  # the one in use, then one that is to take over

    def change_address(self, address: Address) -> None:
        """Watch another address.  The list stays, and the old watch is heard, until a whole list comes."""
        if address != self.agent_watches[-1].address:
            for source in self.agent_watches[1:]:
                source.close()
            self.agent_watches[1:] = [AgentWatch(self, address)]

    def takes_over(self, source: AgentWatch) -> None:
        while self.agent_watches[0] is not source:
            self.agent_watches.pop(0).close()

    def tell(self, members: EndpointUpdate, addresses: dict[int, Address]) -> None:
        self.on_update(members, addresses)
        if not self.first_update.done():
            self.first_update.set_result(None)

    def close(self) -> None:
        for source in self.agent_watches:
            source.close()
