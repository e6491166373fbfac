"""Limits the buffered bytes of request bodies of all connections, and records the ids of requests."""

from __future__ import annotations

from gateway.frontend.errors import DuplicateRequestIdError, UnavailableError
from gateway.frontend.recent_request_ids import RecentRequestIds


class RequestBudget:
    """Limits the buffered bytes of request bodies, and rejects requests whose id was used before.

    Attributes:
        max_buffered_bytes: Number of buffered bytes above which requests are rejected.
        buffered_bytes: Number of bytes of bodies that are buffered now.
        open_request_ids: The Request-Id of each open request.
        executed_request_ids: The Request-Id of ended requests that must not be executed again.
    """

    def __init__(self, max_buffered_bytes: int) -> None:
        self.max_buffered_bytes = max_buffered_bytes
        self.buffered_bytes = 0
        self.open_request_ids: set[bytes] = set()
        self.executed_request_ids = RecentRequestIds()

    def reserve_bytes(self, size: int) -> None:
        """Reserve bytes for a body.

        Raises:
            UnavailableError: The limit is exceeded; these bytes are counted too, until they are released.
        """
        self.buffered_bytes += size
        if self.buffered_bytes > self.max_buffered_bytes:
            raise UnavailableError("too many bytes of request bodies are buffered")

    def release_bytes(self, size: int) -> None:
        """Release reserved bytes of a body that is no longer buffered."""
        self.buffered_bytes -= size

    def reserve_request_id(self, request_id: bytes) -> None:
        """Reserve the id of a request.

        Raises:
            DuplicateRequestIdError: A request with this id is open, or may have been executed before.
        """
        if request_id in self.open_request_ids:
            raise DuplicateRequestIdError("another request with this Request-Id is open")
        if request_id in self.executed_request_ids:
            raise DuplicateRequestIdError("a request with this Request-Id may have been executed")
        self.open_request_ids.add(request_id)

    def release_request_id(self, request_id: bytes) -> None:
        """Release the id of a request."""
        self.open_request_ids.discard(request_id)


class BodyReservation:
    """The bytes that a connection has reserved for the body that it is receiving."""

    __slots__ = ("_budget", "_size")

    def __init__(self, budget: RequestBudget) -> None:
        self._budget = budget
        self._size = 0

    def grow(self, size: int) -> None:
        """Reserve bytes for a further part of the body.

        Raises:
            UnavailableError: The limit is exceeded; these bytes are reserved all the same.
        """
        self._size += size
        self._budget.reserve_bytes(size)

    def transfer(self) -> int:
        """Give up the reservation and return its number of bytes, which the caller now has to release."""
        size = self._size
        self._size = 0
        return size

    def release(self) -> None:
        """Release all bytes."""
        if self._size:
            self._budget.release_bytes(self.transfer())


class RequestReservation:
    """The reservation of an open request: its id and the bytes of its body, which is stored for retries."""

    __slots__ = ("_body_size", "_budget", "_request_id")

    def __init__(self, budget: RequestBudget, request_id: bytes, body_reservation: BodyReservation) -> None:
        """Reserve the id and take over the reserved bytes of the body.

        Raises:
            DuplicateRequestIdError: The id was used before; the bytes are not taken over.
        """
        budget.reserve_request_id(request_id)
        self._budget = budget
        self._request_id = request_id
        self._body_size = body_reservation.transfer()

    def release(self, *, may_be_sent_again: bool) -> None:
        """Release the bytes, and the id unless a request with it must not be executed again.  Called once."""
        if self._body_size:
            self._budget.release_bytes(self._body_size)
        self._budget.release_request_id(self._request_id)
        if not may_be_sent_again:
            self._budget.executed_request_ids.add(self._request_id)
