"""What a connection to an agent makes of the bytes that come on it."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest

from gateway.discovery import watch_connection
from tests.support.discovery import (
    CHUNKED_RESPONSE_HEAD,
    END_OF_HEAD,
    FIRST_VERSION,
    discovering,
    update_json,
)
from tests.support.event_loop import async_test, until
from tests.support.fake_discovery import FakeDiscoveryAgent, host_entry
from tests.support.http_messages import http_response

if TYPE_CHECKING:
    import asyncio


class WrittenAgent(FakeDiscoveryAgent):
    """An agent whose watch is a given text, in chunks of a given size in bytes."""

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


# Guards against changes that are never read as they come over several lines, or late as what ends them is
# the next line's first byte; and against a chunk that ends anywhere.
@pytest.mark.parametrize("size", [1, 7, 100_000])
@pytest.mark.parametrize("indent", [None, 0, 2])
@async_test
async def test_changes_are_read_however_they_are_written(size: int, indent: int | None) -> None:
    line = host_entry('s-"{[', "127.0.0.1:81")
    raw = json.loads(update_json(42, line, line | {"host": "s-00000008"}))
    whole = json.dumps(raw | {"seq": FIRST_VERSION, "whole": True}, indent=1).encode()
    text = json.dumps(raw, indent=indent).encode() + b"\n\n" + json.dumps(raw | {"seq": 43}).encode()
    agent = WrittenAgent(whole, text, size)
    async with discovering(agent.handle) as (_, received):
        await until(lambda: len(received.updates) == 3)
        assert received.versions == [FIRST_VERSION, 42, 43]
        assert all(len(update.records) == 2 for update in received.updates)


class EndlessAgent(FakeDiscoveryAgent):
    """An agent whose endpoint list does not end."""

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(END_OF_HEAD)
        self.targets.append("")
        writer.write(CHUNKED_RESPONSE_HEAD + b"800\r\n" + b"x" * 0x800 + b"\r\n")
        await reader.read()


@async_test
async def test_a_list_that_is_too_long_ends_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_connection, "MAX_UPDATE_BYTES", 1000)
    agent = EndlessAgent()
    async with discovering(agent.handle) as (_, received):
        await until(lambda: len(agent.targets) == 2)
        assert not received.updates
