"""Accepting connections while the iterations of the event loop are long, over loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

from gateway.address import Address
from gateway.frontend.acceptor import LONG_ITERATION_SECONDS, MAX_ACCEPTS, Acceptor
from testbed.fake_server import LOOPBACK
from tests.support.event_loop import async_test, until

WAITING_COUNT = MAX_ACCEPTS // 2
MAX_ITERATIONS = 6


class Recorder(asyncio.Protocol):
    """Records the transports of accepted connections."""

    def __init__(self, transports: list[asyncio.BaseTransport]) -> None:
        self.transports = transports

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transports.append(transport)


async def started_acceptor(
    transports: list[asyncio.BaseTransport], max_connections: int = WAITING_COUNT
) -> Acceptor:
    acceptor = Acceptor(lambda: Recorder(transports), lambda: max_connections - len(transports))
    await acceptor.start(Address(LOOPBACK, 0))
    return acceptor


def connect(stack: contextlib.ExitStack, acceptor: Acceptor, count: int) -> None:
    """Connect clients, which wait in the listening socket's queue until the event loop gets a turn."""
    assert acceptor.server is not None
    address = acceptor.server.sockets[0].getsockname()
    for _ in range(count):
        stack.enter_context(socket.create_connection(address))


def hold_up_the_loop() -> None:
    time.sleep(2 * LONG_ITERATION_SECONDS)


# Guards against new clients that wait for seconds, as the event loop accepts one connection an iteration.
@async_test
async def test_all_that_wait_are_accepted_while_iterations_are_long() -> None:
    transports: list[asyncio.BaseTransport] = []
    acceptor = await started_acceptor(transports)
    with contextlib.ExitStack() as stack:
        connect(stack, acceptor, WAITING_COUNT)
        for _ in range(MAX_ITERATIONS):
            hold_up_the_loop()
            await asyncio.sleep(0)
        assert len(transports) == WAITING_COUNT
        acceptor.stop()


@async_test
async def test_each_connection_sends_without_delay() -> None:
    transports: list[asyncio.BaseTransport] = []
    acceptor = await started_acceptor(transports)
    with contextlib.ExitStack() as stack:
        connect(stack, acceptor, WAITING_COUNT)
        await until(lambda: len(transports) == WAITING_COUNT)
        sockets = [transport.get_extra_info("socket") for transport in transports]
        assert all(found.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) for found in sockets)
        acceptor.stop()


@async_test
async def test_no_connection_is_accepted_after_the_stop() -> None:
    transports: list[asyncio.BaseTransport] = []
    acceptor = await started_acceptor(transports)
    with contextlib.ExitStack() as stack:
        connect(stack, acceptor, WAITING_COUNT)
        acceptor.stop()
        for _ in range(MAX_ITERATIONS):
            await asyncio.sleep(0)
    assert not transports


# Guards against a crowd that pushes out connections whose request is about to come, as each connection beyond
# those that may be served evicts another one.
@async_test
async def test_only_the_event_loop_accepts_more_than_may_be_served() -> None:
    transports: list[asyncio.BaseTransport] = []
    acceptor = await started_acceptor(transports, max_connections=WAITING_COUNT // 2)
    with contextlib.ExitStack() as stack:
        connect(stack, acceptor, WAITING_COUNT)
        for _ in range(MAX_ITERATIONS):
            hold_up_the_loop()
            await asyncio.sleep(0)
        assert len(transports) <= WAITING_COUNT // 2 + MAX_ITERATIONS
        acceptor.stop()
