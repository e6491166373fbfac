"""The pipelined calls of one connection to the counter, in the order of their replies; does no I/O."""

from __future__ import annotations

import logging
from collections import deque

from gateway.counter.call import CallConnection, CounterCall, Ping
from gateway.counter.errors import MalformedReplyError
from gateway.counter.resp import ErrorReply, PongReply, Reply, ReplyParser, TotalReply
from gateway.policy.events import Outcome

log = logging.getLogger(__name__)


class CallPipeline:
    """Queues calls until they can be written, and matches replies to the written calls, oldest first."""

    def __init__(self) -> None:
        self._queued: deque[CounterCall] = deque()  # not written yet
        self._written: deque[CounterCall | Ping] = deque()  # awaiting replies, which arrive in this order
        self._parser = ReplyParser()

    def __len__(self) -> int:
        """Return the number of calls that are queued or await a reply."""
        return len(self._written) + len(self._queued)

    @property
    def awaits_reply(self) -> bool:
        """Whether any written call has no reply yet."""
        return bool(self._written)

    @property
    def is_drained(self) -> bool:
        """Whether every written call is settled, by its reply or its timeout."""
        return all(call.is_settled for call in self._written)

    def enqueue(self, call: CounterCall) -> None:
        """Queue a call that cannot be written yet."""
        self._queued.append(call)

    def dequeue(self) -> CounterCall | None:
        """Remove and return the oldest queued call; None if the queue is empty."""
        return self._queued.popleft() if self._queued else None

    def append_written(self, call: CounterCall | Ping) -> None:
        """Record a call as written; its reply follows the replies to all earlier calls."""
        self._written.append(call)

    def transfer_queue(self, successor: CallPipeline, connection: CallConnection) -> None:
        """Move the queued calls to the pipeline of another connection."""
        for call in self._queued:
            call.reassign(connection)
        successor.replace_queue(self._queued)
        self._queued = deque()

    def replace_queue(self, queued: deque[CounterCall]) -> None:
        """Replace the queue with the queue of another pipeline."""
        self._queued = queued

    def expire(self, call: CounterCall) -> None:
        """Settle a call whose timeout has passed."""
        if call in self._queued:
            self._queued.remove(call)  # never written, so the counter does not add it
            call.settle(Outcome.CONNECT_FAILED)
        else:
            # The call remains among the written ones, so that its late reply is not matched to the next call.
            call.settle(Outcome.TIMEOUT)

    def fail_queued(self) -> None:
        """Settle the queued calls after a failed attempt to connect."""
        queued = self._queued
        self._queued = deque()
        for call in queued:
            call.settle(Outcome.CONNECT_FAILED)

    def fail_written(self, *, has_unsent_bytes: bool) -> None:
        """Settle the written calls after their connection was lost.

        `has_unsent_bytes` tells whether some written bytes were never sent.  If so, a single written call was
        not sent in full, so it was not added; of several calls, each one may have been added.
        """
        written = self._written
        self._written = deque()
        is_unsent = has_unsent_bytes and len(written) == 1
        outcome = Outcome.CONNECT_FAILED if is_unsent else Outcome.TIMEOUT
        for call in written:
            call.settle(outcome)

    def reset_parser(self) -> None:
        """Start parsing the byte stream of a new connection."""
        self._parser = ReplyParser()

    def receive(self, data: bytes) -> None:
        """Parse received bytes, and match each complete reply to the oldest written call.

        Raises:
            MalformedReplyError: The bytes are not a reply to the oldest call, or no call awaits a reply.
        """
        for reply in self._parser.feed(data):
            if not self._written:
                raise MalformedReplyError(f"reply without a pending call: {reply}")
            _apply_reply(self._written.popleft(), reply)


def _apply_reply(call: CounterCall | Ping, reply: Reply) -> None:
    match reply, call:
        case ErrorReply(), _:
            if not reply.is_busy:
                log.warning("counter: error reply: %.80s", reply.text)
            call.settle(Outcome.OVERLOADED)  # nothing was added
        case PongReply(), Ping():
            pass
        case TotalReply(), CounterCall():
            call.settle(Outcome.OK, reply.value)
        case _:
            call.settle(Outcome.TIMEOUT)  # the amount may have been added
            raise MalformedReplyError(f"invalid reply to {type(call).__name__}: {reply!r:.80}")
