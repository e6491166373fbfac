"""The bounds on what all connections together hold for requests: bytes of bodies, and open request ids."""

from __future__ import annotations

from gateway.frontend.errors import DuplicateRequestIdError, UnavailableError


class RequestBudget:
    """Counts what is held for requests and refuses what exceeds a bound.

    Attributes:
        max_buffered_bytes: Bytes of bodies beyond which requests are rejected.
        buffered_bytes: Bytes of bodies that are held now.
        open_request_ids: The Request-Id of each open request.
    """

    def __init__(self, max_buffered_bytes: int) -> None:
        self.max_buffered_bytes = max_buffered_bytes
        self.buffered_bytes = 0
        self.open_request_ids: set[bytes] = set()

    def reserve_bytes(self, size: int) -> None:
        """Count bytes of a body.

        Raises:
            UnavailableError: Too many bytes are held; these are counted too, until they are released.
        """
        self.buffered_bytes += size
        if self.buffered_bytes > self.max_buffered_bytes:
            raise UnavailableError("too much is held")

    def release_bytes(self, size: int) -> None:
        """Count bytes of a body that is no longer held."""
        self.buffered_bytes -= size

    def reserve_request_id(self, request_id: bytes) -> None:
        """Mark a request as open.

        Raises:
            DuplicateRequestIdError: A request with this id is open.
        """
        if request_id in self.open_request_ids:
            raise DuplicateRequestIdError("this Request-Id is open")
        self.open_request_ids.add(request_id)

    def release_request_id(self, request_id: bytes) -> None:
        """Mark a request as no longer open."""
        self.open_request_ids.discard(request_id)


class BodyReservation:
    """The bytes that a connection holds of a body that it receives."""

    __slots__ = ("_budget", "_size")

    def __init__(self, budget: RequestBudget) -> None:
        self._budget = budget
        self._size = 0

    def grow(self, size: int) -> None:
        """Reserve bytes for a further part of the body.

        Raises:
            UnavailableError: Too many bytes are held.
        """
        self._size += size
        self._budget.reserve_bytes(size)

    def hand_over(self) -> int:
        """Return the number of reserved bytes, which the caller has to release from now on."""
        size = self._size
        self._size = 0
        return size

    def release(self) -> None:
        """Release all bytes."""
        if self._size:
            self._budget.release_bytes(self.hand_over())


class RequestReservation:
    """What an open request holds: its id, and the bytes of its body, which retries need."""

    __slots__ = ("_body_size", "_budget", "_request_id")

    def __init__(self, budget: RequestBudget, request_id: bytes, body: BodyReservation) -> None:
        """Reserve the id, and hold the bytes of the body from now on.

        Raises:
            DuplicateRequestIdError: A request with this id is open; the bytes stay with the body.
        """
        budget.reserve_request_id(request_id)
        self._budget = budget
        self._request_id = request_id
        self._body_size = body.hand_over()

    def release(self) -> None:
        """Release the id and the bytes; the driver calls this once."""
        if self._body_size:
            self._budget.release_bytes(self._body_size)
        self._budget.release_request_id(self._request_id)
