"""Events that the policy handles, and the records that they carry.

Times are in seconds; `elapsed` is the time since the start of what the event ends.  AttemptStarted and
PeerMessage occur on the simulator's wire alone: the gateway's responses are not streamed, and gateways share
only the counter.  The policy ignores them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Outcome(IntEnum):
    """How an attempt, a probe or a counter call ended; the values are those of the simulator's wire."""

    OK = 0
    ERROR = 5  # the endpoint answered with an error: the attempt may have run
    OVERLOADED = 11  # rejected by the endpoint, or by the counter, without an effect
    RESET = 104  # the connection was lost with the attempt in flight
    TIMEOUT = 110
    CONNECT_FAILED = 111
    NOT_STARTED = 114  # never sent, as its request was answered or it was cancelled first
    CANCELLED = 125

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that the attempt had no effect."""
        return self in (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED)


class EndpointState(IntEnum):
    """An endpoint's state in the endpoint list; the values are those of the simulator's wire."""

    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """What an update of the endpoint list contains; the values are those of the simulator's wire."""

    CACHED = 1  # all endpoints as the gateway last knew them, perhaps out of date
    DELTA = 2  # the endpoints that have changed
    SNAPSHOT = 3  # all endpoints: one that is missing is gone
    FAILED = 4  # no endpoints, as a poll of the list has failed


@dataclass(slots=True, frozen=True)
class EndpointRecord:
    """One endpoint in the endpoint list."""

    endpoint_id: int  # the same at every gateway, and after a restart of the endpoint
    zone: int
    started_at: float  # Unix time of its last start; 0: long ago
    state: EndpointState
    machine_type: int
    cell: int  # endpoints of one cell share the idempotency keys that they have seen
    weight: float


@dataclass(slots=True)
class EndpointUpdate:
    """An update of the endpoint list."""

    kind: UpdateKind
    version: int
    records: tuple[EndpointRecord, ...]


@dataclass(slots=True)
class Request:
    """A request of a client, which needs one final answer: an attempt's response, Reject or Fail."""

    request_id: int
    class_index: int  # into Settings.classes
    plan_index: int  # into Settings.plans
    customer: int
    time_remaining: float  # until the client gives up on it
    units: float  # that it consumes from a rate quota
    gateway_set_size: int  # gateways that receive this customer's requests
    first_gateway: int  # index of the first of them; the others follow it
    is_retry: bool  # whether the client has sent it before
    is_write: bool


@dataclass(slots=True)
class AttemptStarted:
    """A streamed response has begun."""

    request_id: int
    attempt: int  # counted from 0 for each request
    endpoint_id: int
    elapsed: float


@dataclass(slots=True)
class AttemptFinished:
    """An attempt has ended; one such event follows each StartAttempt."""

    request_id: int
    attempt: int  # counted from 0 for each request
    endpoint_id: int
    outcome: Outcome
    request_closed: bool  # whether the request has its final answer, by this outcome or before it
    elapsed: float
    charged_units: int  # that the request consumed, where usage is settled afterwards, else 0
    metered_usage: int  # 1 + the customer's usage in percent of its rate, where there is a meter, else 0
    load_report: tuple[float, ...]  # by Settings.report_columns; empty without a report


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected, or the request is past its deadline: it needs no answer any more."""

    request_id: int


@dataclass(slots=True)
class TimerFired:
    """A timer of SetTimer is due."""

    token: int


@dataclass(slots=True)
class ProbeFinished:
    """A health check has ended."""

    endpoint_id: int
    outcome: Outcome
    elapsed: float
    load_report: tuple[float, ...]  # by Settings.report_columns; empty without a report


@dataclass(slots=True)
class PeerMessage:
    """A message from another gateway."""

    sender: int
    data: bytes


@dataclass(slots=True)
class CounterReply:
    """The answer to one AddToCounter.  Replies for one name arrive in the order of its calls."""

    name: int
    outcome: Outcome  # TIMEOUT: the amount may have been added; any other but OK: it was not
    total: float  # after this call, to seven digits; valid with Outcome.OK alone
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
