"""Events that the policy handles, and the records that they contain.

Times are in seconds; `elapsed` is the duration of the attempt, probe or counter call that the event reports.
AttemptStarted and PeerMessage are only sent by the simulator: the gateway does not stream responses, and
gateways do not exchange messages.  The policy ignores both.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Outcome(IntEnum):
    """How an attempt, a probe or a counter call ended; the values are those of the simulator's protocol."""

    OK = 0
    ERROR = 5  # the endpoint responded with an error, and may have executed the attempt
    OVERLOADED = 11  # rejected by the endpoint or the counter, without an effect
    RESET = 104  # the connection was lost while the attempt was in flight
    TIMEOUT = 110
    CONNECT_FAILED = 111
    NOT_STARTED = 114  # never sent: the request was answered, or the attempt cancelled, before that
    CANCELLED = 125

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that the attempt had no effect."""
        return self in (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED)


class EndpointState(IntEnum):
    """An endpoint's state in the endpoint list; the values are those of the simulator's protocol."""

    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """What an update of the endpoint list contains; the values are those of the simulator's protocol."""

    CACHED = 1  # all endpoints as last known, which may be out of date
    DELTA = 2  # only the endpoints that have changed
    SNAPSHOT = 3  # all endpoints; an endpoint that is missing is gone
    FAILED = 4  # no endpoints, because a poll of the endpoint list has failed


@dataclass(slots=True, frozen=True)
class EndpointRecord:
    """One endpoint in the endpoint list."""

    endpoint_id: int  # the same at every gateway, and unchanged when the endpoint restarts
    zone: int  # index into Settings.zones
    started_at: float  # Unix time at which the endpoint last started; 0: long ago
    state: EndpointState
    machine_type: int  # index of the machine type
    cell: int  # endpoints of one cell share the idempotency keys that they have seen
    weight: float  # defined by Settings.weight_source


@dataclass(slots=True)
class EndpointUpdate:
    """An update of the endpoint list."""

    kind: UpdateKind
    version: int
    records: tuple[EndpointRecord, ...]


@dataclass(slots=True)
class Request:
    """A client's request, which needs one final answer: the response of an attempt, Reject or Fail."""

    request_id: int
    class_index: int  # index into Settings.classes
    plan_index: int  # index into Settings.plans
    customer: int
    time_remaining: float  # time until the client gives up
    units: float  # units that the request consumes from a rate quota
    gateway_set_size: int  # number of gateways that receive this customer's requests
    first_gateway: int  # index of the first of these gateways; their indices are consecutive
    is_retry: bool  # whether the client has sent this request before
    is_write: bool


@dataclass(slots=True)
class AttemptStarted:
    """A streamed response has begun."""

    request_id: int
    attempt: int  # number of the attempt; each request counts its attempts from 0
    endpoint_id: int
    elapsed: float


@dataclass(slots=True)
class AttemptFinished:
    """An attempt has ended; each StartAttempt is followed by exactly one such event."""

    request_id: int
    attempt: int  # number of the attempt; each request counts its attempts from 0
    endpoint_id: int
    outcome: Outcome
    request_closed: bool  # whether the request has its final answer, from this attempt or from before
    elapsed: float
    charged_units: int  # units that the request consumed, if usage is settled after the response; else 0
    metered_usage: int  # 1 + the customer's usage in percent of its rate, if usage is metered; else 0
    load_report: tuple[float, ...]  # values in the order of Settings.report_columns; empty without a report


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected or the request's deadline has passed, so that no answer is needed."""

    request_id: int


@dataclass(slots=True)
class TimerFired:
    """A timer that SetTimer has set is due."""

    token: int


@dataclass(slots=True)
class ProbeFinished:
    """A health check has ended."""

    endpoint_id: int
    outcome: Outcome
    elapsed: float
    load_report: tuple[float, ...]  # values in the order of Settings.report_columns; empty without a report


@dataclass(slots=True)
class PeerMessage:
    """A message from another gateway."""

    sender: int
    data: bytes


@dataclass(slots=True)
class CounterReply:
    """The reply to one AddToCounter.  Replies for one name arrive in the order of the calls."""

    name: int
    outcome: Outcome  # OK: the amount was added; TIMEOUT: it may have been added; any other: it was not
    total: float  # total after this call, to seven digits; valid only with Outcome.OK
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
