"""Events that the policy handles, and the records that they carry.

Times are in seconds; `elapsed` counts from the start of what the event ends.  AttemptStarted and PeerMessage
come on the simulator's wire alone: the gateway's responses are not streamed, and gateways share only the
counter.  The policy does nothing about them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Outcome(IntEnum):
    """How an attempt, a probe or a counter call ended; the values are those of the simulator's wire."""

    OK = 0
    ERROR = 5  # the endpoint answered with an error: the attempt may have run
    OVERLOADED = 11  # rejected by the endpoint, or by the counter, before anything was done
    RESET = 104  # the connection was lost with the attempt in flight
    TIMEOUT = 110
    CONNECT_FAILED = 111
    NOT_STARTED = 114  # never sent, as its request was finished or it was withdrawn first
    CANCELLED = 125

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the attempt had no effect."""
        return self in (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED)


class EndpointState(IntEnum):
    """An endpoint's state in the endpoint list; the values are those of the simulator's wire."""

    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """What an update of the endpoint list holds; the values are those of the simulator's wire."""

    CACHED = 1  # the whole list as the gateway last had it, perhaps out of date
    DELTA = 2  # the endpoints that have changed
    SNAPSHOT = 3  # the whole list: an endpoint that it does not name is gone
    FAILED = 4  # nothing: a poll of the list has failed


@dataclass(slots=True, frozen=True)
class EndpointRecord:
    """One endpoint in the endpoint list."""

    endpoint_id: int  # the same at every gateway, and after a restart of the endpoint
    zone: int
    started_at: float  # when it last started; 0: long ago
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
    """A request of a client, which needs one final answer: StartAttempt's response, Reject or Fail."""

    request_id: int
    class_index: int  # into Settings.classes
    plan_index: int  # into Settings.plans
    customer: int
    time_remaining: float  # until the client gives up on it
    units: float  # that it takes of a rate quota
    gateway_set_size: int  # gateways that this customer's requests come through
    first_gateway: int  # the first of them; the others follow it by their index
    is_retry: bool  # whether the client has tried before
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
    """An attempt has ended; there is one such event for each StartAttempt."""

    request_id: int
    attempt: int  # counted from 0 for each request
    endpoint_id: int
    outcome: Outcome
    request_closed: bool  # whether the request has its final answer, by this outcome or before it
    elapsed: float
    charged_units: int  # that the request really took, where usage is settled afterwards, else 0
    metered_usage: int  # 1 + the customer's use in percent of its rate, where there is a meter, else 0
    load_report: tuple[float, ...]  # by Settings.report_columns; empty where none came


@dataclass(slots=True)
class ClientDisconnected:
    """The client has gone, or the request is past its deadline: no answer is owed any more."""

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
    load_report: tuple[float, ...]  # by Settings.report_columns; empty where none came


@dataclass(slots=True)
class PeerMessage:
    """A message of another gateway."""

    sender: int
    data: bytes


@dataclass(slots=True)
class CounterReply:
    """The answer to one AddToCounter.  Replies for one name come in the order of its calls."""

    name: int
    outcome: Outcome  # TIMEOUT: the amount may have been added; any other but OK: it was not
    total: float  # behind this call, to seven digits; holds with Outcome.OK alone
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
