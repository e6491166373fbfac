"""One connection to a discovery agent: parsing of the received bytes, and the bound on their size."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

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

if TYPE_CHECKING:
    import asyncio


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
