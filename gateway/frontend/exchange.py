"""One request on a client's connection, and its response."""

from __future__ import annotations

import time
from typing import Protocol

from gateway.driver.open_request import OpenRequest, Response
from gateway.driver.policy_driver import PolicyDriver
from gateway.frontend.forwarded_request import ForwardedRequest
from gateway.frontend.request_metadata import RequestMetadata
from gateway.frontend.request_reader import ReceivedRequest
from gateway.policy.events import Request


class ExchangeOwner(Protocol):
    """What an exchange needs of the connection that it belongs to."""

    def flush(self) -> None:
        """Write the responses whose turn has come."""

    def request_released(self, exchange: Exchange) -> None:
        """Free what is held for the request of an exchange."""


class Exchange:
    """One request and its response, which waits for those before it on its connection.

    It is the ``RequestOwner`` of its request once that is submitted.
    """

    __slots__ = (
        "buffered_bytes",
        "client",
        "deadline",
        "forwarded_request",
        "is_write",
        "keep_alive",
        "metadata",
        "open_request",
        "request_id",
        "response",
    )

    def __init__(self, client: ExchangeOwner, *, keep_alive: bool) -> None:
        self.client = client
        self.keep_alive = keep_alive
        self.response: Response | None = None
        self.open_request: OpenRequest | None = None  # once the policy has got it
        self.request_id = b""  # as long as it is reserved
        self.buffered_bytes = 0  # of the body, as long as it is kept for retries

    def submit(self, driver: PolicyDriver, request: ReceivedRequest, metadata: RequestMetadata) -> None:
        """Submit the request to the policy."""
        self.metadata = metadata
        self.deadline = request.started_at + metadata.timeout
        self.is_write = request.method == b"POST"
        self.forwarded_request = ForwardedRequest(request)
        self.open_request = driver.submit(self, self.deadline)

    def build_event(self, request_id: int) -> Request:
        """Return the policy's event for the request."""
        metadata = self.metadata
        return Request(
            request_id=request_id,
            class_index=metadata.class_index,
            plan_index=metadata.plan_index,
            customer=metadata.customer,
            time_remaining=self.deadline - time.monotonic(),
            units=metadata.units,
            gateway_set_size=metadata.gateway_set_size,
            first_gateway=metadata.first_gateway,
            is_retry=metadata.is_retry,
            is_write=self.is_write,
        )

    def encode_for_endpoint(self, timeout: float) -> bytes:
        """Return the bytes to send to an endpoint, given the attempt's timeout in seconds."""
        return self.forwarded_request.encode(timeout)

    def reply(self, response: Response) -> None:
        """Set the response and write it when its turn has come."""
        self.response = response
        self.client.flush()

    def release(self) -> None:
        """Free what is held for the request, which is closed and has no attempt in flight."""
        self.client.request_released(self)
