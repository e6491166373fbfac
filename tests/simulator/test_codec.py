"""The codec: the wire's published examples, round trips, and what bad input does."""

from __future__ import annotations

import io
import struct
import subprocess
import sys

import pytest

from gateway.policy.actions import (
    Action,
    AddToCounter,
    Cancel,
    CloseIdle,
    Fail,
    FetchEndpoints,
    Log,
    Probe,
    Reject,
    SendToPeers,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from gateway.policy.events import (
    AttemptFinished,
    AttemptStarted,
    ClientDisconnected,
    CounterReply,
    EndpointRecord,
    EndpointState,
    EndpointUpdate,
    Event,
    Outcome,
    PeerMessage,
    ProbeFinished,
    Request,
    TimerFired,
    UpdateKind,
)
from gateway.settings_parser import SettingsError, parse_settings
from gateway.simulator import adapter, codec, wire
from tests.support.policy import text

CLOCK = struct.unpack("<d", bytes.fromhex("508d976e12d32040"))[0]


def batch(hexed: str) -> wire.Batch:
    data = bytes.fromhex(hexed)
    return codec.decode_batch(data[: codec.BATCH_HEADER.size], data[codec.BATCH_HEADER.size :])


def one(record: str) -> Event | wire.Configure | wire.Crash:
    body = bytes.fromhex("0c03000000" + record)
    head = codec.BATCH_HEADER.pack(2, len(body) + 12, 1.0, 1)
    (found,) = codec.decode_batch(head, body).records
    assert found[0] == 3
    return found[1]


def test_empty_batch_and_reply() -> None:
    got = batch("000000000c000000508d976e12d3204001000000")
    assert (got.now, got.number, got.records) == (CLOCK, 1, [])
    assert codec.encode_reply(1, []).hex() == "080000000000000001000000"


def test_published_batch_of_two_instances() -> None:
    got = batch(
        "0500000054000000508d976e12d320400c000000" "0c03000000"
        "03c4913a5db2930800000000000000640ad2557c3bf091b81e85eb51b8ce3f00000040000040400000803f01"
        "074d000000000000000c0500000006192b6f0ea8d80100"
    )  # fmt: skip
    (at3, demand), (_, fired), (at5, left) = got.records
    assert (at3, at5, fired) == (3, 5, TimerFired(77))
    assert isinstance(demand, Request)
    assert (demand.request_id, demand.units, demand.gateway_set_size, demand.first_gateway) == (
        0x893B25D3A91C4,
        2.0,
        3,
        1,
    )
    assert demand.time_remaining == 0.24 and not demand.is_retry
    assert left == ClientDisconnected(0x1D8A80E6F2B19)


def test_published_reply() -> None:
    sent: list[Action | wire.Fault] = [
        StartAttempt(0x893B25D3A91C4, 0x03124A07, 0.08),
        SetTimer(struct.unpack("<d", bytes.fromhex("508d976e12d32140"))[0], 77),
        Log("two servers unknown"),
    ]
    assert codec.encode_reply(12, [(3, sent), (4, [])]).hex() == (
        "49000000040000000c0000000e0300000001c4913a5db2930800074a12037b14ae47e17ab43f"
        "05508d976e12d321404d000000000000000913007477"
        "6f207365727665727320756e6b6e6f776e"
    )


@pytest.mark.parametrize(
    ("record", "event"),
    [
        (
            "04c4913a5db29308000000074a12038b6ce7fba9f1823f",
            AttemptStarted(0x893B25D3A91C4, 0, 0x03124A07, 0.00925),
        ),
        ("06192b6f0ea8d80100", ClientDisconnected(0x1D8A80E6F2B19)),
        ("074d00000000000000", TimerFired(77)),
        ("09020004006869 2037", PeerMessage(2, b"hi 7")),
        ("0a", wire.Crash()),
    ],
)
def test_published_records(record: str, event: object) -> None:
    assert one(record) == event


def test_published_finished_checked_sum_and_view() -> None:
    finished = one("05c4913a5db293080003 0001074a1203008b6ce7fba9f1923f5600000000")
    assert isinstance(finished, AttemptFinished)
    assert (finished.charged_units, finished.request_closed, finished.outcome) == (3, True, Outcome.OK)
    assert (finished.metered_usage, finished.attempt, finished.load_report) == (0x56, 0, ())
    checked = one("08f211902c00c7bab88d06f0563f030000404052b81e3f0000e040")
    assert isinstance(checked, ProbeFinished)
    assert checked.load_report == pytest.approx((3.0, 0.62, 7.0))
    counted = one("0b0090f68900000000000000184222fdf675e09c613f")
    assert isinstance(counted, CounterReply) and (counted.name, counted.total) == (0x89F690, 38.0)
    view = one(
        "0201290000000000000002000000" "000000000000000000000100000000 00803f074a1203"
        "00006666666666661840010000000000c03ff211902c"
    )  # fmt: skip
    assert isinstance(view, EndpointUpdate) and view.kind is UpdateKind.CACHED and view.version == 41
    assert view.records[0] == EndpointRecord(0x03124A07, 0, 0.0, EndpointState.READY, 0, 0, 1.0)
    assert (view.records[1].started_at, view.records[1].weight) == (6.1, 1.5)


@pytest.mark.parametrize(
    ("action", "hexed"),
    [
        (Cancel(0x893B25D3A91C4, 0), "04c4913a5db29308000000"),
        (Reject(0x1D8A80E6F2B19, 0.25), "02192b6f0ea8d80100000000000000d03f"),
        (Fail(5), "030500000000000000"),
        (Probe(0x2C9011F2), "06f211902c"),
        (CloseIdle(0x2C9011F2), "07f211902c"),
        (SendToPeers(None, b"hi 7"), "08ffffffff040068692037"),
        (
            AddToCounter(0x89F690, 2.5, 4.0),
            "0d90f6890000000000000000000000044000008040"[:18] + "00000000000010400000 2040",
        ),
        (WatchEndpoints(True), "0b01"),
        (FetchEndpoints(), "0c"),
        (wire.Fault("index out of range"), "0a1200696e646578206f7574206f662072616e6765"),
    ],
)
def test_actions(action: Action | wire.Fault, hexed: str) -> None:
    assert codec.encode_action(action) == bytes.fromhex(hexed)


@pytest.mark.parametrize(
    "hexed",
    [
        "010000000d000000508d976e12d32040010000000a",  # a record before any AT
        "0200000012000000508d976e12d32040010000000c0300000063",  # an unknown code
        "0200000014000000508d976e12d32040010000000c03000000070101",  # truncated
        "010000000c000000508d976e12d3204001000000",  # fewer records than told
    ],
)
def test_impossible_frames_end_the_adapter_with_one_line(hexed: str) -> None:
    run = subprocess.run(
        [sys.executable, "-m", "gateway.simulator.adapter"],
        input=bytes.fromhex(hexed),
        capture_output=True,
        check=False,
    )
    assert run.returncode == 1 and run.stdout == b""
    assert run.stderr.startswith(b"simulator adapter: ") and run.stderr.count(b"\n") == 1


def test_end_of_input_is_clean_and_inside_a_frame_is_not() -> None:
    assert adapter.read_batch(io.BytesIO(b"")) is None
    with pytest.raises(wire.WireError, match="header"):
        adapter.read_batch(io.BytesIO(b"\0" * 7))


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"me": "x"}, "me"),
        ({"caps__second_copies": "perhaps"}, "caps.second_copies"),
        ({"classes__1__effect": "odd"}, "classes.1.effect"),
        ({"tariffs__0__quota_rate": "nan"}, "tariffs.0.quota_rate"),
    ],
)
def test_malformed_settings_name_the_key(changes: dict[str, str], key: str) -> None:
    with pytest.raises(SettingsError, match=key):
        parse_settings(text(**changes))


def test_missing_settings_name_the_key_and_unknown_ones_are_skipped() -> None:
    with pytest.raises(SettingsError, match=r"rules\.fall_s"):
        parse_settings(text().replace("rules.fall_s", "rules.other"))
    assert parse_settings(text() + "\nnew.key=7\nnonsense").plans[2].max_concurrency == 2


def test_a_failing_module_is_reported_as_fault() -> None:
    reply = adapter.answer({}, wire.Batch(1.0, 9, [(3, wire.Configure(1, "me=0"))]))
    assert b"SettingsError: missing setting" in reply and reply[17] == 10
