"""The calls of one connection to the counter in the order of their replies; does no I/O."""

from __future__ import annotations

import logging
from collections import deque

from gateway.counter.call import CallCarrier, CounterCall, Ping
from gateway.counter.errors import MalformedReplyError
from gateway.counter.resp import ErrorReply, Pong, Reply, ReplyParser, Total
from gateway.policy.events import Outcome

log = logging.getLogger(__name__)


class CallPipeline:
    """Queues calls until they may be written, then matches replies to the written ones, oldest first."""

    def __init__(self) -> None:
        self._queued: deque[CounterCall] = deque()  # not written yet
        self._written: deque[CounterCall | Ping] = deque()  # without a reply; replies come in this order
        self._parser = ReplyParser()

    def __len__(self) -> int:
        """Return the number of calls that are queued, or written and without a reply."""
        return len(self._written) + len(self._queued)

    @property
    def has_written(self) -> bool:
        """Whether any written call has no reply yet."""
        return bool(self._written)

    @property
    def is_drained(self) -> bool:
        """Whether the policy has its reply to every written call."""
        return all(call.is_settled for call in self._written)

    def queue(self, call: CounterCall) -> None:
        """Keep a call that may not be written yet."""
        self._queued.append(call)

    def dequeue(self) -> CounterCall | None:
        """Remove and return the oldest queued call; None if there is none."""
        return self._queued.popleft() if self._queued else None

    def append_written(self, call: CounterCall | Ping) -> None:
        """Expect the reply to a call behind those to all calls that were written before it."""
        self._written.append(call)

    def hand_queue_to(self, successor: CallPipeline, carrier: CallCarrier) -> None:
        """Move the queued calls to the pipeline of the connection that is to carry them now."""
        for call in self._queued:
            call.move_to(carrier)
        successor.adopt_queue(self._queued)
        self._queued = deque()

    def adopt_queue(self, queued: deque[CounterCall]) -> None:
        """Put the queued calls of another pipeline in the place of this one's."""
        self._queued = queued

    def expire(self, call: CounterCall) -> None:
        """Settle a call that has waited longer than its timeout."""
        if call in self._queued:
            self._queued.remove(call)  # never written, so it can never be added
            call.settle(Outcome.CONNECT_FAILED)
        else:
            # It keeps its place among the written calls: its late reply must not be matched to the next one.
            call.settle(Outcome.TIMEOUT)

    def fail_queued(self) -> None:
        """Settle the queued calls, as no connection could be opened."""
        queued = self._queued
        self._queued = deque()
        for call in queued:
            call.settle(Outcome.CONNECT_FAILED)

    def fail_written(self, *, has_unsent_bytes: bool) -> None:
        """Settle the written calls, as their connection was lost.

        `has_unsent_bytes` tells whether some of what was written was never sent.  Which of several calls the
        unsent bytes belong to is not known; a single call was not sent in full.
        """
        written = self._written
        self._written = deque()
        is_unsent = has_unsent_bytes and len(written) == 1
        outcome = Outcome.CONNECT_FAILED if is_unsent else Outcome.TIMEOUT
        for call in written:
            call.settle(outcome)

    def expect_new_stream(self) -> None:
        """Expect the first byte of a new connection."""
        self._parser = ReplyParser()

    def receive(self, data: bytes) -> None:
        """Match the replies that are complete with these bytes to the written calls, oldest first.

        Raises:
            MalformedReplyError: The bytes are no reply to the oldest call, or no call waits for a reply.
        """
        for reply in self._parser.feed(data):
            if not self._written:
                raise MalformedReplyError(f"a reply that no call waits for: {reply}")
            _apply_reply(self._written.popleft(), reply)


def _apply_reply(call: CounterCall | Ping, reply: Reply) -> None:
    match reply, call:
        case ErrorReply(), _:
            if not reply.is_busy:
                log.warning("counter: error reply: %.80s", reply.text)
            call.settle(Outcome.OVERLOADED)  # nothing was added
        case Pong(), Ping():
            pass
        case Total(), CounterCall():
            call.settle(Outcome.OK, reply.value)
        case _:
            call.settle(Outcome.TIMEOUT)  # it may have been added
            raise MalformedReplyError(f"not a reply to {type(call).__name__}: {reply!r:.80}")
