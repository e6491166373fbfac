"""What is recorded in a soak, and sent between its processes as JSON."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from pydantic import TypeAdapter


class RequestEnd(enum.StrEnum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    LEFT = "left"  # the client closed its connection before an answer
    CLOSED = "closed"  # the gateway closed the connection before an answer
    SILENT = "silent"  # neither, until the last moment at which an answer counts
    NOT_SENT = "not sent"  # no connection came up, or it was lost before the request was written


class RequestClass(enum.StrEnum):
    """The classes of the soak's configuration, by their names."""

    IDEMPOTENT = "read"
    KEYED = "order"
    NON_IDEMPOTENT = "pay"


@dataclass(slots=True)
class RequestRecord:
    """One request; times are monotonic, in seconds.

    Attributes:
        request_id: The Request-Id header.
        request_class: The class of the request.
        gateway: Index of the gateway.
        timeout: The Request-Timeout in seconds.
        is_first: Whether it was the first request on its connection.
        is_resent: Whether it was sent before, on a connection that the gateway closed.
        connecting_at: When its client began to connect; 0 on a connection that was open before.
        begun_at: When its first byte was written.
        sent_at: When its last byte was written.
        ended_at: When it ended.
        end: How it ended.
        status: The status of the answer; 0 without one.
        is_own_body: Whether the body of a 200 is the one that an endpoint made for this request.
    """

    request_id: str
    request_class: RequestClass
    gateway: int
    timeout: float
    is_first: bool = False
    is_resent: bool = False
    connecting_at: float = 0.0
    begun_at: float = 0.0
    sent_at: float = 0.0
    ended_at: float = 0.0
    end: RequestEnd = RequestEnd.NOT_SENT
    status: int = 0
    is_own_body: bool = True


@dataclass(slots=True)
class LoadReport:
    """What the clients have seen.

    Attributes:
        requests: All requests.
        surplus_answers: Request ids after whose answer further bytes arrived on the connection.
    """

    requests: list[RequestRecord] = field(default_factory=list)
    surplus_answers: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ResourceSample:
    """The memory and descriptors of one process; `age` is the time since it was ready, in seconds."""

    age: float
    memory_mb: float
    descriptors: int


@dataclass(slots=True)
class ProcessRecord:
    """One gateway process; times are monotonic, in seconds.

    Attributes:
        gateway: Index of the gateway.
        started_at: When it was started.
        log_path: The file with its standard error.
        ready_at: When its readiness check first succeeded; 0 if it never did.
        terminated_at: When it got its first SIGTERM; 0 if it got none.
        killed_at: When it got SIGKILL; 0 if it got none.
        is_planned_kill: Whether the SIGKILL was not the one that follows a SIGTERM.
        ended_at: When it had ended.
        status: The exit status; negative for a signal.
        samples: Its resources over time.
    """

    gateway: int
    started_at: float
    log_path: str
    ready_at: float = 0.0
    terminated_at: float = 0.0
    killed_at: float = 0.0
    is_planned_kill: bool = False
    ended_at: float = 0.0
    status: int | None = None
    samples: list[ResourceSample] = field(default_factory=list)


LOAD_REPORT = TypeAdapter(LoadReport)
