"""The former place of what `event_loop` and `gateway` hold now; for tests that still import it from here."""

from __future__ import annotations

from tests.support.event_loop import async_test
from tests.support.gateway import UNREACHABLE, GatewaySetUp, config_without, gateway_with_client

__all__ = ["UNREACHABLE", "GatewaySetUp", "async_test", "config_without", "gateway_with_client"]
