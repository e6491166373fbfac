"""Answers that come spoilt, or with more than belongs to them, over loopback sockets."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest

from gateway.policy.actions import Action, Fail, StartAttempt
from gateway.policy.events import AttemptFinished, ClientDisconnected, Outcome, Request
from gateway.upstream import client as upstream
from tests.support.sockets import (
    FIRST,
    FakeEndpoint,
    HttpClient,
    Message,
    http_response,
    listening,
    read_message,
    run,
    running_gateway,
    send_on,
    until,
)


def echo(message: Message) -> bytes:
    return http_response(body=message.headers["request-id"].encode())


def in_turn() -> Callable[[Any], list[Action]]:
    """Sends one request at a time: the next goes out with the news of the last one's end."""
    waiting: list[int] = []

    def react(event: Any) -> list[Action]:
        if isinstance(event, Request):
            waiting.append(event.request_id)
            return [StartAttempt(event.request_id, FIRST, 0.0)] if len(waiting) == 1 else []
        if isinstance(event, AttemptFinished):
            waiting.pop(0)
            following: list[Action] = [StartAttempt(waiting[0], FIRST, 0.0)] if waiting else []
            return following if event.outcome is Outcome.OK else [Fail(event.request_id), *following]
        return []

    return react


# Guards against passing on what stands behind an answer as the answer to the next request: that one is
# started by the news of the first, on a connection that still brings a second copy or noise.
@pytest.mark.parametrize(
    "behind", [http_response(body=b"a second copy"), b"\x00\x01 noise", b"HTTP/1.1 2"], ids=range(3)
)
def test_what_stands_behind_an_answer_is_not_the_next_ones(behind: bytes) -> None:
    async def test() -> None:
        backend = FakeEndpoint(lambda message: echo(message) + behind)
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=in_turn()) as (door, script),
            HttpClient(door.listener) as one,
            HttpClient(door.listener) as two,
        ):
            one.writer.write(one.request(Request_Id="one"))
            two.writer.write(two.request(Request_Id="two"))
            answers = [await read_message(c.reader) for c in (one, two)]
            assert [(a.status, a.body) for a in answers] == [(200, b"one"), (200, b"two")]
            assert script.outcomes() == [Outcome.OK, Outcome.OK]
            assert backend.opened == 2  # such a connection is of no further use

    run(test())


# Guards against the same where the bytes come when the connection is idle, and the loop has not read them
# when the next attempt wants a connection.
def test_an_idle_connection_with_bytes_to_read_carries_no_attempt() -> None:
    async def test() -> None:
        writers: list[asyncio.StreamWriter] = []

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            while True:
                writer.write(echo(await read_message(reader)))

        async with (
            listening(handle) as dial,
            running_gateway(dial, react=send_on) as (door, _),
            HttpClient(door.listener) as client,
        ):
            assert (await client.ask(Request_Id="one")).body == b"one"
            (pool,) = door.driver.upstream.pools.values()
            (link,) = pool.idle
            assert link.usable()
            # No step of the loop lies between these: the bytes are in the socket, not yet read.
            writers[0].write(http_response(body=b"a late second copy"))
            assert not link.usable()
            results: list[Any] = []
            payload = b"GET / HTTP/1.1\r\nRequest-Id: two\r\n\r\n"
            door.driver.upstream.start_attempt(FIRST, payload, 1.0, results.append)
            await until(lambda: results)
            assert results[0].body == b"two"

    run(test())


# Guards against the same where the second answer comes some milliseconds late, when the next request would
# be out on its connection: until then it is not used again.
def test_a_late_second_answer_is_not_the_next_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream, "REST", 1.0)

    async def test() -> None:
        seen: list[str] = []

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                message = await read_message(reader)
                seen.append(message.headers["request-id"])
                writer.write(echo(message))
                if len(seen) == 1:
                    await until(lambda: script.outcomes())  # the next request goes out with this news
                    await asyncio.sleep(0.005)
                    writer.write(echo(message))

        async with (
            listening(handle) as dial,
            running_gateway(dial, react=in_turn()) as (door, script),
            HttpClient(door.listener) as one,
            HttpClient(door.listener) as two,
        ):
            one.writer.write(one.request(Request_Id="one"))
            two.writer.write(two.request(Request_Id="two"))
            answers = [await read_message(c.reader) for c in (one, two)]
            assert [(a.status, a.body) for a in answers] == [(200, b"one"), (200, b"two")]
            assert script.outcomes() == [Outcome.OK, Outcome.OK] and seen == ["one", "two"]

    run(test())


