"""One attempt: a single request on its way to a single endpoint."""

from __future__ import annotations

import enum
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from gateway.policy.events import Outcome

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable


@dataclass(slots=True)
class AttemptResult:
    """How an attempt or a probe ended.

    Attributes:
        outcome: What the end means to the policy.
        elapsed: Seconds from the start to the end.
        load_report: The numbers of the load report by the columns of the settings; empty if the endpoint sent
            none that could be read.
        body: The body of the response; empty without a response.
        content_type: The response's Content-Type; empty without one.
    """

    outcome: Outcome
    elapsed: float
    load_report: tuple[float, ...] = ()
    body: bytes = b""
    content_type: bytes = b""


class AttemptState(enum.Enum):
    """How far an attempt has come."""

    WAITING = enum.auto()  # for a connection; none of its bytes has been written
    WRITTEN = enum.auto()  # to a connection, so that the endpoint may run it
    ABANDONED = enum.auto()  # after it was written; it finishes once its connection has ended
    FINISHED = enum.auto()  # its result has been handed over


# Looked up once: access to a member through its class takes a Python call in Python 3.11.
WAITING = AttemptState.WAITING
WRITTEN = AttemptState.WRITTEN
ABANDONED = AttemptState.ABANDONED
FINISHED = AttemptState.FINISHED


class AttemptConnection(Protocol):
    """What an attempt needs of the connection that carries it."""

    has_unsent_bytes: bool

    def abort(self) -> None:
        """End the connection at once."""


class Attempt:
    """One request on its way to one endpoint; its callback is called with its result exactly once.

    The attempt owns its state: WAITING becomes WRITTEN by `bind`, WRITTEN becomes ABANDONED by `abandon` or
    `mark_abandoned`, and every state becomes FINISHED by `finish` or `fail`.

    Attributes:
        payload: The bytes of the request until they are written, then empty.
        on_finished: Called with the result.
        started_at: When the attempt was made, in seconds of the performance counter.
        state: How far the attempt has come.
        connection: The connection to which its bytes may have been written; None before.
        timer: Abandons the attempt when its time is up; None without a timeout.
        abandoned_as: The outcome of an abandoned attempt; None until it is abandoned.
    """

    __slots__ = ("abandoned_as", "connection", "on_finished", "payload", "started_at", "state", "timer")

    def __init__(self, payload: bytes, on_finished: Callable[[AttemptResult], None]) -> None:
        self.payload = payload
        self.on_finished = on_finished
        self.started_at = time.perf_counter()
        self.state = WAITING
        self.connection: AttemptConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.abandoned_as: Outcome | None = None

    @property
    def is_finished(self) -> bool:
        """Whether the result has been handed over."""
        return self.state is FINISHED

    @property
    def elapsed(self) -> float:
        """The seconds since the start."""
        return time.perf_counter() - self.started_at

    def start_timeout(self, loop: asyncio.AbstractEventLoop, seconds: float) -> None:
        """Abandon the attempt unless it finishes in time."""
        self.timer = loop.call_later(seconds, self.abandon, Outcome.TIMEOUT)

    def bind(self, connection: AttemptConnection) -> bytes:
        """Bind the attempt to its connection, and return the bytes to write, which it then forgets."""
        self.connection = connection
        self.state = WRITTEN
        payload = self.payload
        self.payload = b""
        return payload

    def finish(self, result: AttemptResult) -> None:
        """Hand the result over; a later result is ignored."""
        if self.state is FINISHED:
            return
        self.state = FINISHED
        if self.timer is not None:
            self.timer.cancel()
        self.on_finished(result)

    def fail(self, outcome: Outcome) -> None:
        """Finish without a response."""
        self.finish(AttemptResult(outcome, self.elapsed))

    def abandon(self, outcome: Outcome) -> None:
        """Stop waiting for the response.

        An attempt that was written may run until its connection has ended.  It therefore finishes only
        then, so that no retry runs beside it.  One that was not written never ran, whatever the reason for
        abandoning it.
        """
        if self.state is WAITING:
            unwritten_outcome = (
                Outcome.NOT_STARTED if outcome is Outcome.CANCELLED else Outcome.CONNECT_FAILED
            )
            self.fail(unwritten_outcome)
        elif self.state is WRITTEN:
            self.mark_abandoned(outcome)
            assert self.connection is not None
            self.connection.abort()

    def mark_abandoned(self, outcome: Outcome) -> None:
        """Set the outcome that the attempt has once its connection has ended; later calls do nothing."""
        if self.state is WRITTEN:
            self.state = ABANDONED
            self.abandoned_as = outcome

    def outcome_of_lost_connection(self) -> Outcome:
        """Return the outcome that the end of the connection means.

        A request of which part was still unsent was incomplete at the endpoint and cannot have run.
        """
        assert self.connection is not None
        if not self.connection.has_unsent_bytes:
            return self.abandoned_as or Outcome.RESET
        if self.abandoned_as is Outcome.CANCELLED:
            return Outcome.NOT_STARTED
        return self.abandoned_as or Outcome.CONNECT_FAILED
