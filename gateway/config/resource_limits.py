"""Limits on the connections and buffers of the process, derived from its file descriptors and memory."""

from __future__ import annotations

from dataclasses import dataclass

RESERVED_SOCKETS = 44  # descriptors that are not used for connections to clients or endpoints
SURPLUS_CLIENTS_FRACTION = 1 / 16  # of the descriptors, for surplus client connections
MIN_SURPLUS_CLIENTS = 8  # client connections whose requests are only rejected
BODY_MEMORY_FRACTION = 1 / 8  # of the memory, for buffered request bodies
BYTES_PER_MEGABYTE = 1 << 20


@dataclass(slots=True, frozen=True)
class ResourceLimits:
    """The limits of the process on concurrent use of its resources.

    Attributes:
        max_client_connections: Client connections whose requests are served.
        surplus_client_connections: Further client connections, whose requests are only rejected.
        max_upstream_connections: Connections to endpoints.
        max_buffered_bytes: Bytes of buffered request bodies.
    """

    max_client_connections: int
    surplus_client_connections: int
    max_upstream_connections: int
    max_buffered_bytes: int

    @classmethod
    def from_process_limits(cls, sockets: int, memory_mb: float) -> ResourceLimits:
        """Compute the limits from the number of file descriptors and the memory in megabytes."""
        surplus_client_connections = max(MIN_SURPLUS_CLIENTS, int(sockets * SURPLUS_CLIENTS_FRACTION))
        available = sockets - RESERVED_SOCKETS - surplus_client_connections
        max_client_connections = available // 2
        return cls(
            max_client_connections=max_client_connections,
            surplus_client_connections=surplus_client_connections,
            max_upstream_connections=available - max_client_connections,
            max_buffered_bytes=int(memory_mb * BODY_MEMORY_FRACTION * BYTES_PER_MEGABYTE),
        )
