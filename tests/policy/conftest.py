"""A policy and the counter that it calls, as most tests of the policy need them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.support.policy import FakeCounter, make_policy

if TYPE_CHECKING:
    from gateway.policy.engine import Policy


@pytest.fixture
def counter() -> FakeCounter:
    """An empty counter."""
    return FakeCounter()


@pytest.fixture
def policy() -> Policy:
    """One of three gateways, with six endpoints and the settings of `BASE_SETTINGS`."""
    return make_policy()


@pytest.fixture
def other_policy() -> Policy:
    """Another gateway of the same deployment."""
    return make_policy(me="1")
