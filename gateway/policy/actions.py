"""Actions that the policy answers an event with; its driver executes them in order.

Times are in seconds.  CloseIdle, SendToPeers, WatchEndpoints and FetchEndpoints belong to the simulator's
wire; the policy never emits them, and the gateway's driver supports none but CloseIdle.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StartAttempt:
    """Forward a request to an endpoint.  The first successful response goes to the client."""

    request_id: int
    endpoint_id: int
    timeout: float  # 0: until the client gives up


@dataclass(slots=True)
class Reject:
    """Answer a request with a rejection, which tells its client that it may retry safely."""

    request_id: int
    retry_after: float  # 0: not stated


@dataclass(slots=True)
class Fail:
    """Answer a request with a failure, which leaves open whether its attempts had an effect."""

    request_id: int


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request_id: int
    attempt: int  # counted from 0 for each request


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerFired event; a timer cannot be unset."""

    at: float  # Unix time
    token: int


@dataclass(slots=True)
class Probe:
    """Check an endpoint's health and ask for its load report."""

    endpoint_id: int


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint_id: int


@dataclass(slots=True)
class SendToPeers:
    """Send a message to one other gateway, or to all with `peer` None."""

    peer: int | None
    data: bytes


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(slots=True)
class WatchEndpoints:
    """Start or stop a watch on the endpoint list."""

    enabled: bool


@dataclass(slots=True)
class FetchEndpoints:
    """Poll the endpoint list once."""


@dataclass(slots=True)
class AddToCounter:
    """Add to a total of the counter; a CounterReply follows with the total."""

    name: int
    amount: float  # below 0: subtract
    expires_after: float  # time after the call that created the name; later calls do not extend it


Action = (
    StartAttempt
    | Reject
    | Fail
    | Cancel
    | SetTimer
    | Probe
    | CloseIdle
    | SendToPeers
    | Log
    | WatchEndpoints
    | FetchEndpoints
    | AddToCounter
)
