"""The watch on one agent: malformed updates, outdated lists, and the replacement of silent connections."""

from __future__ import annotations

import asyncio
import contextlib
import time

import pytest

from gateway.discovery import connection_set, endpoint_watch
from tests.discovery.support import PartitionedAgent, discovering, update_json
from tests.support.harness import async_test
from tests.support.sockets import FakeDiscoveryAgent, host_line, http_response, run, until

CHANGE_KNOWN_WITHIN_SECONDS = 6.0  # by the operators' terms
FAULTS = ("silent", "slow", "truncated", "500", "reset")


@pytest.fixture
def no_silence_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Silence alone would have the list fetched again."""
    monkeypatch.setattr(endpoint_watch, "SILENCE_TIMEOUT_SECONDS", 1000.0)


@pytest.fixture
def short_silence_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_watch, "SILENCE_TIMEOUT_SECONDS", 0.1)


# Guards against a drain that is lost with what could not be read: what comes behind it counts at once, and
# the complete list is fetched again.  The old connection is read until that is there, and ends then.
@pytest.mark.parametrize(
    "malformed",
    [
        b"{", b"[]", b'{"seq":1}', update_json(42, 7), update_json(42, {"host": "s-00000001"}), b"\xff\xfe",
        b'"', b"}{",
    ],
)  # fmt: skip
@pytest.mark.usefixtures("no_silence_timeout")
def test_malformed_updates_are_skipped_and_the_list_is_fetched_again(
    malformed: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        agent = FakeDiscoveryAgent([malformed, update_json(43, host_line("s-00000007", "127.0.0.1:81"))])
        async with discovering(agent.handle) as (_, received):
            await until(lambda: received.last_version == 43)
            assert [e.endpoint_id for update in received.updates for e in update.records] == [7]
            assert received.versions in ([41, 43], [41, 42, 43])
            agent.lines.clear()
            agent.whole = update_json(44, host_line("s-00000008", "127.0.0.1:82"), complete=True)
            if b"host" not in malformed:  # one malformed endpoint is no reason to fetch the list again
                await until(lambda: received.last_version == 44 and agent.open == 1)
                assert [e.endpoint_id for e in received.updates[-1].records] == [8]

    run(test())
    assert "skipped" in caplog.text


# Guards against a drain that is sent on a connection made while the agent was cut off: it accepts that
# connection and never responds on it, and the time to drain runs from its return.
@async_test
async def test_the_list_of_a_returning_agent_is_read_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_watch, "SILENCE_TIMEOUT_SECONDS", 0.3)

    cut_off = asyncio.Event()
    agent = PartitionedAgent(cut_off.is_set)
    async with discovering(agent.handle) as (client, received):
        await until(lambda: len(agent.targets) == 2)
        cut_off.set()
        await until(lambda: agent.attempts == 8)
        (watch,) = client.agent_watches
        assert len(watch.connections) <= endpoint_watch.MAX_CONNECTIONS  # descriptors are bounded
        returned_at = time.monotonic()
        cut_off.clear()
        agent.whole = update_json(42, complete=True)
        await until(lambda: received.last_version == 42)
        # Sooner than an attempt made before its return would have been given up.
        assert time.monotonic() - returned_at < connection_set.ATTEMPT_IDLE_TIMEOUT_SECONDS
        await until(lambda: agent.open == 1)  # the silent connection has ended


# Guards against a connection that is closed as soon as it falls silent: what it still brings counts until
# another has brought the complete list.
@pytest.mark.usefixtures("short_silence_timeout")
@async_test
async def test_a_silent_connection_is_read_until_another_takes_over() -> None:
    agent = PartitionedAgent(lambda: bool(agent.targets))
    async with discovering(agent.handle) as (_, received):
        await until(lambda: agent.attempts)
        agent.lines.append(update_json(42))
        await until(lambda: received.last_version == 42)


@pytest.mark.usefixtures("short_silence_timeout")
@async_test
async def test_a_silent_connection_is_replaced() -> None:
    """A machine that vanished leaves its connections open; the watch must not depend on one for ever."""
    agent = FakeDiscoveryAgent()
    async with discovering(agent.handle):
        await until(lambda: len(agent.targets) == 4)


# Guards against endpoints that come back into use by an older list: an agent does not go back on one
# connection.  One that counts anew is asked for its complete list.
@pytest.mark.usefixtures("no_silence_timeout")
@async_test
async def test_a_list_older_than_the_known_version_is_not_applied() -> None:
    outdated = update_json(42, host_line("s-00000007", "127.0.0.1:81"), complete=True)
    agent = FakeDiscoveryAgent([update_json(50), outdated])
    async with discovering(agent.handle) as (_, received):
        await until(lambda: len(agent.targets) >= 4)
        assert all(update.version != 42 for update in received.updates)
        agent.lines.clear()
        agent.whole = update_json(7, complete=True)
        await until(lambda: received.last_version == 7)


# Guards against a list that keeps coming, in small pieces: it is not waited for, and others are attempted.
@async_test
async def test_a_list_that_comes_too_slowly_is_abandoned(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_set, "SNAPSHOT_TIMEOUT_SECONDS", 0.3)

    slow_responses = 0

    async def respond_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal slow_responses
        slow_responses += 1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        with contextlib.suppress(OSError):
            while not writer.is_closing() and not reader.at_eof():
                writer.write(b"1\r\n \r\n")
                await writer.drain()
                await asyncio.sleep(0.01)
        slow_responses -= 1

    agent = FakeDiscoveryAgent()
    is_slow = True

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await (respond_slowly if is_slow else agent.handle)(reader, writer)

    async with discovering(handle) as (_, received):
        await until(lambda: slow_responses)
        is_slow = False
        await until(lambda: received.updates and not slow_responses)


# Guards against a change that is lost with a closed connection, and against an agent that starts again and
# counts from a lower version: its changes must not be taken for known ones.
@async_test
async def test_a_closed_connection_is_replaced_starting_with_the_complete_list() -> None:
    agent = FakeDiscoveryAgent([update_json(44), b"<end>"])
    async with discovering(agent.handle) as (_, received):
        await until(lambda: len(agent.targets) == 2)
        agent.lines.clear()
        agent.whole = update_json(7, host_line("s-00000007", "127.0.0.1:81"), complete=True)
        await until(lambda: len(agent.targets) == 4)
        assert agent.targets[3] == "/api/targets?watch=1&from=7"
        agent.lines += [update_json(7), update_json(8)]  # the first of these is known already
        await until(lambda: received.last_version == 8)
        assert received.versions == [41, 44, 7, 8]


class FaultyAgent(FakeDiscoveryAgent):
    """An agent that says nothing on an open watch, and has a fault on the next `remaining` connections."""

    def __init__(self, fault: str) -> None:
        super().__init__()
        self.fault, self.remaining, self.attempts = fault, 0, 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.remaining <= 0:
            await super().handle(reader, writer)
            return
        self.remaining -= 1
        self.attempts += 1
        if self.fault == "reset":
            writer.transport.abort()
            return
        await reader.readuntil(b"\r\n\r\n")
        if self.fault == "500":
            writer.write(http_response(500))
        elif self.fault == "truncated":
            writer.write(http_response(body=self.whole)[:-10])
        elif self.fault == "slow":
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while not reader.at_eof():
                writer.write(b"1\r\n \r\n")
                await asyncio.sleep(connection_set.ATTEMPT_IDLE_TIMEOUT_SECONDS / 3)
        await reader.read()


async def seconds_until_known(agent: FaultyAgent, faulty_connections: int) -> float:
    """From the moment in which the watch falls silent, and the agent has a change, until that is read."""
    async with discovering(agent.handle) as (_, received):
        await until(lambda: len(agent.targets) == 2)
        changed_at = time.monotonic()
        agent.remaining, agent.whole = faulty_connections, update_json(42, complete=True)
        await until(lambda: received.last_version == 42)
        return time.monotonic() - changed_at


# Guards the term that a change counts as known 6 s after discovery had it and could be reached, whatever
# calls failed: the time of a silence and that of failed attempts must not add up to more.
@async_test
async def test_a_change_is_known_in_time_whatever_fault_the_first_attempts_meet() -> None:
    agents = [FaultyAgent(fault) for fault in FAULTS]
    took = await asyncio.gather(*(seconds_until_known(agent, 4) for agent in agents))
    assert [agent.attempts for agent in agents] == [4] * len(agents)
    assert max(took) < CHANGE_KNOWN_WITHIN_SECONDS, dict(zip(FAULTS, took, strict=True))


async def seconds_until_recovered(agent: FaultyAgent) -> float:
    """From the return of an agent that had a fault for longer than its connections last, until it is read."""
    async with discovering(agent.handle) as (client, received):
        await until(lambda: len(agent.targets) == 2)
        agent.remaining = 1000
        await until(lambda: agent.attempts == endpoint_watch.MAX_CONNECTIONS + 2)
        (watch,) = client.agent_watches
        assert len(watch.connections) <= endpoint_watch.MAX_CONNECTIONS  # descriptors are bounded
        returned_at = time.monotonic()
        agent.remaining, agent.whole = 0, update_json(42, complete=True)
        await until(lambda: received.last_version == 42)
        return time.monotonic() - returned_at


# Guards the same term for an agent that has a fault for long: its return is known soon, in whatever state the
# attempts were that were made before.
@async_test
async def test_the_return_of_a_faulty_agent_is_known_soon() -> None:
    took = await asyncio.gather(*(seconds_until_recovered(FaultyAgent(fault)) for fault in FAULTS))
    assert max(took) < CHANGE_KNOWN_WITHIN_SECONDS / 3, dict(zip(FAULTS, took, strict=True))


# Guards against endpoints that come back into use by a list that was made first and was complete last.
@async_test
async def test_a_list_that_came_slowly_does_not_replace_a_newer_one() -> None:
    agent, connections, finish_old = FakeDiscoveryAgent(), 0, asyncio.Event()
    old = update_json(41, host_line("s-00000007", "127.0.0.1:81"), complete=True)

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        if connections > 1:
            agent.whole = update_json(42, complete=True)
            await agent.handle(reader, writer)
            return
        await reader.readuntil(b"\r\n\r\n")
        response = http_response(body=old)
        writer.write(response[:-1])
        await finish_old.wait()
        writer.write(response[-1:])
        await reader.read()

    async with discovering(handle) as (_, received):
        await until(lambda: len(agent.targets) == 2)
        finish_old.set()
        await asyncio.sleep(0.1)
        assert received.versions == [42]
