"""Tests of the states of an attempt and of its outcome in each state."""

from __future__ import annotations

import pytest

from gateway.policy.events import Outcome
from gateway.upstream.attempt import Attempt, AttemptResult, AttemptState


class FakeConnection:
    """Replaces the connection that an attempt is assigned to."""

    def __init__(self, *, has_unsent_bytes: bool = False) -> None:
        self.has_unsent_bytes = has_unsent_bytes
        self.abort_count = 0

    def abort(self) -> None:
        self.abort_count += 1


@pytest.fixture
def results() -> list[AttemptResult]:
    return []


@pytest.fixture
def attempt(results: list[AttemptResult]) -> Attempt:
    return Attempt(b"request", results.append)


def test_an_attempt_passes_its_request_to_its_connection(attempt: Attempt) -> None:
    connection = FakeConnection()
    assert attempt.assign_connection(connection) == b"request"
    assert attempt.state is AttemptState.WRITTEN
    assert attempt.connection is connection
    assert attempt.request == b""


def test_an_attempt_finishes_once(attempt: Attempt, results: list[AttemptResult]) -> None:
    attempt.fail(Outcome.RESET)
    attempt.fail(Outcome.TIMEOUT)
    attempt.abandon(Outcome.CANCELLED)
    assert [result.outcome for result in results] == [Outcome.RESET]
    assert attempt.is_finished


@pytest.mark.parametrize(
    ("reason", "outcome"),
    [
        pytest.param(Outcome.CANCELLED, Outcome.NOT_STARTED, id="cancelled"),
        pytest.param(Outcome.TIMEOUT, Outcome.CONNECT_FAILED, id="timeout"),
    ],
)
def test_an_attempt_abandoned_before_it_is_written_counts_as_not_executed(
    attempt: Attempt, results: list[AttemptResult], reason: Outcome, outcome: Outcome
) -> None:
    attempt.abandon(reason)
    assert [result.outcome for result in results] == [outcome]
    assert outcome.never_ran


# Guards against a retry that runs concurrently with an abandoned attempt.
def test_an_attempt_abandoned_after_it_is_written_finishes_when_its_connection_closes(
    attempt: Attempt, results: list[AttemptResult]
) -> None:
    connection = FakeConnection()
    attempt.assign_connection(connection)
    attempt.abandon(Outcome.TIMEOUT)
    attempt.abandon(Outcome.CANCELLED)
    assert attempt.state is AttemptState.ABANDONED
    assert connection.abort_count == 1
    assert not results
    assert attempt.outcome_of_lost_connection() is Outcome.TIMEOUT


@pytest.mark.parametrize(
    ("reason", "has_unsent_bytes", "outcome"),
    [
        pytest.param(None, False, Outcome.RESET, id="lost"),
        pytest.param(None, True, Outcome.CONNECT_FAILED, id="lost, request incomplete"),
        pytest.param(Outcome.CANCELLED, False, Outcome.CANCELLED, id="cancelled"),
        pytest.param(Outcome.CANCELLED, True, Outcome.NOT_STARTED, id="cancelled, request incomplete"),
        pytest.param(Outcome.TIMEOUT, False, Outcome.TIMEOUT, id="timeout"),
        pytest.param(Outcome.TIMEOUT, True, Outcome.TIMEOUT, id="timeout, request incomplete"),
        pytest.param(Outcome.ERROR, False, Outcome.ERROR, id="error"),
    ],
)
def test_the_outcome_when_the_connection_is_lost(
    attempt: Attempt, *, reason: Outcome | None, has_unsent_bytes: bool, outcome: Outcome
) -> None:
    attempt.assign_connection(FakeConnection(has_unsent_bytes=has_unsent_bytes))
    if reason is not None:
        attempt.abandon(reason)
    assert attempt.outcome_of_lost_connection() is outcome
