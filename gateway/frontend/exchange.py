"""One request on a client's connection, and its response."""

from __future__ import annotations

import time
from typing import Protocol

from gateway.frontend.forwarded_request import ForwardedRequest
from gateway.frontend.request_metadata import RequestMetadata
from gateway.frontend.request_reader import ReceivedRequest
from gateway.open_request import OpenRequest, Response
from gateway.policy.events import Request
from gateway.policy_driver import PolicyDriver


class ExchangeOwner(Protocol):
    """What an exchange needs of the connection that it belongs to."""

    def flush(self) -> None:
        """Write the responses whose turn has come."""

    def request_released(self, exchange: Exchange) -> None:
        """Free what is held for the request of an exchange."""


class Exchange:
    """One request and its response, which waits for those before it on its connection."""

    __slots__ = ("buffered_bytes", "client", "keep_alive", "open_request", "request_id", "response")

    def __init__(self, client: ExchangeOwner, keep_alive: bool) -> None:
        self.client, self.keep_alive = client, keep_alive
        self.response: Response | None = None
        self.open_request: OpenRequest | None = None  # once the policy has got it
        self.request_id = b""  # as long as it is reserved
        self.buffered_bytes = 0  # of the body, as long as it is kept for retries

    def submit(self, driver: PolicyDriver, request: ReceivedRequest, metadata: RequestMetadata) -> None:
        """Submit the request to the policy."""
        deadline = request.started_at + metadata.timeout
        is_write = request.method == b"POST"

        def make_event(request_id: int) -> Request:
            return Request(
                request_id, metadata.class_index, metadata.plan_index, metadata.customer,
                deadline - time.monotonic(), metadata.units, metadata.gateway_set_size,
                metadata.first_gateway, metadata.is_retry, is_write,
            )  # fmt: skip

        encode = ForwardedRequest(request).encode
        self.open_request = driver.submit(make_event, deadline, encode, self.reply, self.release)

    def reply(self, response: Response) -> None:
        """Set the response and write it when its turn has come."""
        self.response = response
        self.client.flush()

    def release(self) -> None:
        """The request is answered and none of its attempts is in flight."""
        self.client.request_released(self)
