"""Adapter that runs instances of the policy for the simulator.

It reads batches of events from standard input and writes replies with actions to standard output.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from gateway.policy.engine import Policy
from gateway.settings_parser import parse_settings
from gateway.simulator import batch_decoder, reply_encoder
from gateway.simulator.wire import Configure, Crash, EventBatch, Fault, WireAction, WireError

EXIT_MALFORMED_INPUT = 1


def handle_batch(policies: dict[int, Policy], batch: EventBatch) -> bytes:
    """Pass the events of a batch to their policies, which are stored by instance id, and encode the reply.

    An exception that a policy raises is reported as a fault in the reply, and the instance keeps running.
    """
    actions: dict[int, list[WireAction]] = {}
    for instance_id, event in batch.events:
        instance_actions = actions.setdefault(instance_id, [])
        try:
            if isinstance(event, Configure):
                policies[instance_id] = Policy(parse_settings(event.settings), event.seed)
            elif isinstance(event, Crash):
                policies.pop(instance_id, None)
                instance_actions.clear()
            elif instance_id in policies:
                instance_actions.extend(policies[instance_id].handle(batch.time, event))
        except Exception as error:  # the simulator reports every failure of the policy
            instance_actions.append(Fault(f"{type(error).__name__}: {error}"))
    return reply_encoder.encode_reply(batch.number, actions.items())


def read_batch(input_stream: BinaryIO) -> EventBatch | None:
    """Read and return the next batch, or return None at the end of the input.

    Raises:
        WireError: The batch is malformed or truncated.
    """
    header_size = batch_decoder.BATCH_HEADER.size
    header = input_stream.read(header_size)
    if not header:
        return None
    if len(header) < header_size:
        raise WireError("the input ends within a batch header")
    _, length, _, _ = batch_decoder.BATCH_HEADER.unpack(header)
    body_size = length + batch_decoder.LENGTH_FIELD_END - header_size
    if body_size < 0:
        raise WireError("the length of the batch is less than its header")
    body = input_stream.read(body_size)
    if len(body) < body_size:
        raise WireError("the input ends within a batch")
    return batch_decoder.decode_batch(header, body)


def serve(input_stream: BinaryIO, output_stream: BinaryIO) -> None:
    """Reply to batches until the end of the input.

    Raises:
        WireError: A batch is malformed or truncated.
    """
    policies: dict[int, Policy] = {}
    while (batch := read_batch(input_stream)) is not None:
        output_stream.write(handle_batch(policies, batch))
        output_stream.flush()


def main() -> int:
    """Serve standard input and output, and return the exit status.

    On malformed input the adapter prints one line to standard error and exits.
    """
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        sys.stderr.write(f"simulator adapter: {error}\n")
        return EXIT_MALFORMED_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
