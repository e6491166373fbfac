"""Exponential backoff between attempts to connect."""

from __future__ import annotations

from gateway.backoff import Backoff


def test_delay_doubles_up_to_its_maximum() -> None:
    backoff = Backoff(0.25, 0.8)
    delays = []
    for _ in range(4):
        delays.append(backoff.seconds)
        backoff.increase()
    assert delays == [0.25, 0.5, 0.8, 0.8]


def test_reset_restores_the_minimum_delay() -> None:
    backoff = Backoff(0.25, 0.8)
    backoff.increase()
    backoff.reset()
    assert backoff.seconds == 0.25
