"""Decoder for batches from the simulator: converts frames to events for instances of the policy.

Each function that returns a `_Decoded` decodes one type of record.  Its arguments are the body of the frame
and the offset of the byte after the record's code.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Any

from gateway.policy.events import (
    AttemptFinished,
    AttemptStarted,
    ClientDisconnected,
    CounterReply,
    EndpointRecord,
    EndpointState,
    EndpointUpdate,
    Outcome,
    PeerMessage,
    ProbeFinished,
    Request,
    TimerFired,
    UpdateKind,
)
from gateway.simulator.wire import Configure, Crash, EventBatch, EventCode, WireError, WireEvent

if TYPE_CHECKING:
    from collections.abc import Callable

BATCH_HEADER = struct.Struct("<IIdI")  # record count, length, time, batch number
LENGTH_FIELD_END = 8  # offset in a batch header; the length field counts the bytes of the frame from here on

# Layouts of the records, without their code.
_CONFIGURE = struct.Struct("<QI")  # seed, size of the settings
_ENDPOINT_UPDATE = struct.Struct("<BQI")  # kind, version, record count
_ENDPOINT_RECORD = struct.Struct("<HdBBHfI")
_REQUEST = struct.Struct("<QHIQdfffB")
_ATTEMPT_STARTED = struct.Struct("<QHId")
_ATTEMPT_FINISHED = struct.Struct("<QHBIBdHHB")
_REQUEST_ID = struct.Struct("<Q")
_TIMER_TOKEN = struct.Struct("<Q")
_PROBE_FINISHED = struct.Struct("<IBdB")
_PEER_MESSAGE = struct.Struct("<HH")  # sender, size of the data
_COUNTER_REPLY = struct.Struct("<BQfd")
_INSTANCE = struct.Struct("<I")

_INSTANCE_CODE = EventCode.INSTANCE.value  # an int: every record is compared with it, and an enum is slower
_LOAD_REPORT_COLUMN_BYTES = 4
_FLAG_IS_RETRY = 2
_FLAG_IS_WRITE = 4

_OUTCOMES = {outcome.value: outcome for outcome in Outcome}
_ENDPOINT_STATES = {state.value: state for state in EndpointState}
_UPDATE_KINDS = {kind.value: kind for kind in UpdateKind}

_Decoded = tuple[WireEvent, int]  # the event and the offset of the next record


def _read_bytes(body: bytes, start: int, size: int) -> bytes:
    if start + size > len(body):
        raise WireError("a field extends beyond the end of the frame")
    return body[start : start + size]


def _decode_outcome(code: int) -> Outcome:
    try:
        return _OUTCOMES[code]
    except KeyError:
        raise WireError(f"unknown outcome: {code}") from None


def _decode_load_report(body: bytes, start: int, columns: int) -> tuple[tuple[float, ...], int]:
    """Return the values of a load report and the offset after it."""
    data = _read_bytes(body, start, _LOAD_REPORT_COLUMN_BYTES * columns)
    return struct.unpack(f"<{columns}f", data), start + len(data)


def _decode_configure(body: bytes, start: int) -> _Decoded:
    seed, size = _CONFIGURE.unpack_from(body, start)
    start += _CONFIGURE.size
    return Configure(seed, _read_bytes(body, start, size).decode()), start + size


def _decode_endpoint_update(body: bytes, start: int) -> _Decoded:
    kind, version, count = _ENDPOINT_UPDATE.unpack_from(body, start)
    start += _ENDPOINT_UPDATE.size
    if kind not in _UPDATE_KINDS:
        raise WireError(f"unknown kind of endpoint update: {kind}")
    data = _read_bytes(body, start, count * _ENDPOINT_RECORD.size)
    records = tuple(map(_decode_endpoint_record, _ENDPOINT_RECORD.iter_unpack(data)))
    return EndpointUpdate(_UPDATE_KINDS[kind], version, records), start + len(data)


def _decode_endpoint_record(fields: tuple[Any, ...]) -> EndpointRecord:
    zone, started_at, state, machine_type, cell, weight, endpoint_id = fields
    if state not in _ENDPOINT_STATES:
        raise WireError(f"unknown endpoint state: {state}")
    return EndpointRecord(
        endpoint_id,
        zone,
        started_at,
        _ENDPOINT_STATES[state],
        machine_type,
        cell,
        weight,
    )


def _decode_request(body: bytes, start: int) -> _Decoded:
    (
        request_id,
        class_index,
        plan_index,
        customer,
        time_remaining,
        units,
        gateway_set_size,
        first_gateway,
        flags,
    ) = _REQUEST.unpack_from(body, start)
    event = Request(
        request_id,
        class_index,
        plan_index,
        customer,
        time_remaining,
        units,
        int(gateway_set_size),
        int(first_gateway),
        bool(flags & _FLAG_IS_RETRY),
        bool(flags & _FLAG_IS_WRITE),
    )
    return event, start + _REQUEST.size


def _decode_attempt_started(body: bytes, start: int) -> _Decoded:
    return AttemptStarted(*_ATTEMPT_STARTED.unpack_from(body, start)), start + _ATTEMPT_STARTED.size


def _decode_attempt_finished(body: bytes, start: int) -> _Decoded:
    (
        request_id,
        charged_units,
        request_closed,
        endpoint_id,
        outcome,
        elapsed,
        metered_usage,
        attempt,
        columns,
    ) = _ATTEMPT_FINISHED.unpack_from(body, start)
    load_report, end = _decode_load_report(body, start + _ATTEMPT_FINISHED.size, columns)
    event = AttemptFinished(
        request_id,
        attempt,
        endpoint_id,
        _decode_outcome(outcome),
        bool(request_closed),
        elapsed,
        charged_units,
        metered_usage,
        load_report,
    )
    return event, end


def _decode_client_disconnected(body: bytes, start: int) -> _Decoded:
    return ClientDisconnected(_REQUEST_ID.unpack_from(body, start)[0]), start + _REQUEST_ID.size


def _decode_timer_fired(body: bytes, start: int) -> _Decoded:
    return TimerFired(_TIMER_TOKEN.unpack_from(body, start)[0]), start + _TIMER_TOKEN.size


def _decode_probe_finished(body: bytes, start: int) -> _Decoded:
    endpoint_id, outcome, elapsed, columns = _PROBE_FINISHED.unpack_from(body, start)
    load_report, end = _decode_load_report(body, start + _PROBE_FINISHED.size, columns)
    return ProbeFinished(endpoint_id, _decode_outcome(outcome), elapsed, load_report), end


def _decode_peer_message(body: bytes, start: int) -> _Decoded:
    sender, size = _PEER_MESSAGE.unpack_from(body, start)
    start += _PEER_MESSAGE.size
    return PeerMessage(sender, _read_bytes(body, start, size)), start + size


def _decode_crash(_body: bytes, start: int) -> _Decoded:
    return Crash(), start


def _decode_counter_reply(body: bytes, start: int) -> _Decoded:
    outcome, name, total, elapsed = _COUNTER_REPLY.unpack_from(body, start)
    return CounterReply(name, _decode_outcome(outcome), total, elapsed), start + _COUNTER_REPLY.size


_DECODERS: dict[int, Callable[[bytes, int], _Decoded]] = {
    EventCode.CONFIGURE.value: _decode_configure,
    EventCode.ENDPOINT_UPDATE.value: _decode_endpoint_update,
    EventCode.REQUEST.value: _decode_request,
    EventCode.ATTEMPT_STARTED.value: _decode_attempt_started,
    EventCode.ATTEMPT_FINISHED.value: _decode_attempt_finished,
    EventCode.CLIENT_DISCONNECTED.value: _decode_client_disconnected,
    EventCode.TIMER_FIRED.value: _decode_timer_fired,
    EventCode.PROBE_FINISHED.value: _decode_probe_finished,
    EventCode.PEER_MESSAGE.value: _decode_peer_message,
    EventCode.CRASH.value: _decode_crash,
    EventCode.COUNTER_REPLY.value: _decode_counter_reply,
}


def decode_batch(header: bytes, body: bytes) -> EventBatch:
    """Decode a batch from its header and its body, which holds the records.

    Raises:
        WireError: The frame is malformed.
    """
    record_count, length, time, number = BATCH_HEADER.unpack(header)
    if length != len(body) + BATCH_HEADER.size - LENGTH_FIELD_END:
        raise WireError("the length of the batch does not match its body")
    batch = EventBatch(time, number)
    try:
        end = _decode_records(body, record_count, batch.events)
    except (struct.error, IndexError):
        raise WireError("the frame is truncated") from None
    except UnicodeDecodeError:
        raise WireError("the settings are not valid UTF-8") from None
    if end != len(body):
        raise WireError("unexpected bytes after the last record")
    return batch


def _decode_records(body: bytes, record_count: int, events: list[tuple[int, WireEvent]]) -> int:
    """Append the decoded events to `events` and return the offset after the last record."""
    instance_id = None
    offset = 0
    for _ in range(record_count):
        code = body[offset]
        offset += 1
        if code == _INSTANCE_CODE:
            (instance_id,) = _INSTANCE.unpack_from(body, offset)
            offset += _INSTANCE.size
            continue
        decoder = _DECODERS.get(code)
        if decoder is None:
            raise WireError(f"unknown record code: {code}")
        if instance_id is None:
            raise WireError("an event record precedes the first INSTANCE record")
        event, offset = decoder(body, offset)
        events.append((instance_id, event))
    return offset
