"""What happens with a complete request: it is answered at once, or submitted to the policy."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gateway.driver.open_request import FAILED, REJECTED, SERVED, Response
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
        budget: Bounds what is held for requests.
    """

    def __init__(
        self,
        driver: PolicyDriver,
        metadata_parser: RequestMetadataParser,
        budget: RequestBudget,
        is_ready: Callable[[], bool],
        has_too_many_connections: Callable[[], bool],
    ) -> None:
        """Wire the dispatcher.

        Args:
            driver: Gets the requests for the policy.
            metadata_parser: Reads their headers and targets.
            budget: Bounds what is held for requests.
            is_ready: Whether this process is ready to serve; asked by readiness checks.
            has_too_many_connections: Whether requests are rejected for the number of connections.
        """
        self.budget = budget
        self._driver = driver
        self._metadata_parser = metadata_parser
        self._is_ready = is_ready
        self._has_too_many_connections = has_too_many_connections

    def dispatch(self, exchange: Exchange, request: ReceivedRequest, body: BodyReservation) -> None:
        """Answer a request, or submit it to the policy; errors end in a response too."""
        try:
            self._dispatch(exchange, request, body)
        except FrontendError as error:
            exchange.reply_and_close(error_response(error))  # the connection's descriptor is of use to others
        except Exception:
            log.exception("a request could not be handled")
            if exchange.response is None:
                exchange.reply(Response(FAILED))

    def _dispatch(self, exchange: Exchange, request: ReceivedRequest, body: BodyReservation) -> None:
        if request.target == READY_TARGET:
            status = SERVED if self._is_ready() else REJECTED
            exchange.reply(Response(status))
            return
        if self._has_too_many_connections():
            rejection = Response(UnavailableError.status, retry_after=UnavailableError.retry_after)
            exchange.reply_and_close(rejection)
            return
        metadata = self._metadata_parser.parse(request.method, request.target, request.headers)
        reservation = RequestReservation(self.budget, metadata.request_id, body)
        submitted_request = SubmittedRequest(request, metadata, reservation, exchange.reply)
        exchange.submit(self._driver, submitted_request)
