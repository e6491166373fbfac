"""The simulator's adapter: malformed frames, the end of the input, and faults of an instance."""

from __future__ import annotations

import io
import subprocess
import sys

import pytest

from gateway.simulator import adapter, reply_encoder, wire

INSTANCE_RECORD_BYTES = 5  # a code and the number of the instance
CODE_OFFSET = reply_encoder.REPLY_HEADER.size + INSTANCE_RECORD_BYTES  # of the first action in a reply


@pytest.mark.parametrize(
    "frame",
    [
        pytest.param("010000000d000000508d976e12d32040010000000a", id="event before any instance"),
        pytest.param("0200000012000000508d976e12d32040010000000c0300000063", id="unknown code"),
        pytest.param("0200000014000000508d976e12d32040010000000c03000000070101", id="truncated"),
        pytest.param("010000000c000000508d976e12d3204001000000", id="fewer records than announced"),
    ],
)
def test_malformed_frame_ends_the_adapter_with_one_line(frame: str) -> None:
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


def test_end_of_input_is_clean_between_frames_and_an_error_inside_one() -> None:
    assert adapter.read_batch(io.BytesIO(b"")) is None
    with pytest.raises(wire.WireError, match="header"):
        adapter.read_batch(io.BytesIO(b"\0" * 7))


def test_failing_instance_is_reported_as_a_fault() -> None:
    reply = adapter.answer({}, wire.Batch(1.0, 9, [(3, wire.Configure(1, "me=0"))]))
    code_of_first_action = reply[CODE_OFFSET]
    assert b"SettingsError: missing setting" in reply
    assert code_of_first_action == wire.ActionCode.FAULT.value
    assert code_of_first_action == 10
