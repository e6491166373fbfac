"""What the process may hold at a time, derived from the descriptors and the memory that it is given."""

from __future__ import annotations

from dataclasses import dataclass

RESERVED_SOCKETS = 44  # descriptors that are neither client connections nor connections to endpoints
SURPLUS_CLIENTS_FRACTION = 1 / 16  # of the descriptors, for connections that only get a rejection
MIN_SURPLUS_CLIENTS = 8  # connections
BODY_MEMORY_FRACTION = 1 / 8  # of the memory, for the bodies of requests
BYTES_PER_MEGABYTE = 1 << 20


@dataclass(slots=True, frozen=True)
class ResourceLimits:
    """What the process may hold at a time.

    Attributes:
        max_client_connections: Client connections that are served.
        surplus_client_connections: Further client connections that only get a rejection.
        max_upstream_connections: Connections to endpoints.
        max_buffered_bytes: Bytes of request bodies.
    """

    max_client_connections: int
    surplus_client_connections: int
    max_upstream_connections: int
    max_buffered_bytes: int

    @classmethod
    def from_process_limits(cls, sockets: int, memory_mb: float) -> ResourceLimits:
        """Divide `sockets` descriptors and `memory_mb` megabytes of memory among the parts of the process."""
        surplus_client_connections = max(MIN_SURPLUS_CLIENTS, int(sockets * SURPLUS_CLIENTS_FRACTION))
        available = sockets - RESERVED_SOCKETS - surplus_client_connections
        max_client_connections = available // 2
        return cls(
            max_client_connections=max_client_connections,
            surplus_client_connections=surplus_client_connections,
            max_upstream_connections=available - max_client_connections,
            max_buffered_bytes=int(memory_mb * BODY_MEMORY_FRACTION * BYTES_PER_MEGABYTE),
        )
