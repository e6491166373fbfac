"""What a connection to an agent makes of the bytes that come on it."""

from __future__ import annotations

import asyncio
import json

import pytest

from gateway.discovery import watch_connection
from tests.support.discovery import discovering, update_json
from tests.support.harness import async_test
from tests.support.sockets import FakeDiscoveryAgent, host_line, http_response, until


# Guards against changes that are never read as they come over several lines, or late as what ends them is
# the next line's first byte; and against a chunk that ends anywhere.
@pytest.mark.parametrize("size", [1, 7, 100_000])
@pytest.mark.parametrize("indent", [None, 0, 2])
@async_test
async def test_changes_are_read_however_they_are_written(size: int, indent: int | None) -> None:
    line = host_line('s-"{[', "127.0.0.1:81")
    raw = json.loads(update_json(42, line, line | {"host": "s-00000008"}))
    text = json.dumps(raw, indent=indent).encode() + b"\n\n" + json.dumps(raw | {"seq": 43}).encode()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(http_response(body=json.dumps(raw | {"seq": 41, "whole": True}, indent=1).encode()))
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for start in range(0, len(text), size):
            part = text[start : start + size]
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()
        await reader.read()

    async with discovering(handle) as (_, received):
        await until(lambda: len(received.updates) == 3)
        assert received.versions == [41, 42, 43]
        assert all(len(update.records) == 2 for update in received.updates)


@async_test
async def test_a_list_that_is_too_long_ends_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_connection, "MAX_UPDATE_BYTES", 1000)

    async def endless(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        agent.targets.append("")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + b"x" * 2048 + b"\r\n")
        await reader.read()

    agent = FakeDiscoveryAgent()
    async with discovering(endless) as (_, received):
        await until(lambda: len(agent.targets) == 2)
        assert not received.updates
