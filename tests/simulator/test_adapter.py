"""Tests of the simulator's adapter: malformed frames, the end of the input, and failing instances."""

from __future__ import annotations

import io
import subprocess
import sys

import pytest

from gateway.simulator import adapter, reply_encoder, wire

INSTANCE_RECORD_BYTES = 5  # the code and the id of the instance
FIRST_ACTION_OFFSET = reply_encoder.REPLY_HEADER.size + INSTANCE_RECORD_BYTES  # in a reply


@pytest.mark.parametrize(
    "frame",
    [
        pytest.param("010000000d000000508d976e12d32040010000000a", id="event before INSTANCE record"),
        pytest.param("0200000012000000508d976e12d32040010000000c0300000063", id="unknown code"),
        pytest.param("0200000014000000508d976e12d32040010000000c03000000070101", id="truncated"),
        pytest.param("010000000c000000508d976e12d3204001000000", id="fewer records than announced"),
    ],
)
def test_the_adapter_exits_with_one_line_on_a_malformed_frame(frame: str) -> None:
    run = subprocess.run(
        [sys.executable, "-m", "gateway.simulator.adapter"],
        input=bytes.fromhex(frame),
        capture_output=True,
        check=False,
    )
    assert run.returncode == adapter.EXIT_MALFORMED_INPUT == 1
    assert run.stdout == b""
    assert run.stderr.startswith(b"simulator adapter: ")
    assert run.stderr.endswith(b"\n")
    assert run.stderr.count(b"\n") == 1


def test_the_end_of_the_input_is_an_error_only_within_a_frame() -> None:
    assert adapter.read_batch(io.BytesIO(b"")) is None
    with pytest.raises(wire.WireError, match="header"):
        adapter.read_batch(io.BytesIO(b"\0" * 7))


def test_an_exception_of_an_instance_is_reported_as_a_fault() -> None:
    reply = adapter.handle_batch({}, wire.EventBatch(1.0, 9, [(3, wire.Configure(1, "me=0"))]))
    first_action_code = reply[FIRST_ACTION_OFFSET]
    assert b"SettingsError: missing setting" in reply
    assert first_action_code == wire.ActionCode.FAULT.value
    assert first_action_code == 10
