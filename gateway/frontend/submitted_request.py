"""A request of a client as the policy driver sees it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from gateway.frontend.forwarded_request import ForwardedRequest
from gateway.policy.events import Request

if TYPE_CHECKING:
    from collections.abc import Callable

    from gateway.driver.open_request import Response
    from gateway.frontend.request_budget import RequestReservation
    from gateway.frontend.request_metadata import RequestMetadata
    from gateway.frontend.request_reader import ReceivedRequest


class SubmittedRequest:
    """The ``RequestOwner`` of a client's request.

    Attributes:
        deadline: Monotonic time in seconds at which the client stops waiting.
    """

    __slots__ = ("_forwarded_request", "_is_write", "_metadata", "_reply", "_reservation", "deadline")

    def __init__(
        self,
        request: ReceivedRequest,
        metadata: RequestMetadata,
        reservation: RequestReservation,
        reply: Callable[[Response], None],
    ) -> None:
        self.deadline = request.started_at + metadata.timeout
        self._forwarded_request = ForwardedRequest(request)
        self._is_write = request.method == b"POST"
        self._metadata = metadata
        self._reservation = reservation
        self._reply = reply

    def build_event(self, request_id: int) -> Request:
        """Return the policy's event for the request."""
        metadata = self._metadata
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
            is_write=self._is_write,
        )

    def encode_for_endpoint(self, timeout: float) -> bytes:
        """Return the bytes to send to an endpoint, given the attempt's timeout in seconds."""
        return self._forwarded_request.encode(timeout)

    def reply(self, response: Response) -> None:
        """Send the response when its turn has come."""
        self._reply(response)

    def release(self) -> None:
        """Free what is held for the request, which is closed and has no attempt in flight."""
        self._reservation.release()
