"""One request on a client's connection, and its response."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from gateway.driver.open_request import OpenRequest, Response
    from gateway.driver.policy_driver import PolicyDriver
    from gateway.frontend.submitted_request import SubmittedRequest


class ExchangeOwner(Protocol):
    """The connection of an exchange.  The exchange calls this method; the connection calls all others."""

    def flush(self) -> None:
        """Write the responses whose turn has come."""


class Exchange:
    """One request and its response, which waits for those before it on its connection.

    Attributes:
        keep_alive: Whether the connection is kept open after the response.
        response: The response; None until there is one.
    """

    __slots__ = ("_driver", "_open_request", "_owner", "keep_alive", "response")

    def __init__(self, owner: ExchangeOwner, *, keep_alive: bool) -> None:
        self.keep_alive = keep_alive
        self.response: Response | None = None
        self._owner = owner
        self._driver: PolicyDriver | None = None
        self._open_request: OpenRequest | None = None

    def submit(self, driver: PolicyDriver, request: SubmittedRequest) -> None:
        """Submit the request to the policy."""
        self._driver = driver
        open_request = driver.submit(request, request.deadline)
        if self.response is None:  # the policy may have decided at once
            self._open_request = open_request

    def reply(self, response: Response) -> None:
        """Set the response, and write it once its turn has come."""
        self.response = response
        # The open request refers to this exchange: without this, only the garbage collector would free both,
        # and with them the bodies of the request and its response.
        self._open_request = None
        self._owner.flush()

    def reply_and_close(self, response: Response) -> None:
        """Set the response, and close the connection behind it."""
        self.keep_alive = False
        self.reply(response)

    def disconnect(self) -> None:
        """Tell the policy driver that the client does not wait for the response any more."""
        if self._driver is not None and self._open_request is not None:
            self._driver.client_disconnected(self._open_request)