# Guards a connection that has rested against being passed over, and what waits for one against being sent
# on after its client has left.
def test_what_waits_for_a_connection_to_rest_is_not_sent_once_its_client_has_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upstream, "REST", 0.3)

    async def test() -> None:
        backend = FakeEndpoint(echo)
        async with listening(backend.handle) as dial, running_gateway(dial, react=send_on) as (door, script):
            async with HttpClient(door.listener) as client:
                assert (await client.ask(Request_Id="one")).body == b"one"
                client.writer.write(client.request(2, Request_Id="two"))
                await until(lambda: door.driver.upstream.pools[FIRST].waiting)
            await until(lambda: script.of(ClientDisconnected))
            assert script.outcomes() == [Outcome.OK, Outcome.NOT_STARTED]
            async with HttpClient(door.listener) as client:
                assert (await client.ask(Request_Id="three")).body == b"three"
            assert [m.headers["request-id"] for m in backend.seen] == ["one", "three"]

    run(test())


@pytest.mark.parametrize(
    "spoilt",
    [
        b"\x16\x03\x01 noise\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\n" + b"X-Pad: and so on\r\n" * 2000,  # a head that does not end
        b"HTTP/1.1 200 OK\r\nX-Pad: " + b"x" * 20_000,
        b"HTTP/1.1 100 Continue\r\n\r\n" * 1000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"400\r\n" + b"x" * 1024 + b"\r\n" * 100,
        b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + http_response(),
    ],
    ids=range(10),
)
def test_a_spoilt_answer_ends_its_attempt_at_once_and_may_have_run(spoilt: bytes) -> None:
    async def test() -> None:
        backend = FakeEndpoint(lambda message: spoilt)
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=send_on) as (door, script),
            HttpClient(door.listener) as client,
        ):
            assert (await client.ask()).status == 502
            # Not RESET, which keeps the module off a backend: spoilt answers come from well ones.
            assert script.outcomes() == [Outcome.ERROR] and not Outcome.ERROR.never_ran
            (finished,) = script.of(AttemptFinished)
            assert finished.elapsed < 2  # it does not hang until the client's time is nearly up
            await until(lambda: not backend.open)

    run(test())


@pytest.mark.parametrize(
    "load",
    ["TEXT util=none", "TEXT queue=1_0, util=0.5, latency_ms=3", "=,=,", "TEXT \xff\xfe", "nan"],
    ids=range(5),
)
def test_an_unreadable_report_does_not_spoil_a_good_answer(load: str) -> None:
    async def test() -> None:
        def answer(message: Message) -> bytes:
            early = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
            head = f"HTTP/1.1 200 OK\r\nServer-Load: {load}\r\nContent-Length: 4\r\n\r\n"
            return early + head.encode("latin-1") + b"done"

        backend = FakeEndpoint(answer)
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=send_on) as (door, script),
            HttpClient(door.listener) as client,
        ):
            for _ in range(2):
                served = await client.ask()
                assert (served.status, served.body) == (200, b"done")
            assert [e.load_report for e in script.of(AttemptFinished)] == [(), ()]
            assert backend.opened == 1  # the connection goes on being used

    run(test())


# Guards against sending on an old backend's connections, or what is meant for it, to a new one that listens
# where it did: the new one is cold, and its kept answers are its own.
def test_a_new_backend_at_an_old_address_does_not_get_the_old_ones_attempts() -> None:
    async def test() -> None:
        backend = FakeEndpoint(echo)
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=send_on) as (door, script),
            HttpClient(door.listener) as client,
        ):
            assert (await client.ask()).status == 200
            upstream = door.driver.upstream
            upstream.set_endpoint(9, upstream.pools[FIRST].address, 0.0)
            await until(lambda: not backend.open)
            assert (await client.ask()).status == 502  # still meant for the old one
            assert script.outcomes() == [Outcome.OK, Outcome.CONNECT_FAILED]
            assert len(backend.seen) == 1 and list(upstream.pools) == [9]

    run(test())


# Guards against a whole answer that is taken for a broken one, and its request sent again, as it tells no
# length and ends with its connection; and against half of one taken for the whole: a reset is no end.
@pytest.mark.parametrize("end", ["close", "reset", "close before the head's end", "close within a length"])
def test_an_answer_with_no_length_ends_with_its_connection_but_not_by_a_reset(end: str) -> None:
    async def test() -> None:
        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            head = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
            if end == "close within a length":
                head += b"Content-Length: 9\r\n"
            if end == "close before the head's end":
                return writer.write(head)
            writer.write(head + b"\r\nsome")
            await writer.drain()
            await asyncio.sleep(0.05)
            if end == "reset":
                inner = writer.get_extra_info("socket")
                inner.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                return writer.transport.abort()
            writer.write(b"thing" if end == "close" else b"")

        async with (
            listening(handle) as dial,
            running_gateway(dial, react=send_on) as (door, script),
            HttpClient(door.listener) as client,
        ):
            answer = await client.ask(2)
            whole = end == "close"
            assert (answer.status, answer.body) == ((200, b"something") if whole else (502, b""))
            assert script.outcomes() == [Outcome.OK if whole else Outcome.RESET]
            assert not door.driver.upstream.pools[FIRST].idle

    run(test())
