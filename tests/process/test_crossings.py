"""Moments at which something ends while something is still owed, forced over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from typing import Any

import pytest

from gateway.__main__ import GatewayProcess
from gateway.frontend.client_connection import ClientConnection
from gateway.policy.actions import Action, Reject, StartAttempt
from gateway.policy.events import (
    AttemptFinished,
    ClientDisconnected,
    EndpointRecord,
    EndpointState,
    EndpointUpdate,
    Outcome,
    Request,
    UpdateKind,
)
from gateway.upstream import connection_pool
from tests.support.sockets import (
    FIRST,
    FakeDiscoveryAgent,
    FakeEndpoint,
    HttpClient,
    config,
    host_line,
    http_response,
    listening,
    run,
    running_gateway,
    send_on,
    until,
)


class Gate:
    """A loop on which connections come up only once they are let."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.asked, self.open = loop, 0, asyncio.Event()
        self.open_for = 0  # a port to which they come up at once
        self.small = False  # whether they hold few bytes

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, protocol: Any, host: str, port: int) -> Any:
        self.asked += 1
        if port != self.open_for:
            await self.open.wait()
        if not self.small:
            return await self.loop.create_connection(protocol, host, port)
        narrow = socket.socket()
        narrow.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        narrow.setblocking(False)
        await self.loop.sock_connect(narrow, (host, port))
        return await self.loop.create_connection(protocol, sock=narrow)


def gated(door: Any) -> Gate:
    door.driver.upstream.loop = gate = Gate(door.driver.upstream.loop)
    return gate


def to_another(event: Any) -> list[Action]:
    """Sends each request to the first backend, then to the second where it never ran."""
    if isinstance(event, AttemptFinished) and event.outcome.never_ran:
        return [StartAttempt(event.request_id, 2, 0.0)]
    return send_on(event)


# Guards against a request written to a backend that was told of as leaving while its connection came up: it
# never ran, so that even one that must not be repeated goes to another.
@pytest.mark.parametrize("how", ["draining", "gone", "left out", "moved"])
def test_what_waits_for_a_connection_is_not_sent_to_a_backend_that_leaves(how: str) -> None:
    async def test() -> None:
        leaving, other = FakeEndpoint(), FakeEndpoint(lambda message: http_response(body=b"other"))
        async with (
            listening(leaving.handle) as first,
            listening(other.handle) as second,
            running_gateway(first, second, react=to_another, caps__connect_timeout_s="5.0") as (door, script),
            HttpClient(door.listener) as client,
        ):
            gate = gated(door)
            waiting = asyncio.create_task(client.ask(2))
            await until(lambda: gate.asked == 1)
            address = door.driver.upstream.pools[FIRST].address
            state = {"draining": EndpointState.DRAINING, "gone": EndpointState.GONE}.get(
                how, EndpointState.READY
            )
            entry = EndpointRecord(FIRST, 0, 9.0 if how == "moved" else 0.0, state, 0, 0, 1.0)
            if how == "left out":
                beside = EndpointRecord(2, 0, 0.0, state, 0, 0, 1.0)
                told = EndpointUpdate(UpdateKind.SNAPSHOT, 42, (beside,))
                door.driver.apply_endpoint_update(told, {2: door.driver.upstream.pools[2].address})
            else:
                door.driver.apply_endpoint_update(
                    EndpointUpdate(UpdateKind.DELTA, 42, (entry,)), {FIRST: address}
                )
            gate.open.set()
            assert (await waiting).body == b"other"
            # The module hears why first: else it could choose the same backend again.
            kinds = [type(e).__name__ for e in script.events]
            assert kinds.index("AttemptFinished") > kinds.index("EndpointUpdate")
            assert script.outcomes() == [Outcome.NOT_STARTED, Outcome.OK]
            await until(lambda: leaving.opened == 1)
            assert not leaving.seen

    run(test())


