"""The reservations of body bytes and request ids."""

from __future__ import annotations

import pytest

from gateway.frontend.errors import DuplicateRequestIdError, UnavailableError
from gateway.frontend.request_budget import BodyReservation, RequestBudget, RequestReservation

MAX_BUFFERED_BYTES = 100


@pytest.fixture
def budget() -> RequestBudget:
    return RequestBudget(MAX_BUFFERED_BYTES)


# Guards against a number of buffered bytes that stays wrong: the bytes that exceed the limit are counted too,
# and are released with the rest of the body.
def test_body_beyond_the_limit_is_rejected_and_released_completely(budget: RequestBudget) -> None:
    body = BodyReservation(budget)
    body.grow(MAX_BUFFERED_BYTES)
    with pytest.raises(UnavailableError):
        body.grow(1)
    assert budget.buffered_bytes == MAX_BUFFERED_BYTES + 1
    body.release()
    assert budget.buffered_bytes == 0


# Guards against bytes that are released twice, by the connection and by the request.
def test_request_reserves_the_bytes_of_its_body_until_it_is_released(budget: RequestBudget) -> None:
    body = BodyReservation(budget)
    body.grow(10)
    request = RequestReservation(budget, b"one", body)
    body.release()
    assert budget.buffered_bytes == 10
    assert budget.open_request_ids == {b"one"}
    request.release(may_be_sent_again=True)
    assert budget.buffered_bytes == 0
    assert not budget.open_request_ids
    RequestReservation(budget, b"one", body)


def test_the_id_of_a_request_that_must_not_run_again_stays_in_use(budget: RequestBudget) -> None:
    body = BodyReservation(budget)
    RequestReservation(budget, b"one", body).release(may_be_sent_again=False)
    with pytest.raises(DuplicateRequestIdError):
        RequestReservation(budget, b"one", body)


def test_body_of_a_duplicate_request_is_released_by_its_connection(budget: RequestBudget) -> None:
    RequestReservation(budget, b"one", BodyReservation(budget))
    body = BodyReservation(budget)
    body.grow(10)
    with pytest.raises(DuplicateRequestIdError):
        RequestReservation(budget, b"one", body)
    body.release()
    assert budget.buffered_bytes == 0
