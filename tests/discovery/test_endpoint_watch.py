"""The watch on one agent: malformed updates, outdated lists, and the replacement of silent connections."""

from __future__ import annotations

import asyncio
import time

import pytest

from gateway.discovery import connection_set, endpoint_watch
from tests.support.discovery import (
    FIRST_ENDPOINT,
    FIRST_ENDPOINT_ID,
    FIRST_VERSION,
    SECOND_ENDPOINT,
    SECOND_ENDPOINT_ID,
    AgentFault,
    FaultyAgent,
    OvertakenAgent,
    PartitionedAgent,
    ReceivedUpdates,
    SlowAgent,
    discovering,
    update_json,
)
from tests.support.event_loop import async_test, until
from tests.support.fake_discovery import END_OF_WATCH, FakeDiscoveryAgent

CHANGE_KNOWN_WITHIN_SECONDS = 6.0  # by the operators' terms
FAULTY_ATTEMPTS = 4  # after which an update still has to be known in that time


@pytest.fixture
def no_silence_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Silence alone would have the list fetched again."""
    monkeypatch.setattr(endpoint_watch, "SILENCE_TIMEOUT_SECONDS", 1000.0)


@pytest.fixture
def short_silence_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_watch, "SILENCE_TIMEOUT_SECONDS", 0.1)


async def check_that_the_update_behind_is_read(received: ReceivedUpdates) -> None:
    """Check that the agent's second line, version 43, is read behind the malformed first one."""
    await received.until_version(43)
    assert received.endpoint_ids == [FIRST_ENDPOINT_ID]
    assert received.versions in ([FIRST_VERSION, 43], [FIRST_VERSION, 42, 43])


async def check_that_the_list_is_fetched_again(agent: FakeDiscoveryAgent, received: ReceivedUpdates) -> None:
    """Check that a complete list comes on a new connection, and that the old one ends then."""
    agent.lines.clear()
    agent.whole = update_json(44, SECOND_ENDPOINT, complete=True)
    await until(lambda: received.last_version == 44 and agent.open_connections == 1)
    assert [record.endpoint_id for record in received.updates[-1].records] == [SECOND_ENDPOINT_ID]


# Guards against a drain that is lost with what could not be read: what comes behind it counts at once, and
# the complete list is fetched again.  The old connection is read until that is there, and ends then.
@pytest.mark.parametrize(
    ("malformed", "needs_resync"),
    [
        pytest.param(b"{", True, id="never closed"),
        pytest.param(b"[]", True, id="not an object"),
        pytest.param(b'{"seq":1}', True, id="without a list"),
        # One malformed endpoint is no reason to fetch the list again.
        pytest.param(update_json(42, 7), False, id="endpoint that is no object"),
        pytest.param(update_json(42, {"host": "s-00000001"}), False, id="endpoint without fields"),
        pytest.param(b"\xff\xfe", True, id="not text"),
        pytest.param(b'"', True, id="quote"),
        pytest.param(b"}{", True, id="brackets"),
    ],
)
@pytest.mark.usefixtures("no_silence_timeout")
@async_test
async def test_malformed_updates_are_skipped_and_the_list_is_fetched_again(
    caplog: pytest.LogCaptureFixture, *, malformed: bytes, needs_resync: bool
) -> None:
    agent = FakeDiscoveryAgent([malformed, update_json(43, FIRST_ENDPOINT)])
    async with discovering(agent.handle) as (_, received):
        await check_that_the_update_behind_is_read(received)
        if needs_resync:
            await check_that_the_list_is_fetched_again(agent, received)
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
        await received.until_version(42)
        # Sooner than an attempt made before its return would have been given up.
        assert time.monotonic() - returned_at < connection_set.ATTEMPT_IDLE_TIMEOUT_SECONDS
        await until(lambda: agent.open_connections == 1)  # the silent connection has ended


# Guards against a connection that is closed as soon as it falls silent: what it still brings counts until
# another has brought the complete list.
@pytest.mark.usefixtures("short_silence_timeout")
@async_test
async def test_a_silent_connection_is_read_until_another_takes_over() -> None:
    agent = PartitionedAgent(lambda: bool(agent.targets))
    async with discovering(agent.handle) as (_, received):
        await until(lambda: agent.attempts)
        agent.lines.append(update_json(42))
        await received.until_version(42)


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
    outdated = update_json(42, FIRST_ENDPOINT, complete=True)
    agent = FakeDiscoveryAgent([update_json(50), outdated])
    async with discovering(agent.handle) as (_, received):
        await until(lambda: len(agent.targets) >= 4)
        assert 42 not in received.versions
        agent.lines.clear()
        agent.whole = update_json(7, complete=True)
        await received.until_version(7)