# Guards against a second copy that is sent on for a client that left while it waited for a connection.
def test_a_second_copy_that_waits_is_not_sent_once_its_client_has_left() -> None:
    def react(event: Any) -> list[Action]:
        if isinstance(event, Request):
            return [StartAttempt(event.request_id, FIRST, 0.0), StartAttempt(event.request_id, 2, 0.0)]
        return []

    async def test() -> None:
        backend, second = FakeEndpoint(lambda message: None), FakeEndpoint()
        async with (
            listening(backend.handle) as first,
            listening(second.handle) as other,
            running_gateway(first, other, react=react, caps__connect_timeout_s="5.0") as (door, script),
        ):
            gate = gated(door)
            gate.open_for = door.driver.upstream.pools[FIRST].address.port
            async with HttpClient(door.listener) as client:
                client.writer.write(client.request())
                await until(lambda: backend.seen and gate.asked == 2)
            await until(lambda: script.outcomes() == [Outcome.NOT_STARTED])
            gate.open.set()
            await until(lambda: door.driver.upstream.pools[2].idle)
            assert not second.seen

    run(test())


# Guards against a request that is sent on for a client that left while it waited for a connection.
def test_what_waits_for_a_connection_is_not_sent_once_its_client_has_left() -> None:
    async def test() -> None:
        backend = FakeEndpoint()
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=send_on, caps__connect_timeout_s="5.0") as (door, script),
        ):
            gate = gated(door)
            async with HttpClient(door.listener) as client:
                client.writer.write(client.request(2))
                await until(lambda: gate.asked == 1)
            await until(lambda: script.outcomes() == [Outcome.NOT_STARTED])
            assert not door.driver.open_requests and not door.listener.open_request_ids
            gate.open.set()
            await until(lambda: door.driver.upstream.pools[FIRST].idle)  # it is paid for and kept
            async with HttpClient(door.listener) as client:
                assert (await client.ask(Request_Id="second")).status == 200
            assert [m.headers["request-id"] for m in backend.seen] == ["second"]

    run(test())


