"""One request on a client's connection, and its response."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from gateway.driver.open_request import OpenRequest, Response
    from gateway.driver.policy_driver import PolicyDriver
    from gateway.frontend.submitted_request import SubmittedRequest


class ExchangeConnection(Protocol):
    """The interface of a client connection that its exchanges use."""

    def flush_responses(self) -> None:
        """Write the responses that are next in order."""


class Exchange:
    """One request and its response, which is sent after all earlier responses on the connection.

    Attributes:
        keep_alive: Whether the connection stays open after the response.
        response: The response; None until the request is answered.
    """

    __slots__ = ("_connection", "_driver", "_open_request", "keep_alive", "response")

    def __init__(self, connection: ExchangeConnection, *, keep_alive: bool) -> None:
        self.keep_alive = keep_alive
        self.response: Response | None = None
        self._connection = connection
        self._driver: PolicyDriver | None = None
        self._open_request: OpenRequest | None = None

    def submit(self, driver: PolicyDriver, request: SubmittedRequest) -> None:
        """Submit the request to the policy."""
        self._driver = driver
        open_request = driver.submit(request, request.deadline)
        if self.response is None:  # it is set if the policy has responded within the call
            self._open_request = open_request

    def respond(self, response: Response) -> None:
        """Set the response; it is written after all earlier responses on the connection."""
        self.response = response
        # The open request refers back to this exchange.  Breaking the cycle frees both, and with them the
        # bodies of the request and the response, without the garbage collector.
        self._open_request = None
        self._connection.flush_responses()

    def respond_and_close_connection(self, response: Response) -> None:
        """Set the response and close the connection after it."""
        self.keep_alive = False
        self.respond(response)

    def disconnect(self) -> None:
        """Tell the policy driver that the client has disconnected."""
        if self._driver is not None and self._open_request is not None:
            self._driver.handle_client_disconnect(self._open_request)
