"""One connection to a discovery agent: parsing of the received bytes, and the bound on their size."""

from __future__ import annotations

import asyncio
import json

import pytest

from gateway.discovery import watch_connection
from testbed.fake_discovery import FakeDiscoveryAgent, host_entry
from testbed.http_messages import http_response
from tests.support.discovery import (
    CHUNKED_RESPONSE_HEAD,
    END_OF_HEAD,
    FIRST_VERSION,
    discovery_client_for,
    update_json,
)
from tests.support.event_loop import async_test, until
from tests.support.hold_meter import MAX_HOLD_SECONDS, hold_meter

SETTLE_SECONDS = 0.3


class ChunkedTextAgent(FakeDiscoveryAgent):
    """An agent that sends a given text on its watch, in chunks of a given size in bytes."""

    def __init__(self, snapshot: bytes, text: bytes, chunk_size: int) -> None:
        super().__init__(snapshot=snapshot)
        self.text = text
        self.chunk_size = chunk_size

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(END_OF_HEAD)
        writer.write(http_response(body=self.snapshot))
        await reader.readuntil(END_OF_HEAD)
        writer.write(CHUNKED_RESPONSE_HEAD)
        for start in range(0, len(self.text), self.chunk_size):
            chunk = self.text[start : start + self.chunk_size]
            writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
            await writer.drain()
        await reader.read()


# Guards against updates that are lost because they span several lines or chunks, and against updates that are
# not applied until the next one begins.
@pytest.mark.parametrize("size", [1, 7, 100_000])
@pytest.mark.parametrize("indent", [None, 0, 2])
@async_test
async def test_updates_are_applied_however_they_are_formatted_and_chunked(
    size: int, indent: int | None
) -> None:
    entry = host_entry('s-"{[', "127.0.0.1:81")
    raw = json.loads(update_json(42, entry, entry | {"host": "s-00000008"}))
    snapshot = json.dumps(raw | {"seq": FIRST_VERSION, "whole": True}, indent=1).encode()
    text = json.dumps(raw, indent=indent).encode() + b"\n\n" + json.dumps(raw | {"seq": 43}).encode()
    agent = ChunkedTextAgent(snapshot, text, size)
    async with discovery_client_for(agent.handle) as (_, received):
        await until(lambda: len(received.updates) == 3)
        assert received.versions == [FIRST_VERSION, 42, 43]
        assert all(len(update.records) == 2 for update in received.updates)


class EndlessSnapshotAgent(FakeDiscoveryAgent):
    """An agent whose snapshot does not end."""

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(END_OF_HEAD)
        self.targets.append("")
        writer.write(CHUNKED_RESPONSE_HEAD + b"800\r\n" + b"x" * 0x800 + b"\r\n")
        await reader.read()


@async_test
async def test_a_snapshot_that_is_too_long_closes_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_connection, "MAX_UPDATE_BYTES", 1000)
    agent = EndlessSnapshotAgent()
    async with discovery_client_for(agent.handle) as (_, received):
        await until(lambda: len(agent.targets) == 2)
        assert not received.updates


class PiecesAgent(FakeDiscoveryAgent):
    """An agent that sends given bytes of chunks on its first watch, all at once, and then nothing."""

    def __init__(self, snapshot: bytes, pieces: bytes) -> None:
        super().__init__(snapshot=snapshot)
        self.pieces = pieces
        self.are_sent = False

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(END_OF_HEAD)
        writer.write(http_response(body=self.snapshot))
        await reader.readuntil(END_OF_HEAD)
        writer.write(CHUNKED_RESPONSE_HEAD)
        if not self.are_sent:
            writer.write(self.pieces)
            await writer.drain()
            self.are_sent = True
        await reader.read()


def one_byte_chunks(text: bytes) -> bytes:
    return b"".join(b"1\r\n%c\r\n" % byte for byte in text)


def one_chunk(text: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text)


# Guards against an agent that holds up the event loop: each piece costs the time of all that came before.
@pytest.mark.parametrize(
    "pieces",
    [
        pytest.param(one_byte_chunks(b'{"' + b"a" * 30_000), id="string in one-byte chunks"),
        pytest.param(one_byte_chunks(b'{"' + b'\\"' * 15_000), id="escapes in one-byte chunks"),
        pytest.param(one_chunk(b'"' + b'\\"' * 30_000 + b"\n"), id="string that a newline cuts off"),
        pytest.param(one_chunk(b"\n" * 250_000), id="heartbeats"),
        pytest.param(one_chunk(b"{}" * 20_000), id="documents that are not updates"),
        pytest.param(one_chunk(b"[" * 250_000), id="brackets"),
    ],
)
@async_test
async def test_small_pieces_of_an_agent_do_not_hold_up_the_event_loop(pieces: bytes) -> None:
    snapshot = update_json(FIRST_VERSION, host_entry("s-00000007", "127.0.0.1:81"), is_snapshot=True)
    agent = PiecesAgent(snapshot, pieces)
    async with hold_meter() as meter, discovery_client_for(agent.handle) as (_, received):
        await until(lambda: agent.are_sent)
        await asyncio.sleep(SETTLE_SECONDS)
        assert received.versions[0] == FIRST_VERSION
    assert meter.longest < MAX_HOLD_SECONDS


# As above, for a list that comes in a chunk for each byte; it is in force all the same.
@async_test
async def test_a_snapshot_in_one_byte_chunks_does_not_hold_up_the_event_loop() -> None:
    hosts = [host_entry(f"s-{number:08x}", "127.0.0.1:81") for number in range(1500)]
    snapshot = update_json(FIRST_VERSION, *hosts, is_snapshot=True)
    response = CHUNKED_RESPONSE_HEAD + one_byte_chunks(snapshot) + b"0\r\n\r\n"

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(END_OF_HEAD)
        writer.write(response)
        await reader.read()

    async with hold_meter() as meter, discovery_client_for(handle) as (_, received):
        await until(lambda: received.updates)
        assert len(received.updates[0].records) == len(hosts)
    assert meter.longest < MAX_HOLD_SECONDS