# Guards against a second copy that is written once its connection is up or has rested, when the first has
# brought the answer, or the module has given the request up.
@pytest.mark.parametrize("how", ["connecting", "resting", "given up"])
def test_what_waits_for_a_connection_is_not_sent_after_the_final_answer(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    def react(event: Any) -> list[Action]:
        if isinstance(event, Request):
            copies: list[Action] = [StartAttempt(event.request_id, 2, 0.0)]
            if event.request_id > 1:
                copies.append(
                    Reject(event.request_id, 0.0)
                    if how == "given up"
                    else StartAttempt(event.request_id, FIRST, 0.0)
                )
            return copies
        return []

    async def test() -> None:
        backend, second = FakeEndpoint(), FakeEndpoint()
        async with (
            listening(backend.handle) as first,
            listening(second.handle) as other,
            running_gateway(first, other, react=react, caps__connect_timeout_s="5.0") as (door, script),
            HttpClient(door.listener) as client,
        ):
            if how == "resting":
                assert (await client.ask(Request_Id="warm")).status == 200
                monkeypatch.setattr(connection_pool, "REUSE_DELAY_SECONDS", 0.3)
            else:
                door.driver.last_request_id = 1
                gate = gated(door)
                gate.open_for = door.driver.upstream.pools[FIRST].address.port
            waiting = asyncio.create_task(client.ask(Request_Id="once"))
            assert (await waiting).status == (503 if how == "given up" else 200)
            await until(lambda: Outcome.NOT_STARTED in script.outcomes() and not door.driver.open_requests)
            if how != "resting":
                gate.open.set()
            await until(lambda: door.driver.upstream.pools[2].idle)
            assert "once" not in [m.headers["request-id"] for m in second.seen]

    run(test())


# Guards against requests sent by the list of a process before: what discovery has counts from the first
# moment.  An agent that is away must not keep the start from serving.
@pytest.mark.parametrize("away", [False, True])
def test_a_start_waits_for_the_list_but_not_for_ever(away: bool) -> None:
    async def test() -> None:
        agent, go, began = FakeDiscoveryAgent(), asyncio.Event(), time.monotonic()

        async def late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            await agent.handle(reader, writer)

        old, new = host_line("s-00000001", "127.0.0.1:1"), host_line("s-00000002", "127.0.0.1:2")
        agent.whole = json.dumps({"seq": 42, "whole": True, "hosts": [new]}).encode()
        async with listening(late) as discovery:
            door = GatewayProcess(config([old], discovery=discovery))
            door.endpoint_list_timeout = 0.05 if away else 15.0
            start = asyncio.create_task(door.start())
            if not away:
                await until(lambda: door.discovery.agent_watches[0].connections)
                assert not start.done()
                go.set()
            await start
            assert list(door.driver.upstream.pools) == [1 if away else 2]
            assert time.monotonic() - began < 10
            await door.close()

    run(test())


def connected(door: GatewayProcess) -> socket.socket:
    """A client of the front door that acts between two steps of the loop."""
    assert door.listener.socket_server is not None
    client = socket.create_connection(door.listener.socket_server.sockets[0].getsockname())
    client.setblocking(False)
    return client


REQUEST = (
    b"GET /class-0?customer=0000000000000005 HTTP/1.1\r\nHost: x\r\nRequest-Class: class-0\r\n"
    b"X-Tier: plan-0\r\nRequest-Timeout: 4000m\r\nX-Call-Terms: units=1,spread=3,first=0\r\nRequest-Id: "
)


async def read_all(client: socket.socket) -> bytes:
    loop, data = asyncio.get_running_loop(), b""
    while part := await loop.sock_recv(client, 1 << 16):
        data += part
    return data


async def ask_four(door: GatewayProcess, client: socket.socket, high: int | None = None) -> None:
    """Four requests at once, over a connection that holds few bytes of their answers."""
    await until(lambda: door.listener.connections)
    (served,) = door.listener.connections
    assert served.transport is not None
    inner = served.transport.get_extra_info("socket")
    inner.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    asked = b"".join(REQUEST + b"%d\r\n\r\n" % number for number in range(4))
    served.transport.set_write_buffer_limits(high)
    await asyncio.get_running_loop().sock_sendall(client, asked)


# Guards against a connection that is closed as idle on a request that has come and was not read yet.
@pytest.mark.parametrize("how", ["drain", "idle", "room"])
def test_a_request_that_is_not_read_yet_is_not_closed_on(how: str) -> None:
    async def test() -> None:
        backend = FakeEndpoint()
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=send_on) as (door, _),
        ):
            server = door.listener
            with connected(door) as client:
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(client, REQUEST + b"one\r\n\r\n")
                assert b" 200 OK" in await loop.sock_recv(client, 1 << 16)
                await until(lambda: server.idle_connections)
                (idle,) = server.idle_connections
                assert client.send(REQUEST + b"two\r\n\r\n")  # no step of the loop lies between these
                if how == "drain":
                    server.stop_listening()
                elif how == "idle":
                    idle.queued_since = float("-inf")
                    server.close_overdue_connections()
                else:
                    assert server.choose_evicted(ClientConnection(server)) is not idle
                answer = b""
                while b"done" not in answer:
                    part = await loop.sock_recv(client, 1 << 16)
                    assert part, "closed with no answer"
                    answer += part
                assert b" 200 OK" in answer

    run(test())


