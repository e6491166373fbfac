"""What a policy hears: events, and the records they carry."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Outcome(IntEnum):
    """How an attempt, a probe or a counter call ended."""

    OK = 0
    ERROR = 5
    OVERLOADED = 11
    RESET = 104
    TIMEOUT = 110
    CONNECT_FAILED = 111
    NOT_STARTED = 114
    CANCELLED = 125

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the attempt had no effect."""
        return self in (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED)


class EndpointState(IntEnum):
    """A backend's state in the membership list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """What a membership event carries."""

    CACHED = 1
    DELTA = 2
    SNAPSHOT = 3
    FAILED = 4


@dataclass(slots=True, frozen=True)
class EndpointRecord:
    """One backend in a membership list; ``started`` 0 means long ago."""

    endpoint_id: int
    zone: int
    started_at: float
    state: EndpointState
    machine_type: int
    cell: int
    weight: float


@dataclass(slots=True)
class EndpointUpdate:
    kind: UpdateKind
    version: int
    records: tuple[EndpointRecord, ...]


@dataclass(slots=True)
class Request:
    """A client's try; ``left`` is the time until the client gives up on it."""

    request_id: int
    class_index: int
    plan_index: int
    customer: int
    time_remaining: float
    units: float
    gateway_set_size: int
    first_gateway: int
    is_retry: bool
    is_write: bool


@dataclass(slots=True)
class AttemptStarted:
    request_id: int
    attempt: int
    endpoint_id: int
    elapsed: float


@dataclass(slots=True)
class AttemptFinished:
    request_id: int
    attempt: int
    endpoint_id: int
    outcome: Outcome
    request_closed: bool
    elapsed: float
    charged_units: int
    metered_usage: int
    load_report: tuple[float, ...]


@dataclass(slots=True)
class ClientDisconnected:
    request_id: int


@dataclass(slots=True)
class TimerFired:
    token: int


@dataclass(slots=True)
class ProbeFinished:
    endpoint_id: int
    outcome: Outcome
    elapsed: float
    load_report: tuple[float, ...]


@dataclass(slots=True)
class PeerMessage:
    sender: int
    data: bytes


@dataclass(slots=True)
class CounterReply:
    """The answer to one ``AddToCounter``; ``total`` holds only with ``Outcome.OK``."""

    name: int
    outcome: Outcome
    total: float
    elapsed: float


Event = (
    EndpointUpdate
    | Request
    | AttemptStarted
    | AttemptFinished
    | ClientDisconnected
    | TimerFired
    | ProbeFinished
    | PeerMessage
    | CounterReply
)
