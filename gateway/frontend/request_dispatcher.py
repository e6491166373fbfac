"""Dispatches complete requests: responds to them at once or submits them to the policy."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gateway.driver.open_request import STATUS_FAILED, STATUS_REJECTED, STATUS_SERVED, Response
from gateway.frontend.errors import FrontendError, UnavailableError
from gateway.frontend.http_response import error_response
from gateway.frontend.request_budget import BodyReservation, RequestBudget, RequestReservation
from gateway.frontend.submitted_request import SubmittedRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from gateway.driver.policy_driver import PolicyDriver
    from gateway.frontend.exchange import Exchange
    from gateway.frontend.request_metadata import RequestMetadataParser
    from gateway.frontend.request_reader import ReceivedRequest

READY_TARGET = b"/-/ready"

log = logging.getLogger(__name__)


class RequestDispatcher:
    """Dispatches the complete requests of all connections.

    Attributes:
        budget: Limits the buffered bytes of request bodies, and records the ids of open requests.
    """

    def __init__(
        self,
        driver: PolicyDriver,
        metadata_parser: RequestMetadataParser,
        budget: RequestBudget,
        is_ready: Callable[[], bool],
        has_too_many_connections: Callable[[], bool],
    ) -> None:
        """Create the dispatcher.

        Args:
            driver: Delivers the requests to the policy.
            metadata_parser: Parses the headers and targets of the requests.
            budget: Limits the buffered bytes of request bodies, and records the ids of open requests.
            is_ready: Returns whether this process is ready to serve; decides the status of readiness checks.
            has_too_many_connections: Returns whether to reject requests because of too many connections.
        """
        self.budget = budget
        self._driver = driver
        self._metadata_parser = metadata_parser
        self._is_ready = is_ready
        self._has_too_many_connections = has_too_many_connections

    def dispatch(
        self, exchange: Exchange, request: ReceivedRequest, body_reservation: BodyReservation
    ) -> None:
        """Respond to a request or submit it to the policy; on an error, send an error response."""
        try:
            self._dispatch(exchange, request, body_reservation)
        except FrontendError as error:
            # Closing the connection frees its descriptor for other clients.
            exchange.respond_and_close_connection(error_response(error))
        except Exception:
            log.exception("a request could not be handled")
            if exchange.response is None:
                exchange.respond(Response(STATUS_FAILED))

    def _dispatch(
        self, exchange: Exchange, request: ReceivedRequest, body_reservation: BodyReservation
    ) -> None:
        if request.target == READY_TARGET:
            status = STATUS_SERVED if self._is_ready() else STATUS_REJECTED
            exchange.respond(Response(status))
            return
        if self._has_too_many_connections():
            rejection = Response(UnavailableError.status, retry_after=UnavailableError.retry_after)
            exchange.respond_and_close_connection(rejection)
            return
        metadata = self._metadata_parser.parse(request.method, request.target, request.headers)
        reservation = RequestReservation(self.budget, metadata.request_id, body_reservation)
        submitted_request = SubmittedRequest(request, metadata, reservation, exchange.respond)
        exchange.submit(self._driver, submitted_request)
