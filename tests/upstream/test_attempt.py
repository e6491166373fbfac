"""The states of an attempt, and the outcome with which it ends in each."""

from __future__ import annotations

import pytest

from gateway.policy.events import Outcome
from gateway.upstream.attempt import Attempt, AttemptResult, AttemptState


class FakeConnection:
    """Stands in for the connection that carries an attempt."""

    def __init__(self, has_unsent_bytes: bool = False) -> None:
        self.has_unsent_bytes = has_unsent_bytes
        self.aborted = 0

    def abort(self) -> None:
        self.aborted += 1


@pytest.fixture
def results() -> list[AttemptResult]:
    return []


@pytest.fixture
def attempt(results: list[AttemptResult]) -> Attempt:
    return Attempt(b"request", results.append)


def test_an_attempt_gives_its_payload_to_its_connection(attempt: Attempt) -> None:
    connection = FakeConnection()
    assert attempt.bind(connection) == b"request"
    assert attempt.state is AttemptState.WRITTEN
    assert attempt.connection is connection
    assert attempt.payload == b""


def test_an_attempt_finishes_once(attempt: Attempt, results: list[AttemptResult]) -> None:
    attempt.fail(Outcome.RESET)
    attempt.fail(Outcome.TIMEOUT)
    attempt.abandon(Outcome.CANCELLED)
    assert [result.outcome for result in results] == [Outcome.RESET]
    assert attempt.is_finished


@pytest.mark.parametrize(
    ("reason", "outcome"),
    [(Outcome.CANCELLED, Outcome.NOT_STARTED), (Outcome.TIMEOUT, Outcome.CONNECT_FAILED)],
)
def test_an_attempt_that_is_abandoned_before_it_is_written_never_ran(
    attempt: Attempt, results: list[AttemptResult], reason: Outcome, outcome: Outcome
) -> None:
    attempt.abandon(reason)
    assert [result.outcome for result in results] == [outcome]
    assert outcome.never_ran


# Guards against a retry beside an attempt that may still run.
def test_an_attempt_that_is_abandoned_after_it_is_written_waits_for_its_connection(
    attempt: Attempt, results: list[AttemptResult]
) -> None:
    connection = FakeConnection()
    attempt.bind(connection)
    attempt.abandon(Outcome.TIMEOUT)
    attempt.abandon(Outcome.CANCELLED)
    assert attempt.state is AttemptState.ABANDONED
    assert connection.aborted == 1
    assert not results
    assert attempt.outcome_of_lost_connection() is Outcome.TIMEOUT


@pytest.mark.parametrize(
    ("reason", "has_unsent_bytes", "outcome"),
    [
        (None, False, Outcome.RESET),
        (None, True, Outcome.CONNECT_FAILED),
        (Outcome.CANCELLED, False, Outcome.CANCELLED),
        (Outcome.CANCELLED, True, Outcome.NOT_STARTED),
        (Outcome.TIMEOUT, False, Outcome.TIMEOUT),
        (Outcome.TIMEOUT, True, Outcome.TIMEOUT),
        (Outcome.ERROR, False, Outcome.ERROR),
    ],
)
def test_the_outcome_of_a_lost_connection(
    attempt: Attempt, reason: Outcome | None, has_unsent_bytes: bool, outcome: Outcome
) -> None:
    attempt.bind(FakeConnection(has_unsent_bytes))
    if reason is not None:
        attempt.abandon(reason)
    assert attempt.outcome_of_lost_connection() is outcome
