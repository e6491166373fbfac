"""An attempt: one request that is sent to one endpoint once."""

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
    """The result of an attempt or a probe.

    Attributes:
        outcome: The outcome that is reported to the policy.
        elapsed: Seconds from the start to the end of the attempt.
        load_report: The values of the load report, in the order of the columns in the settings; empty if the
            endpoint sent no valid report.
        body: The response body; empty if there was no response.
        content_type: The value of the response's Content-Type header; empty if it has none.
    """

    outcome: Outcome
    elapsed: float
    load_report: tuple[float, ...] = ()
    body: bytes = b""
    content_type: bytes = b""


class AttemptState(enum.Enum):
    """The states of an attempt."""

    WAITING = enum.auto()  # waits for a connection; no byte of the request has been written
    WRITTEN = enum.auto()  # the request was written to a connection, so the endpoint may execute it
    ABANDONED = enum.auto()  # abandoned after the request was written; waits for its connection to close
    FINISHED = enum.auto()  # the callback has received the result


# Module-level aliases, because looking up an enum member on its class costs a Python call in Python 3.11.
WAITING = AttemptState.WAITING
WRITTEN = AttemptState.WRITTEN
ABANDONED = AttemptState.ABANDONED
FINISHED = AttemptState.FINISHED


class AttemptConnection(Protocol):
    """The interface of a connection that an attempt uses."""

    has_unsent_bytes: bool

    def abort(self) -> None:
        """Close the connection without waiting for unsent bytes."""


class Attempt:
    """One request that is sent to one endpoint; the callback receives the result exactly once.

    State transitions: `assign_connection` changes WAITING to WRITTEN, `abandon` and `mark_abandoned` change
    WRITTEN to ABANDONED, and `finish` and `fail` change any state to FINISHED.

    Attributes:
        request: The bytes of the HTTP request; empty once they have been passed to the connection.
        on_finished: The callback that receives the result.
        started_at: The `time.perf_counter` value at which the attempt was created.
        state: The current state.
        connection: The connection that the request was written to; None while the attempt is waiting.
        timer: Abandons the attempt at its timeout; None if it has no timeout.
        abandon_outcome: The outcome that an abandoned attempt will have; None if it is not abandoned.
    """

    __slots__ = ("abandon_outcome", "connection", "on_finished", "request", "started_at", "state", "timer")

    def __init__(self, request: bytes, on_finished: Callable[[AttemptResult], None]) -> None:
        self.request = request
        self.on_finished = on_finished
        self.started_at = time.perf_counter()
        self.state = WAITING
        self.connection: AttemptConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.abandon_outcome: Outcome | None = None

    @property
    def is_finished(self) -> bool:
        """Whether the callback has received the result."""
        return self.state is FINISHED

    @property
    def elapsed(self) -> float:
        """Seconds since the attempt was created."""
        return time.perf_counter() - self.started_at

    def start_timeout(self, loop: asyncio.AbstractEventLoop, seconds: float) -> None:
        """Abandon the attempt with TIMEOUT unless it finishes within a number of seconds."""
        self.timer = loop.call_later(seconds, self.abandon, Outcome.TIMEOUT)

    def assign_connection(self, connection: AttemptConnection) -> bytes:
        """Assign the connection and return the request to write, which the attempt no longer stores."""
        self.connection = connection
        self.state = WRITTEN
        request = self.request
        self.request = b""
        return request

    def finish(self, result: AttemptResult) -> None:
        """Pass the result to the callback; later results are ignored."""
        if self.state is FINISHED:
            return
        self.state = FINISHED
        if self.timer is not None:
            self.timer.cancel()
        self.on_finished(result)

    def fail(self, outcome: Outcome) -> None:
        """Finish the attempt with an outcome but no response."""
        self.finish(AttemptResult(outcome, self.elapsed))

    def abandon(self, outcome: Outcome) -> None:
        """Stop waiting for a connection or for the response.

        The endpoint may execute a written request until the connection is closed, so the attempt finishes
        only then; this prevents a retry from running concurrently.  A request that was not written cannot
        have been executed, so the attempt finishes immediately with an outcome that says so.
        """
        if self.state is WAITING:
            is_cancelled = outcome is Outcome.CANCELLED
            self.fail(Outcome.NOT_STARTED if is_cancelled else Outcome.CONNECT_FAILED)
        elif self.state is WRITTEN:
            self.mark_abandoned(outcome)
            assert self.connection is not None
            self.connection.abort()

    def mark_abandoned(self, outcome: Outcome) -> None:
        """Set the outcome for when the connection closes; does nothing unless the state is WRITTEN."""
        if self.state is WRITTEN:
            self.state = ABANDONED
            self.abandon_outcome = outcome

    def outcome_of_lost_connection(self) -> Outcome:
        """Return the outcome of an attempt whose connection was closed before the response was complete.

        An endpoint cannot have executed a request of which some bytes were never sent.  The outcome says so
        unless the attempt was abandoned for a timeout or an error.
        """
        assert self.connection is not None
        if not self.connection.has_unsent_bytes:
            return self.abandon_outcome or Outcome.RESET
        if self.abandon_outcome is Outcome.CANCELLED:
            return Outcome.NOT_STARTED
        return self.abandon_outcome or Outcome.CONNECT_FAILED
