"""Host loop for the simulator: frames in on standard input, replies out on standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from gateway.policy.actions import Action
from gateway.policy.engine import Policy
from gateway.settings_parser import parse_settings
from gateway.simulator import codec

Listed = list[Action | codec.Fault]


def answer(gateways: dict[int, Policy], batch: codec.Batch) -> bytes:
    """Hand a batch's events to their instances and encode what they do."""
    out: dict[int, Listed] = {}
    for instance, event in batch.records:
        listed = out.setdefault(instance, [])
        try:
            if isinstance(event, codec.Configure):
                gateways[instance] = Policy(parse_settings(event.text), event.seed)
            elif isinstance(event, codec.Crash):
                gateways.pop(instance, None)
                listed.clear()
            elif instance in gateways:
                listed.extend(gateways[instance].handle(batch.now, event))
        except Exception as error:  # any failure of the module is reported, none is hidden
            listed.append(codec.Fault(f"{type(error).__name__}: {error}"))
    return codec.encode_reply(batch.number, out.items())


def read_batch(source: BinaryIO) -> codec.Batch | None:
    """The next batch, or None at a clean end of input."""
    head = source.read(codec.HEADER.size)
    if not head:
        return None
    if len(head) < codec.HEADER.size:
        raise codec.WireError("the input ends inside a header")
    size = codec.HEADER.unpack(head)[1] + codec.LENGTH_END - codec.HEADER.size
    if size < 0:
        raise codec.WireError("the batch's length is shorter than its header")
    body = source.read(size)
    if len(body) < size:
        raise codec.WireError("the input ends inside a batch")
    return codec.decode_batch(head, body)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    gateways: dict[int, Policy] = {}
    while (batch := read_batch(source)) is not None:
        sink.write(answer(gateways, batch))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except codec.WireError as error:
        print(f"simulator adapter: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
