"""The counter client around the return of a counter whose machine was gone, on loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from typing import TYPE_CHECKING

from gateway.counter import connection as counter_connection
from gateway.counter.client import CONNECTION_COUNT
from gateway.policy.events import Outcome
from testbed.fake_counter import FakeCounter
from testbed.fake_server import LOOPBACK
from tests.support.counter import LONG_TIMEOUT_SECONDS, CounterTestClient, counter_client, make_add_action
from tests.support.event_loop import async_test

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    import pytest

SYN_RETRANSMISSION_SECONDS = 1.0  # the kernel repeats the first packet of a connection after this time
RETRANSMISSION_SLACK_SECONDS = 0.1  # its timer may be this late
QUEUE_FILLERS = 3  # connections that fill the accept queue of a socket with a backlog of 0
SERVER_BACKLOG = 64


@contextlib.contextmanager
def unreachable_socket() -> Iterator[socket.socket]:
    """Yield a listening socket whose accept queue is full, so that the kernel drops further connections."""
    with contextlib.ExitStack() as stack:
        server = stack.enter_context(socket.create_server((LOOPBACK, 0), backlog=0))
        for _ in range(QUEUE_FILLERS):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)  # noqa: FBT003  # the parameter has no name
            filler.connect_ex(server.getsockname())
        yield server


@contextlib.asynccontextmanager
async def counter_that_returns() -> AsyncIterator[CounterTestClient]:
    """Run a client whose first connects are dropped; the counter serves before TCP repeats them."""
    with unreachable_socket() as listening_socket:
        host, port = listening_socket.getsockname()
        async with counter_client(f"{host}:{port}", LONG_TIMEOUT_SECONDS) as counter:
            await asyncio.sleep(SYN_RETRANSMISSION_SECONDS / 2)
            handle = FakeCounter().handle
            server = await asyncio.start_server(handle, sock=listening_socket, backlog=SERVER_BACKLOG)
            try:
                yield counter
            finally:
                server.close()


# Guards against connections that count as open for ever after an outage of the counter: a connect that TCP
# repeats comes up just as its timeout passes.
@async_test
async def test_calls_succeed_after_connects_come_up_as_their_timeout_passes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(counter_connection, "CONNECT_TIMEOUT_SECONDS", SYN_RETRANSMISSION_SECONDS)
    stall_after = SYN_RETRANSMISSION_SECONDS - RETRANSMISSION_SLACK_SECONDS
    asyncio.get_running_loop().call_later(stall_after, time.sleep, 2 * RETRANSMISSION_SLACK_SECONDS)
    async with counter_that_returns() as counter:
        await asyncio.sleep(SYN_RETRANSMISSION_SECONDS / 2)
        await counter.until_open()
        for name in range(CONNECTION_COUNT):
            await counter.add_and_wait(make_add_action(name))
        assert counter.outcomes == [Outcome.OK] * CONNECTION_COUNT


# Guards against calls that fail after an outage of the counter although TCP is about to connect.
@async_test
async def test_calls_queued_as_the_counter_returns_are_sent_once_the_connect_is_repeated() -> None:
    async with counter_that_returns() as counter:
        for name in range(CONNECTION_COUNT):
            counter.client.add_to_counter(make_add_action(name))
        await counter.until_replies(CONNECTION_COUNT)
        assert counter.outcomes == [Outcome.OK] * CONNECTION_COUNT
