"""A client's request as it is submitted to the policy driver."""

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
    """Implements the driver's ``ClientRequest`` for a request that was received over HTTP.

    Attributes:
        deadline: Monotonic time in seconds at which the client stops waiting.
    """

    __slots__ = ("_forwarded_request", "_is_write", "_metadata", "_reservation", "_send_response", "deadline")

    def __init__(
        self,
        request: ReceivedRequest,
        metadata: RequestMetadata,
        reservation: RequestReservation,
        send_response: Callable[[Response], None],
    ) -> None:
        self.deadline = request.started_at + metadata.timeout
        self._forwarded_request = ForwardedRequest(request)
        self._is_write = request.method == b"POST"
        self._metadata = metadata
        self._reservation = reservation
        self._send_response = send_response

    def build_event(self, request_id: int) -> Request:
        """Return the event for the policy."""
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
        """Return the bytes to send to an endpoint for an attempt with this timeout in seconds."""
        return self._forwarded_request.encode(timeout)

    def respond(self, response: Response) -> None:
        """Send the response once all earlier responses on the connection are sent."""
        self._send_response(response)

    def release(self, *, may_have_run: bool) -> None:
        """Release the body and the id; the id of a write that may have been executed is remembered."""
        self._reservation.release(may_be_sent_again=not (self._is_write and may_have_run))
