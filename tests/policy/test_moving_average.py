"""Moving averages by sample, and sums that decay over time."""

from __future__ import annotations

import math

import pytest

from gateway.policy.moving_average import DecayingSum, MovingAverage, decay_factor

TIME_CONSTANT = 5.0  # seconds


def test_the_newest_sample_has_the_weight_of_the_average() -> None:
    average = MovingAverage(value=1.0, weight=0.25)
    average.record(5.0)
    assert average.value == 2.0


def test_an_average_begins_again_with_an_assumed_value() -> None:
    average = MovingAverage(value=1.0, weight=0.25)
    average.reset(9.0)
    assert average.value == 9.0


def test_an_observation_decays_by_the_factor_e_in_a_time_constant() -> None:
    assert decay_factor(100.0, 100.0, TIME_CONSTANT) == 1.0
    assert decay_factor(100.0, 100.0 + TIME_CONSTANT, TIME_CONSTANT) == pytest.approx(math.exp(-1))


def test_the_rate_of_steady_events_is_found() -> None:
    events = DecayingSum(TIME_CONSTANT)
    for number in range(1000):
        events.record(100.0 + number / 10)
    assert events.rate(200.0) == pytest.approx(10.0, rel=0.02)


def test_the_rate_falls_when_no_events_come() -> None:
    events = DecayingSum(TIME_CONSTANT)
    events.record(100.0)
    assert events.rate(100.0 + TIME_CONSTANT) == pytest.approx(math.exp(-1) / TIME_CONSTANT)