# Guards against the end of the process on half a request: once its end is written it counts as taken.
@pytest.mark.parametrize("whole", [True, False])
def test_half_a_request_is_answered_before_the_end(whole: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("gateway.__main__.LINGER", 0.0)

    async def test() -> None:
        backend = FakeEndpoint()
        async with listening(backend.handle) as dial, running_gateway(dial, react=send_on) as (door, _):
            with connected(door) as client:
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(client, REQUEST + b"half")
                await until(lambda: any(c.is_receiving for c in door.listener.new_connections))
                door.drain_timeout = 10.0 if whole else 0.1
                drained = asyncio.create_task(door.drain())
                await until(lambda: door.listener.stopping)
                await asyncio.sleep(0)
                if whole:
                    assert not drained.done()
                    await loop.sock_sendall(client, b"\r\n\r\n")
                answer = await read_all(client)
                client.close()
                await drained
                assert answer.startswith(b"HTTP/1.1 200" if whole else b"HTTP/1.1 503")
                assert b"Connection: close" in answer

    run(test())


# Guards against an end that cuts off the last answers of clients that read slowly.
def test_the_end_waits_for_answers_that_have_not_left(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("gateway.__main__.LINGER", 0.0)
    monkeypatch.setattr("gateway.__main__.FLUSH", 0.1)

    async def test() -> None:
        body = b"x" * 60_000
        backend = FakeEndpoint(lambda message: http_response(body=body))
        async with listening(backend.handle) as dial, running_gateway(dial, react=send_on) as (door, _):
            door.drain_timeout = 10.0
            with connected(door) as client:
                await ask_four(door, client)
                await until(lambda: door.listener.has_unsent_responses() and not door.driver.unanswered)
                drained = asyncio.create_task(door.drain())
                done, _ = await asyncio.wait([drained], timeout=0.3)  # it may not end: nothing is read
                assert not done
                assert (await read_all(client)).count(body) == 4
                client.close()
                await drained

    run(test())


# Guards against a client that leaves unheard while it is not read, as it does not read its answers: what it
# still waits for must not be sent on.
def test_a_client_that_leaves_while_it_is_not_read_is_heard() -> None:
    async def test() -> None:
        backend = FakeEndpoint(lambda message: http_response(body=b"x" * 60_000))

        def react(event: Any) -> list[Action]:
            return [] if getattr(event, "request_id", 0) == 4 else send_on(event)

        async with listening(backend.handle) as dial, running_gateway(dial, react=react) as (door, script):
            with connected(door) as client:
                await ask_four(door, client)
                await until(lambda: door.listener.has_unsent_responses() and door.driver.unanswered == 1)
            await until(lambda: script.of(ClientDisconnected))
            assert not door.driver.open_requests

    run(test())


# Guards against a client that ends its sending unheard: while it does not read its answers, either these wait
# below the mark at which it is read no more, or it is not read.  What it still waits for must not be sent on.
@pytest.mark.parametrize("high", [None, 1 << 20])
def test_a_client_that_ends_its_sending_while_answers_wait_has_left(high: int | None) -> None:
    async def test() -> None:
        backend = FakeEndpoint(lambda message: http_response(body=b"x" * 60_000))

        def react(event: Any) -> list[Action]:
            return [] if getattr(event, "request_id", 0) == 4 else send_on(event)

        async with listening(backend.handle) as dial, running_gateway(dial, react=react) as (door, script):
            with connected(door) as client:
                await ask_four(door, client, high)
                await until(lambda: door.listener.has_unsent_responses() and door.driver.unanswered == 1)
                client.shutdown(socket.SHUT_WR)
                began = time.monotonic()
                await until(lambda: script.of(ClientDisconnected))
                assert time.monotonic() - began < 0.5
            await until(lambda: not door.listener.connections and not door.driver.open_requests)

    run(test())


# Guards against bytes that go on being written for a client that has left, as they wait in this process: an
# attempt that is not whole at its backend by then must not become so later.
def test_an_attempt_that_is_not_written_whole_ends_when_its_client_leaves() -> None:
    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as slow:
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            slow.setblocking(False)
            dial = f"127.0.0.1:{slow.getsockname()[1]}"
            async with running_gateway(dial, react=send_on) as (door, script):
                pool = door.driver.upstream.pools[FIRST]
                gate = gated(door)
                gate.small = True
                gate.open.set()
                async with HttpClient(door.listener) as client:
                    client.writer.write(client.request(2, body=b"x" * 60_000))
                    await until(lambda: any(link.has_unsent_bytes for link in pool.connections))
                await until(lambda: script.outcomes() == [Outcome.NOT_STARTED])
                assert not pool.connections and not door.driver.open_requests
                taken, _ = slow.accept()
                with taken:
                    assert len(await read_all(taken)) < 60_000

    run(test())


# Guards against attempts for a client that sent a request, or many at once, and left before they were read,
# as in a stall of this process.
@pytest.mark.parametrize("count", [1, 300])
def test_nothing_is_sent_on_for_a_client_that_left_before_it_was_read(count: int) -> None:
    async def test() -> None:
        async with running_gateway("127.0.0.1:1", react=send_on) as (door, script):
            with connected(door) as client:
                await until(lambda: door.listener.connections)
                for number in range(count):  # no step of the loop lies between these and the close
                    assert client.send(REQUEST + b"%d\r\n\r\n" % number)
            await until(lambda: not door.listener.connections)
            assert not script.events and not door.driver.open_requests and not door.listener.open_request_ids

    run(test())
