"""Adapter that hosts instances of the policy for the simulator.

It reads batches from the standard input and writes replies to the standard output.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from gateway.policy.engine import Policy
from gateway.settings_parser import parse_settings
from gateway.simulator import batch_decoder, reply_encoder
from gateway.simulator.wire import Batch, Configure, Crash, Fault, WireAction, WireError

EXIT_MALFORMED_INPUT = 1


def answer(instances: dict[int, Policy], batch: Batch) -> bytes:
    """Deliver a batch's events to their instances and encode the reply.

    An exception of an instance becomes a fault in the reply, and the instance keeps running.
    """
    actions: dict[int, list[WireAction]] = {}
    for instance, event in batch.records:
        instance_actions = actions.setdefault(instance, [])
        try:
            if isinstance(event, Configure):
                instances[instance] = Policy(parse_settings(event.settings), event.seed)
            elif isinstance(event, Crash):
                instances.pop(instance, None)
                instance_actions.clear()
            elif instance in instances:
                instance_actions.extend(instances[instance].handle(batch.now, event))
        except Exception as error:  # the simulator reports every failure of the policy
            instance_actions.append(Fault(f"{type(error).__name__}: {error}"))
    return reply_encoder.encode_reply(batch.number, actions.items())


def read_batch(source: BinaryIO) -> Batch | None:
    """Return the next batch, or None at the end of the input.

    Raises:
        WireError: The batch is malformed, or the input ends inside it.
    """
    header_size = batch_decoder.BATCH_HEADER.size
    header = source.read(header_size)
    if not header:
        return None
    if len(header) < header_size:
        raise WireError("the input ends inside a header")
    _, length, _, _ = batch_decoder.BATCH_HEADER.unpack(header)
    body_size = length + batch_decoder.LENGTH_FIELD_END - header_size
    if body_size < 0:
        raise WireError("the batch's length is shorter than its header")
    body = source.read(body_size)
    if len(body) < body_size:
        raise WireError("the input ends inside a batch")
    return batch_decoder.decode_batch(header, body)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the end of the input.

    Raises:
        WireError: A batch is malformed, or the input ends inside one.
    """
    instances: dict[int, Policy] = {}
    while (batch := read_batch(source)) is not None:
        sink.write(answer(instances, batch))
        sink.flush()


def main() -> int:
    """Serve the standard input, and return the exit status.

    Malformed input ends the adapter with one line on the standard error output.
    """
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        sys.stderr.write(f"simulator adapter: {error}\n")
        return EXIT_MALFORMED_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
