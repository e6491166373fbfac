"""The watch on discovery, and names as ids."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from typing import Any

import pytest

from gateway.config import Address, parse_address
from gateway.discovery import client as discovery
from gateway.discovery.client import DiscoveryClient, EndpointDecoder, backend_id
from gateway.policy.events import EndpointState, EndpointUpdate, UpdateKind
from tests.support.sockets import FakeDiscoveryAgent, host_line, http_response, listening, run, until

EndpointListener = list[tuple[EndpointUpdate, dict[int, Address]]]


def change(seq: int, *hosts: Any, whole: bool = False) -> bytes:
    return json.dumps({"seq": seq, "whole": whole, "hosts": hosts}).encode()


class CutOff(FakeDiscoveryAgent):
    """An agent that takes connections while it is away, and never says anything on those."""

    def __init__(self, away: Callable[[], bool]) -> None:
        super().__init__()
        self.away, self.tried = away, 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.away():
            self.tried += 1
            await reader.read()
        else:
            await super().handle(reader, writer)


def start(dial: str) -> tuple[DiscoveryClient, EndpointListener]:
    heard: EndpointListener = []
    names = EndpointDecoder(("a", "b"), ("m1", "m2"))
    return DiscoveryClient(parse_address(dial), names, lambda *told: heard.append(told)), heard


def test_names_map_to_the_same_ids_everywhere() -> None:
    assert backend_id("s-5be2a07c") == 0x5BE2A07C
    assert backend_id("worker-7") == backend_id("worker-7") != backend_id("worker-8")
    assert 0 <= backend_id("s-5BE2A07C") < 1 << 32


def test_lists_and_changes_reach_the_module() -> None:
    async def test() -> None:
        line = host_line("s-00000007", "127.0.0.1:81", block=3) | {"site": "b", "born_ms": 1764300000250}
        agent = FakeDiscoveryAgent([change(42, line, whole=True), b"", change(43, line | {"health": "Gone"})])
        async with listening(agent.handle) as dial:
            watch, heard = start(dial)
            await until(lambda: len(heard) == 3)
            assert agent.targets == ["/api/targets", "/api/targets?watch=1&from=41"]
            del heard[0]
            assert [m.kind for m, _ in heard] == [UpdateKind.SNAPSHOT, UpdateKind.DELTA]
            (entry,) = heard[0][0].records
            assert (entry.endpoint_id, entry.zone, entry.machine_type, entry.cell) == (7, 1, 1, 3)
            assert (entry.started_at, entry.state) == (1764300000.25, EndpointState.READY)
            assert heard[0][1] == {7: Address("127.0.0.1", 81)}
            assert heard[1][0].records[0].state is EndpointState.GONE
            watch.close()

    run(test())


# Guards against a drain that is lost with what could not be read: what comes behind it counts at once, and
# the whole list is asked for again.  The old watch is heard until that is there, and ends then.
@pytest.mark.parametrize(
    "bad",
    [b"{", b"[]", b'{"seq":1}', change(42, 7), change(42, {"host": "s-00000001"}), b"\xff\xfe", b'"', b"}{"],
)
def test_bad_lines_are_skipped_and_the_list_is_read_again(
    bad: bytes, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery, "SILENT_AFTER", 1000.0)  # silence alone would have it read again

    async def test() -> None:
        agent = FakeDiscoveryAgent([bad, change(43, host_line("s-00000007", "127.0.0.1:81"))])
        async with listening(agent.handle) as dial:
            watch, heard = start(dial)
            await until(lambda: heard and heard[-1][0].version == 43)
            assert [e.endpoint_id for m, _ in heard for e in m.records] == [7]
            assert [m.version for m, _ in heard] in ([41, 43], [41, 42, 43])
            agent.lines.clear()
            agent.whole = change(44, host_line("s-00000008", "127.0.0.1:82"), whole=True)
            if b"host" not in bad:  # what makes no sense of one host only is no reason to read all again
                await until(lambda: heard[-1][0].version == 44 and agent.open == 1)
                assert [e.endpoint_id for e in heard[-1][0].records] == [8]
            watch.close()

    run(test())
    assert "skipped" in caplog.text


# Guards against changes that are never heard as they come over several lines, or late as what ends them is
# the next line's first byte; and against a chunk that ends anywhere.
@pytest.mark.parametrize("size", [1, 7, 100_000])
@pytest.mark.parametrize("indent", [None, 0, 2])
def test_changes_are_heard_however_they_are_written(size: int, indent: int | None) -> None:
    async def test() -> None:
        line = host_line('s-"{[', "127.0.0.1:81")
        raw = json.loads(change(42, line, line | {"host": "s-00000008"}))
        text = json.dumps(raw, indent=indent).encode() + b"\n\n" + json.dumps(raw | {"seq": 43}).encode()

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(http_response(body=json.dumps(raw | {"seq": 41, "whole": True}, indent=1).encode()))
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for at in range(0, len(text), size):
                part = text[at : at + size]
                writer.write(b"%x\r\n%s\r\n" % (len(part), part))
                await writer.drain()
            await reader.read()

        async with listening(handle) as dial:
            watch, heard = start(dial)
            await until(lambda: len(heard) == 3)
            assert [m.version for m, _ in heard] == [41, 42, 43]
            assert all(len(m.records) == 2 for m, _ in heard)
            watch.close()

    run(test())


# Guards against a drain that is told to a connection made while the agent was away: it takes that connection
# and never answers on it, and the drain grace runs from its return.
def test_a_silent_agents_return_is_heard_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "SILENT_AFTER", 0.3)

    async def test() -> None:
        away = asyncio.Event()
        agent = CutOff(away.is_set)
        async with listening(agent.handle) as dial:
            watch, heard = start(dial)
            await until(lambda: len(agent.targets) == 2)
            away.set()
            await until(lambda: agent.tried == 8)
            (source,) = watch.agent_watches
            assert len(source.tries) <= discovery.MOST_TRIES  # descriptors are bounded
            began = time.monotonic()
            away.clear()
            agent.whole = change(42, whole=True)
            await until(lambda: heard[-1][0].version == 42)
            # Sooner than a try made before it came back would have been given up.
            assert time.monotonic() - began < discovery.TRY_FOR
            await until(lambda: agent.open == 1)  # the silent watch has ended
            watch.close()

    run(test())


# Guards against a watch that is ended as soon as it falls silent: what it still brings counts until another
# has brought the whole list.
def test_a_silent_watch_is_heard_until_another_takes_over(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "SILENT_AFTER", 0.1)

    async def test() -> None:
        agent = CutOff(lambda: bool(agent.targets))
        async with listening(agent.handle) as dial:
            watch, heard = start(dial)
            await until(lambda: agent.tried)
            agent.lines.append(change(42))
            await until(lambda: heard[-1][0].version == 42)
            watch.close()

    run(test())


# Guards against servers that come back into use by a list from before: an agent does not go back on one
# connection.  One that counts anew is asked for its whole list.
def test_a_list_older_than_what_is_known_is_not_taken(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "SILENT_AFTER", 1000.0)

    async def test() -> None:
        agent = FakeDiscoveryAgent(
            [change(50), change(42, host_line("s-00000007", "127.0.0.1:81"), whole=True)]
        )
        async with listening(agent.handle) as dial:
            watch, heard = start(dial)
            await until(lambda: len(agent.targets) >= 4)
            assert all(m.version != 42 for m, _ in heard)
            agent.lines.clear()
            agent.whole = change(7, whole=True)
            await until(lambda: heard[-1][0].version == 7)
            watch.close()

    run(test())


# Guards against a list that keeps coming, in small pieces: it is not waited for, and others are tried.
def test_a_list_that_drips_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "LIST_FOR", 0.3)

    async def test() -> None:
        dripping = 0

        async def drip(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal dripping
            dripping += 1
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            with contextlib.suppress(OSError):
                while not writer.is_closing() and not reader.at_eof():
                    writer.write(b"1\r\n \r\n")
                    await writer.drain()
                    await asyncio.sleep(0.01)
            dripping -= 1

        agent = FakeDiscoveryAgent()
        spoilt = True

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await (drip if spoilt else agent.handle)(reader, writer)

        async with listening(handle) as dial:
            watch, heard = start(dial)
            await until(lambda: dripping)
            spoilt = False
            await until(lambda: heard and not dripping)
            watch.close()

    run(test())


# Guards against a change that is lost with an ended watch, and against an agent that starts again and
# counts from a lower number: its changes must not be taken for known ones.
def test_an_ended_watch_begins_again_with_the_whole_list() -> None:
    async def test() -> None:
        agent = FakeDiscoveryAgent([change(44), b"<end>"])
        async with listening(agent.handle) as dial:
            watch, heard = start(dial)
            await until(lambda: len(agent.targets) == 2)
            agent.lines.clear()
            agent.whole = change(7, host_line("s-00000007", "127.0.0.1:81"), whole=True)
            await until(lambda: len(agent.targets) == 4)
            assert agent.targets[3] == "/api/targets?watch=1&from=7"
            agent.lines += [change(7), change(8)]  # the first of these is known already
            await until(lambda: heard[-1][0].version == 8)
            assert [m.version for m, _ in heard] == [41, 44, 7, 8]
            watch.close()

    run(test())


# Guards against a gap when the configuration names another agent: the old list and its changes count until
# the new agent's whole list is there, whatever its numbers, and the old agent is left alone then.
def test_a_new_agent_takes_over_with_its_whole_list() -> None:
    async def test() -> None:
        old = FakeDiscoveryAgent(whole=change(90, host_line("s-00000007", "127.0.0.1:81"), whole=True))
        new = FakeDiscoveryAgent(whole=change(3, host_line("s-00000008", "127.0.0.1:82"), whole=True))
        gate = asyncio.Event()

        async def late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            await new.handle(reader, writer)

        async with listening(old.handle) as dial, listening(late) as other:
            watch, heard = start(dial)
            await until(lambda: len(old.targets) == 2)
            watch.change_address(parse_address(other))
            old.lines.append(change(91))
            await until(lambda: heard[-1][0].version == 91)
            gate.set()
            new.lines.append(change(4))
            await until(lambda: heard[-1][0].version == 4 and not old.open)
            assert [m.version for m, _ in heard] == [90, 91, 3, 4]
            assert len(old.targets) == 2 and len(watch.agent_watches) == 1
            watch.close()

    run(test())


def test_a_whole_list_that_cannot_be_read_does_not_empty_the_fleet() -> None:
    names = EndpointDecoder(("a",), ("m2",))
    names.decode_update({"seq": 1, "whole": True, "hosts": [host_line("s-00000007", "127.0.0.1:81")]})
    with pytest.raises(ValueError, match="no entry"):
        names.decode_update({"seq": 2, "whole": True, "hosts": [{"host": "s-00000007"}]})
    assert names.host_names == {7: "s-00000007"}


# Guards against growth: backends are replaced all day by ones of ever new names.
def test_names_of_backends_that_are_gone_are_let_go() -> None:
    names = EndpointDecoder(("a",), ("m2",))
    for number in range(50):
        line = host_line(f"s-{number:08x}", "127.0.0.1:81")
        names.decode_update({"seq": 2 * number, "whole": False, "hosts": [line]})
        names.decode_update({"seq": 2 * number + 1, "whole": False, "hosts": [line | {"health": "Gone"}]})
    assert names.host_names == {}


def test_a_silent_watch_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    """A machine that vanished leaves its connections open; the watch must not hang on one for ever."""
    monkeypatch.setattr(discovery, "SILENT_AFTER", 0.1)

    async def test() -> None:
        agent = FakeDiscoveryAgent()
        async with listening(agent.handle) as dial:
            watch, _ = start(dial)
            await until(lambda: len(agent.targets) == 4)
            watch.close()

    run(test())


def test_a_line_without_end_ends_the_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "MOST_LIST", 1000)

    async def test() -> None:
        async def endless(reader: Any, writer: Any) -> None:
            await reader.readuntil(b"\r\n\r\n")
            agent.targets.append("")
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + b"x" * 2048 + b"\r\n"
            )
            await reader.read()

        agent = FakeDiscoveryAgent()
        async with listening(endless) as dial:
            watch, heard = start(dial)
            await until(lambda: len(agent.targets) == 2)
            assert not heard
            watch.close()

    run(test())


def test_two_names_with_one_id_are_not_taken_for_one_backend(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "backend_id", lambda name: 7)
    hosts = [host_line("one", "127.0.0.1:81"), host_line("two", "127.0.0.1:82")]
    members, addresses = EndpointDecoder(("a",), ("m2",)).decode_update(
        {"seq": 1, "whole": True, "hosts": hosts}
    )
    assert len(members.records) == 1 and addresses == {7: Address("127.0.0.1", 81)}


TOLD_IN = 6.0  # seconds, by the operators' terms
FAILURES = ("mute", "drips", "half", "500", "refuses")


class Unwell(FakeDiscoveryAgent):
    """An agent that never says anything on an open watch, and spoils the next `spoils` connections."""

    def __init__(self, how: str) -> None:
        super().__init__()
        self.how, self.spoils, self.tried = how, 0, 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.spoils <= 0:
            return await super().handle(reader, writer)
        self.spoils -= 1
        self.tried += 1
        if self.how == "refuses":
            return writer.transport.abort()
        await reader.readuntil(b"\r\n\r\n")
        if self.how == "500":
            writer.write(http_response(500))
        elif self.how == "half":
            writer.write(http_response(body=self.whole)[:-10])
        elif self.how == "drips":
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while not reader.at_eof():
                writer.write(b"1\r\n \r\n")
                await asyncio.sleep(discovery.TRY_FOR / 3)
        await reader.read()


async def told_after(agent: Unwell, spoils: int) -> float:
    """Seconds from the moment in which the watch falls silent, and discovery learns something, until that is
    heard, when the next connections come to nothing.
    """
    async with listening(agent.handle) as dial:
        watch, heard = start(dial)
        await until(lambda: len(agent.targets) == 2)
        began, agent.spoils, agent.whole = time.monotonic(), spoils, change(42, whole=True)
        await until(lambda: heard[-1][0].version == 42)
        watch.close()
        return time.monotonic() - began


# Guards the term that a change counts as told 6 s after discovery had it and could be reached, whatever calls
# failed: the time of a silence and that of tries which come to nothing must not add up to more.
def test_a_change_is_told_in_time_whatever_the_first_tries_come_to() -> None:
    async def test() -> None:
        agents = [Unwell(how) for how in FAILURES]
        took = await asyncio.gather(*(told_after(agent, 4) for agent in agents))
        assert [agent.tried for agent in agents] == [4] * len(agents)
        assert max(took) < TOLD_IN, dict(zip(FAILURES, took, strict=True))

    run(test())


# Guards the same term for an agent that is unwell for long: its return is heard soon, in whatever state the
# tries were that were made before.
def test_an_unwell_agents_return_is_heard_soon() -> None:
    async def back(agent: Unwell) -> float:
        async with listening(agent.handle) as dial:
            watch, heard = start(dial)
            await until(lambda: len(agent.targets) == 2)
            agent.spoils = 1000
            await until(lambda: agent.tried == discovery.MOST_TRIES + 2)
            (source,) = watch.agent_watches
            assert len(source.tries) <= discovery.MOST_TRIES  # descriptors are bounded
            began, agent.spoils, agent.whole = time.monotonic(), 0, change(42, whole=True)
            await until(lambda: heard[-1][0].version == 42)
            watch.close()
            return time.monotonic() - began

    async def test() -> None:
        took = await asyncio.gather(*(back(Unwell(how)) for how in FAILURES))
        assert max(took) < TOLD_IN / 3, dict(zip(FAILURES, took, strict=True))

    run(test())


# Guards against servers that come back into use by a list that was made first and came whole last.
def test_a_list_that_came_slowly_does_not_replace_a_newer_one() -> None:
    async def test() -> None:
        agent, calls, go = FakeDiscoveryAgent(), 0, asyncio.Event()
        old, new = change(41, host_line("s-00000007", "127.0.0.1:81"), whole=True), change(42, whole=True)

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal calls
            calls += 1
            if calls > 1:
                agent.whole = new
                return await agent.handle(reader, writer)
            await reader.readuntil(b"\r\n\r\n")
            whole = http_response(body=old)
            writer.write(whole[:-1])
            await go.wait()
            writer.write(whole[-1:])
            await reader.read()

        async with listening(handle) as dial:
            watch, heard = start(dial)
            await until(lambda: len(agent.targets) == 2)
            go.set()
            await asyncio.sleep(0.1)
            assert [m.version for m, _ in heard] == [42]
            watch.close()

    run(test())
