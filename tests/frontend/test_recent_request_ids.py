"""For how long the ids of ended requests are remembered, and how many."""

from __future__ import annotations

import time

import pytest

from gateway.frontend.recent_request_ids import GENERATION_SECONDS, MAX_GENERATION_IDS, RecentRequestIds


class Clock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(time, "monotonic", clock.monotonic)
    return clock


def test_an_id_is_remembered_for_a_generation_and_forgotten_after_two(clock: Clock) -> None:
    ids = RecentRequestIds()
    ids.add(b"one")
    clock.now += GENERATION_SECONDS
    ids.add(b"two")
    assert b"one" in ids
    clock.now += GENERATION_SECONDS
    ids.add(b"three")
    assert b"one" not in ids
    assert b"two" in ids


# Guards against memory that grows with the requests of clients that send at full speed.
@pytest.mark.usefixtures("clock")
def test_the_number_of_ids_is_bounded() -> None:
    ids = RecentRequestIds()
    for number in range(5 * MAX_GENERATION_IDS):
        ids.add(b"%d" % number)
        assert b"%d" % max(0, number - MAX_GENERATION_IDS + 1) in ids
    assert len(ids) <= 2 * MAX_GENERATION_IDS
