"""Fixtures for tests of the policy: policies and the counter that they call."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.support.policy import InMemoryCounter, make_policy

if TYPE_CHECKING:
    from gateway.policy.engine import Policy


@pytest.fixture
def counter() -> InMemoryCounter:
    """A counter without any totals."""
    return InMemoryCounter()


@pytest.fixture
def policy() -> Policy:
    """The policy of one of three gateways, with six endpoints and the settings in `BASE_SETTINGS`."""
    return make_policy()


@pytest.fixture
def other_policy() -> Policy:
    """The policy of another gateway of the same deployment."""
    return make_policy(me="1")
