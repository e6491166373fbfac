"""One attempt: a single request on its way to a single endpoint."""

from __future__ import annotations

import asyncio
import enum
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from gateway.policy.events import Outcome


@dataclass(slots=True)
class AttemptResult:
    """How an attempt or a probe ended.

    `elapsed` is in seconds from its start.  `load_report` has the columns of the settings, or is
    empty where the endpoint sent none that could be read.
    """

    outcome: Outcome
    elapsed: float
    load_report: tuple[float, ...] = ()
    body: bytes = b""
    content_type: bytes = b""


class AttemptState(enum.Enum):
    """How far an attempt has come."""

    WAITING = enum.auto()  # for a connection; no byte of it was written
    WRITTEN = enum.auto()  # handed to a connection, so that the endpoint may run it
    ABANDONED = enum.auto()  # given up after that; it finishes once its connection has ended
    FINISHED = enum.auto()


# Looked up once: access to a member through its class takes a Python call in Python 3.11.
WAITING, WRITTEN, ABANDONED, FINISHED = AttemptState


class AttemptConnection(Protocol):
    """What an attempt needs of the connection that carries it."""

    has_unsent_bytes: bool

    def abort(self) -> None:
        """End the connection at once."""


class Attempt:
    """One request on its way to one endpoint; its callback is called with its result exactly once.

    All changes of `state` are made here.
    """

    __slots__ = ("abandoned_as", "connection", "on_finished", "payload", "started_at", "state", "timer")

    def __init__(self, payload: bytes, on_finished: Callable[[AttemptResult], None]) -> None:
        self.payload, self.on_finished = payload, on_finished
        self.started_at = time.perf_counter()
        self.state = WAITING
        self.connection: AttemptConnection | None = None  # set once its first byte may have been written
        self.timer: asyncio.TimerHandle | None = None
        self.abandoned_as: Outcome | None = None  # the outcome of an abandoned attempt

    @property
    def is_finished(self) -> bool:
        """Whether the result was handed over."""
        return self.state is FINISHED

    @property
    def elapsed(self) -> float:
        """Seconds since the start."""
        return time.perf_counter() - self.started_at

    def start_timeout(self, loop: asyncio.AbstractEventLoop, seconds: float) -> None:
        """Abandon the attempt unless it finishes in time."""
        self.timer = loop.call_later(seconds, self.abandon, Outcome.TIMEOUT)

    def bind(self, connection: AttemptConnection) -> bytes:
        """Bind the attempt to its connection and return the bytes to write, which are kept no longer."""
        self.connection = connection
        self.state = WRITTEN
        payload, self.payload = self.payload, b""
        return payload

    def finish(self, result: AttemptResult) -> None:
        """Hand the result over; later ones are ignored."""
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
        then, so that no retry runs beside it.
        """
        if self.state is WAITING:
            # Nothing was written: it never ran, whatever the reason for giving it up.
            self.fail(Outcome.NOT_STARTED if outcome is Outcome.CANCELLED else Outcome.CONNECT_FAILED)
        elif self.state is WRITTEN:
            self.mark_abandoned(outcome)
            assert self.connection is not None
            self.connection.abort()

    def mark_abandoned(self, outcome: Outcome) -> None:
        """Set the outcome that counts once the connection has ended; later calls change nothing."""
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
