"""Tests of the reply encoder with the examples of the wire protocol's specification."""

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
from gateway.simulator import reply_encoder, wire

TIMER_DUE_AT = struct.unpack("<d", bytes.fromhex("508d976e12d32140"))[0]
REQUEST_ID = 0x893B25D3A91C4
OTHER_REQUEST_ID = 0x1D8A80E6F2B19
ENDPOINT_ID = 0x03124A07
OTHER_ENDPOINT_ID = 0x2C9011F2


def test_empty_reply() -> None:
    assert reply_encoder.encode_reply(1, []).hex() == "080000000000000001000000"


def test_reply_with_actions_of_one_instance() -> None:
    actions: list[Action | wire.Fault] = [
        StartAttempt(REQUEST_ID, ENDPOINT_ID, 0.08),
        SetTimer(TIMER_DUE_AT, 77),
        Log("two servers unknown"),
    ]
    assert reply_encoder.encode_reply(12, [(3, actions), (4, [])]).hex() == (
        "49000000040000000c0000000e0300000001c4913a5db2930800074a12037b14ae47e17ab43f"
        "05508d976e12d321404d000000000000000913007477"
        "6f207365727665727320756e6b6e6f776e"
    )


@pytest.mark.parametrize(
    ("action", "record"),
    [
        pytest.param(Cancel(REQUEST_ID, 0), "04c4913a5db29308000000", id="cancel"),
        pytest.param(Reject(OTHER_REQUEST_ID, 0.25), "02192b6f0ea8d80100000000000000d03f", id="reject"),
        pytest.param(Fail(5), "030500000000000000", id="fail"),
        pytest.param(Probe(OTHER_ENDPOINT_ID), "06f211902c", id="probe"),
        pytest.param(CloseIdle(OTHER_ENDPOINT_ID), "07f211902c", id="close idle"),
        pytest.param(SendToPeers(None, b"hi 7"), "08ffffffff040068692037", id="send to peers"),
        pytest.param(
            AddToCounter(0x89F690, 2.5, 4.0),
            "0d90f6890000000000000000000000104000002040",
            id="add to counter",
        ),
        pytest.param(WatchEndpoints(enabled=True), "0b01", id="watch endpoints"),
        pytest.param(FetchEndpoints(), "0c", id="fetch endpoints"),
        pytest.param(
            wire.Fault("index out of range"), "0a1200696e646578206f7574206f662072616e6765", id="fault"
        ),
    ],
)
def test_action_records(action: Action | wire.Fault, record: str) -> None:
    assert reply_encoder.encode_action(action) == bytes.fromhex(record)
