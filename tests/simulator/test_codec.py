"""The simulator's codec: the wire's published examples."""

from __future__ import annotations

import struct

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
from gateway.simulator import codec, wire

BATCH_TIME = struct.unpack("<d", bytes.fromhex("508d976e12d32040"))[0]


def decode(frame: str) -> wire.Batch:
    data = bytes.fromhex(frame)
    return codec.decode_batch(data[: codec.BATCH_HEADER.size], data[codec.BATCH_HEADER.size :])


def decode_record(record: str) -> Event | wire.Configure | wire.Crash:
    """The event of one record, in a batch for instance 3."""
    body = bytes.fromhex("0c03000000" + record)
    header = codec.BATCH_HEADER.pack(2, len(body) + 12, 1.0, 1)
    ((instance, event),) = codec.decode_batch(header, body).records
    assert instance == 3
    return event


def test_empty_batch_and_reply() -> None:
    batch = decode("000000000c000000508d976e12d3204001000000")
    assert (batch.now, batch.number, batch.records) == (BATCH_TIME, 1, [])
    assert codec.encode_reply(1, []).hex() == "080000000000000001000000"


def test_published_batch_of_two_instances() -> None:
    batch = decode(
        "0500000054000000508d976e12d320400c000000" "0c03000000"
        "03c4913a5db2930800000000000000640ad2557c3bf091b81e85eb51b8ce3f00000040000040400000803f01"
        "074d000000000000000c0500000006192b6f0ea8d80100"
    )  # fmt: skip
    (first_instance, request), (_, timer), (second_instance, disconnect) = batch.records
    assert (first_instance, second_instance, timer) == (3, 5, TimerFired(77))
    assert isinstance(request, Request)
    assert (request.request_id, request.units) == (0x893B25D3A91C4, 2.0)
    assert (request.gateway_set_size, request.first_gateway) == (3, 1)
    assert request.time_remaining == 0.24
    assert not request.is_retry
    assert disconnect == ClientDisconnected(0x1D8A80E6F2B19)


def test_published_reply() -> None:
    actions: list[Action | wire.Fault] = [
        StartAttempt(0x893B25D3A91C4, 0x03124A07, 0.08),
        SetTimer(struct.unpack("<d", bytes.fromhex("508d976e12d32140"))[0], 77),
        Log("two servers unknown"),
    ]
    assert codec.encode_reply(12, [(3, actions), (4, [])]).hex() == (
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
def test_published_records_decode(record: str, event: object) -> None:
    assert decode_record(record) == event


def test_published_results_and_endpoint_update_decode() -> None:
    finished = decode_record("05c4913a5db293080003 0001074a1203008b6ce7fba9f1923f5600000000")
    assert isinstance(finished, AttemptFinished)
    assert (finished.charged_units, finished.request_closed, finished.outcome) == (3, True, Outcome.OK)
    assert (finished.metered_usage, finished.attempt, finished.load_report) == (0x56, 0, ())
    probed = decode_record("08f211902c00c7bab88d06f0563f030000404052b81e3f0000e040")
    assert isinstance(probed, ProbeFinished)
    assert probed.load_report == pytest.approx((3.0, 0.62, 7.0))
    counter_reply = decode_record("0b0090f68900000000000000184222fdf675e09c613f")
    assert isinstance(counter_reply, CounterReply)
    assert (counter_reply.name, counter_reply.total) == (0x89F690, 38.0)
    update = decode_record(
        "0201290000000000000002000000" "000000000000000000000100000000 00803f074a1203"
        "00006666666666661840010000000000c03ff211902c"
    )  # fmt: skip
    assert isinstance(update, EndpointUpdate)
    assert update.kind is UpdateKind.CACHED
    assert update.version == 41
    assert update.records[0] == EndpointRecord(0x03124A07, 0, 0.0, EndpointState.READY, 0, 0, 1.0)
    assert (update.records[1].started_at, update.records[1].weight) == (6.1, 1.5)


@pytest.mark.parametrize(
    ("action", "record"),
    [
        (Cancel(0x893B25D3A91C4, 0), "04c4913a5db29308000000"),
        (Reject(0x1D8A80E6F2B19, 0.25), "02192b6f0ea8d80100000000000000d03f"),
        (Fail(5), "030500000000000000"),
        (Probe(0x2C9011F2), "06f211902c"),
        (CloseIdle(0x2C9011F2), "07f211902c"),
        (SendToPeers(None, b"hi 7"), "08ffffffff040068692037"),
        (
            AddToCounter(0x89F690, 2.5, 4.0),
            "0d90f6890000000000000000000000104000002040",
        ),
        (WatchEndpoints(True), "0b01"),
        (FetchEndpoints(), "0c"),
        (wire.Fault("index out of range"), "0a1200696e646578206f7574206f662072616e6765"),
    ],
)
def test_actions_encode(action: Action | wire.Fault, record: str) -> None:
    assert codec.encode_action(action) == bytes.fromhex(record)
