"""Encoder for replies to the simulator: converts actions of instances of the policy to frames."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Any

from gateway.policy.actions import (
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
from gateway.simulator.wire import ActionCode, Fault, WireAction, WireError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

REPLY_HEADER = struct.Struct("<III")  # length, record count, batch number
LENGTH_FIELD_END = 4  # offset in a reply header; the length field counts the bytes of the frame from here on

# Layouts of the records; the first field is the code.
_START_ATTEMPT = struct.Struct("<BQId")
_REJECT = struct.Struct("<BQd")
_CANCEL = struct.Struct("<BQH")
_SET_TIMER = struct.Struct("<BdQ")
_CODE_AND_REQUEST = struct.Struct("<BQ")
_CODE_AND_ENDPOINT = struct.Struct("<BI")
_CODE_AND_INSTANCE = struct.Struct("<BI")
_CODE_AND_FLAG = struct.Struct("<BB")
_ADD_TO_COUNTER = struct.Struct("<BQdf")
_SEND_TO_PEERS = struct.Struct("<BIH")  # code, peer, size of the data
_CODE_AND_TEXT_SIZE = struct.Struct("<BH")

_ALL_PEERS = 0xFFFFFFFF  # peer number that addresses all peers
_MAX_TEXT_BYTES = 0xFFFF


def _encode_start_attempt(action: StartAttempt) -> bytes:
    return _START_ATTEMPT.pack(
        ActionCode.START_ATTEMPT, action.request_id, action.endpoint_id, action.timeout
    )


def _encode_reject(action: Reject) -> bytes:
    return _REJECT.pack(ActionCode.REJECT, action.request_id, action.retry_after)


def _encode_fail(action: Fail) -> bytes:
    return _CODE_AND_REQUEST.pack(ActionCode.FAIL, action.request_id)


def _encode_cancel(action: Cancel) -> bytes:
    return _CANCEL.pack(ActionCode.CANCEL, action.request_id, action.attempt)


def _encode_set_timer(action: SetTimer) -> bytes:
    return _SET_TIMER.pack(ActionCode.SET_TIMER, action.at, action.token)


def _encode_probe(action: Probe) -> bytes:
    return _CODE_AND_ENDPOINT.pack(ActionCode.PROBE, action.endpoint_id)


def _encode_close_idle(action: CloseIdle) -> bytes:
    return _CODE_AND_ENDPOINT.pack(ActionCode.CLOSE_IDLE, action.endpoint_id)


def _encode_send_to_peers(action: SendToPeers) -> bytes:
    peer = _ALL_PEERS if action.peer is None else action.peer
    return _SEND_TO_PEERS.pack(ActionCode.SEND_TO_PEERS, peer, len(action.data)) + action.data


def _encode_log(action: Log) -> bytes:
    return _encode_text(ActionCode.LOG, action.text)


def _encode_fault(fault: Fault) -> bytes:
    return _encode_text(ActionCode.FAULT, fault.text)


def _encode_text(code: ActionCode, text: str) -> bytes:
    data = text.encode()[:_MAX_TEXT_BYTES]
    return _CODE_AND_TEXT_SIZE.pack(code, len(data)) + data


def _encode_watch_endpoints(action: WatchEndpoints) -> bytes:
    return _CODE_AND_FLAG.pack(ActionCode.WATCH_ENDPOINTS, action.enabled)


def _encode_fetch_endpoints(_action: FetchEndpoints) -> bytes:
    return bytes([ActionCode.FETCH_ENDPOINTS])


def _encode_add_to_counter(action: AddToCounter) -> bytes:
    return _ADD_TO_COUNTER.pack(ActionCode.ADD_TO_COUNTER, action.name, action.expires_after, action.amount)


_ENCODERS: dict[type[WireAction], Callable[[Any], bytes]] = {
    StartAttempt: _encode_start_attempt,
    Reject: _encode_reject,
    Fail: _encode_fail,
    Cancel: _encode_cancel,
    SetTimer: _encode_set_timer,
    Probe: _encode_probe,
    CloseIdle: _encode_close_idle,
    SendToPeers: _encode_send_to_peers,
    Log: _encode_log,
    Fault: _encode_fault,
    WatchEndpoints: _encode_watch_endpoints,
    FetchEndpoints: _encode_fetch_endpoints,
    AddToCounter: _encode_add_to_counter,
}


def encode_action(action: WireAction) -> bytes:
    """Return the record of an action, including its code.

    Raises:
        WireError: The wire protocol has no record for this type of action.
    """
    try:
        encoder = _ENCODERS[type(action)]
    except KeyError:
        raise WireError(f"no record type for the action {action!r}") from None
    return encoder(action)


def encode_reply(number: int, actions: Iterable[tuple[int, list[WireAction]]]) -> bytes:
    """Return the reply to a batch.

    Args:
        number: The number of the batch.
        actions: The actions of each instance in order, each list with the id of its instance.
    """
    records: list[bytes] = []
    for instance_id, instance_actions in actions:
        if instance_actions:
            records.append(_CODE_AND_INSTANCE.pack(ActionCode.INSTANCE, instance_id))
            records.extend(map(encode_action, instance_actions))
    body = b"".join(records)
    length = len(body) + REPLY_HEADER.size - LENGTH_FIELD_END
    return REPLY_HEADER.pack(length, len(records), number) + body
