"""The former place of the fakes, each of which has its module; for tests that still import them from here."""

from __future__ import annotations

from tests.support.event_loop import run, until
from tests.support.fake_counter import FakeCounter
from tests.support.fake_discovery import FakeDiscoveryAgent, host_line
from tests.support.fake_endpoint import FakeEndpoint
from tests.support.fake_server import Handler, listening
from tests.support.gateway import config_text, make_config, running_gateway
from tests.support.http_client import HttpClient
from tests.support.http_messages import Message, http_response, read_message
from tests.support.scripted_policy import FIRST
from tests.support.scripted_policy import forward_to_first as send_on

__all__ = [
    "FIRST",
    "FakeCounter",
    "FakeDiscoveryAgent",
    "FakeEndpoint",
    "Handler",
    "HttpClient",
    "Message",
    "config_text",
    "host_line",
    "http_response",
    "listening",
    "make_config",
    "read_message",
    "run",
    "running_gateway",
    "send_on",
    "until",
]