# Guards against a list that keeps coming, in small pieces: it is not waited for, and others are attempted.
@async_test
async def test_a_list_that_comes_too_slowly_is_abandoned(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_set, "SNAPSHOT_TIMEOUT_SECONDS", 0.3)
    agent = SlowAgent()
    async with discovering(agent.handle) as (_, received):
        await until(lambda: agent.slow_responses)
        agent.is_slow = False
        await until(lambda: received.updates and not agent.slow_responses)


# Guards against a change that is lost with a closed connection, and against an agent that starts again and
# counts from a lower version: its changes must not be taken for known ones.
@async_test
async def test_a_closed_connection_is_replaced_starting_with_the_complete_list() -> None:
    agent = FakeDiscoveryAgent([update_json(44), END_OF_WATCH])
    async with discovering(agent.handle) as (_, received):
        await until(lambda: len(agent.targets) == 2)
        agent.lines.clear()
        agent.whole = update_json(7, FIRST_ENDPOINT, complete=True)
        await until(lambda: len(agent.targets) == 4)
        assert agent.targets[3] == "/api/targets?watch=1&from=7"
        agent.lines += [update_json(7), update_json(8)]  # the first of these is known already
        await received.until_version(8)
        assert received.versions == [FIRST_VERSION, 44, 7, 8]


async def seconds_until_known(agent: FaultyAgent) -> float:
    """Return how long a change takes to be known that the agent has from the moment it falls silent."""
    async with discovering(agent.handle) as (_, received):
        await until(lambda: len(agent.targets) == 2)
        changed_at = time.monotonic()
        agent.remaining = FAULTY_ATTEMPTS
        agent.whole = update_json(42, complete=True)
        await received.until_version(42)
        return time.monotonic() - changed_at


# Guards the term that a change counts as known 6 s after discovery had it and could be reached, whatever
# calls failed: the time of a silence and that of failed attempts must not add up to more.
@async_test
async def test_a_change_is_known_in_time_whatever_fault_the_first_attempts_meet() -> None:
    agents = [FaultyAgent(fault) for fault in AgentFault]
    seconds = await asyncio.gather(*map(seconds_until_known, agents))
    assert [agent.attempts for agent in agents] == [FAULTY_ATTEMPTS] * len(agents)
    assert max(seconds) < CHANGE_KNOWN_WITHIN_SECONDS, dict(zip(AgentFault, seconds, strict=True))


async def seconds_until_recovered(agent: FaultyAgent) -> float:
    """Return how long the return of an agent takes to be known that had a fault for long."""
    async with discovering(agent.handle) as (client, received):
        await until(lambda: len(agent.targets) == 2)
        agent.remaining = 1000
        await until(lambda: agent.attempts == endpoint_watch.MAX_CONNECTIONS + 2)
        (watch,) = client.agent_watches
        assert len(watch.connections) <= endpoint_watch.MAX_CONNECTIONS  # descriptors are bounded
        returned_at = time.monotonic()
        agent.remaining = 0
        agent.whole = update_json(42, complete=True)
        await received.until_version(42)
        return time.monotonic() - returned_at


# Guards the same term for an agent that has a fault for long: its return is known soon, in whatever state the
# attempts were that were made before.
@async_test
async def test_the_return_of_a_faulty_agent_is_known_soon() -> None:
    seconds = await asyncio.gather(*(seconds_until_recovered(FaultyAgent(fault)) for fault in AgentFault))
    assert max(seconds) < CHANGE_KNOWN_WITHIN_SECONDS / 3, dict(zip(AgentFault, seconds, strict=True))


# Guards against endpoints that come back into use by a list that was made first and was complete last.
@async_test
async def test_a_list_that_came_slowly_does_not_replace_a_newer_one() -> None:
    agent = OvertakenAgent(
        old_list=update_json(41, FIRST_ENDPOINT, complete=True),
        new_list=update_json(42, complete=True),
    )
    async with discovering(agent.handle) as (_, received):
        await until(lambda: len(agent.targets) == 2)
        agent.may_finish_old.set()
        await asyncio.sleep(0.1)
        assert received.versions == [42]
