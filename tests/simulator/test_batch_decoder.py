"""Tests of the batch decoder with the examples of the wire protocol's specification."""

from __future__ import annotations

import struct

import pytest

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
from gateway.simulator import batch_decoder, wire

BATCH_TIME = struct.unpack("<d", bytes.fromhex("508d976e12d32040"))[0]
REQUEST_ID = 0x893B25D3A91C4
OTHER_REQUEST_ID = 0x1D8A80E6F2B19
ENDPOINT_ID = 0x03124A07
OTHER_ENDPOINT_ID = 0x2C9011F2
INSTANCE_ID = 3
INSTANCE_RECORD = "0c03000000"
TWO_INSTANCES = (
    "0500000054000000508d976e12d320400c000000"
    "0c03000000"
    "03c4913a5db2930800000000000000640ad2557c3bf091b81e85eb51b8ce3f00000040000040400000803f01"
    "074d00000000000000"
    "0c05000000"
    "06192b6f0ea8d80100"
)
ENDPOINT_UPDATE = (
    "0201290000000000000002000000"
    "000000000000000000000100000000"
    "00803f074a1203"
    "00006666666666661840010000000000c03ff211902c"
)


def decode(frame: str) -> wire.EventBatch:
    data = bytes.fromhex(frame)
    header_size = batch_decoder.BATCH_HEADER.size
    return batch_decoder.decode_batch(data[:header_size], data[header_size:])


def decode_record(record: str) -> Event | wire.Configure | wire.Crash:
    """Decode a batch with one event record for one instance, and return the event."""
    body = bytes.fromhex(INSTANCE_RECORD + record)
    length = len(body) + batch_decoder.BATCH_HEADER.size - batch_decoder.LENGTH_FIELD_END
    header = batch_decoder.BATCH_HEADER.pack(2, length, 1.0, 1)
    ((instance_id, event),) = batch_decoder.decode_batch(header, body).events
    assert instance_id == INSTANCE_ID
    return event


def test_empty_batch() -> None:
    batch = decode("000000000c000000508d976e12d3204001000000")
    assert batch.time == BATCH_TIME
    assert batch.number == 1
    assert batch.events == []


def test_each_event_has_the_id_of_its_instance() -> None:
    batch = decode(TWO_INSTANCES)
    (first_instance, _), (second_instance, timer), (third_instance, disconnect) = batch.events
    assert first_instance == INSTANCE_ID
    assert second_instance == INSTANCE_ID
    assert third_instance == 5
    assert timer == TimerFired(77)
    assert disconnect == ClientDisconnected(OTHER_REQUEST_ID)


def test_request_decodes() -> None:
    _, request = decode(TWO_INSTANCES).events[0]
    assert isinstance(request, Request)
    assert request.request_id == REQUEST_ID
    assert request.units == 2.0
    assert request.gateway_set_size == 3
    assert request.first_gateway == 1
    assert request.time_remaining == 0.24
    assert not request.is_retry


@pytest.mark.parametrize(
    ("record", "event"),
    [
        pytest.param(
            "04c4913a5db29308000000074a12038b6ce7fba9f1823f",
            AttemptStarted(REQUEST_ID, 0, ENDPOINT_ID, 0.00925),
            id="attempt started",
        ),
        pytest.param("06192b6f0ea8d80100", ClientDisconnected(OTHER_REQUEST_ID), id="client disconnected"),
        pytest.param("074d00000000000000", TimerFired(77), id="timer fired"),
        pytest.param("09020004006869 2037", PeerMessage(2, b"hi 7"), id="peer message"),
        pytest.param("0a", wire.Crash(), id="crash"),
    ],
)
def test_records_decode(record: str, event: object) -> None:
    assert decode_record(record) == event


def test_attempt_finished_decodes() -> None:
    finished = decode_record("05c4913a5db293080003 0001074a1203008b6ce7fba9f1923f5600000000")
    assert isinstance(finished, AttemptFinished)
    assert finished.charged_units == 3
    assert finished.request_closed is True
    assert finished.outcome is Outcome.OK
    assert finished.metered_usage == 0x56
    assert finished.attempt == 0
    assert finished.load_report == ()


def test_probe_finished_decodes() -> None:
    probed = decode_record("08f211902c00c7bab88d06f0563f030000404052b81e3f0000e040")
    assert isinstance(probed, ProbeFinished)
    assert probed.load_report == pytest.approx((3.0, 0.62, 7.0))


def test_counter_reply_decodes() -> None:
    counter_reply = decode_record("0b0090f68900000000000000184222fdf675e09c613f")
    assert isinstance(counter_reply, CounterReply)
    assert counter_reply.name == 0x89F690
    assert counter_reply.total == 38.0


def test_endpoint_update_decodes() -> None:
    update = decode_record(ENDPOINT_UPDATE)
    assert isinstance(update, EndpointUpdate)
    assert update.kind is UpdateKind.CACHED
    assert update.version == 41
    first, second = update.records
    assert first == EndpointRecord(ENDPOINT_ID, 0, 0.0, EndpointState.READY, 0, 0, 1.0)
    assert second.endpoint_id == OTHER_ENDPOINT_ID
    assert second.started_at == 6.1
    assert second.weight == 1.5
