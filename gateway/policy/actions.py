"""Actions that the policy returns for an event; the driver executes them in order.

Times are in seconds.  CloseIdle, SendToPeers, WatchEndpoints and FetchEndpoints are part of the simulator's
protocol.  The policy never emits them, and of these the gateway's driver supports only CloseIdle.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StartAttempt:
    """Forward a request to an endpoint.  The client gets the first successful response."""

    request_id: int
    endpoint_id: int
    timeout: float  # 0: the attempt may last until the request's deadline


@dataclass(slots=True)
class Reject:
    """Answer a request with a rejection, which tells the client that it may retry safely."""

    request_id: int
    retry_after: float  # 0: the rejection states no time


@dataclass(slots=True)
class Fail:
    """Answer a request with a failure: its attempts may or may not have had an effect."""

    request_id: int


@dataclass(slots=True)
class Cancel:
    """Abandon an attempt in flight; its AttemptFinished event still follows."""

    request_id: int
    attempt: int  # number of the attempt; each request counts its attempts from 0


@dataclass(slots=True)
class SetTimer:
    """Request a TimerFired event; a timer cannot be unset."""

    at: float  # Unix time at which the timer is due
    token: int  # identifies the timer in its TimerFired event


@dataclass(slots=True)
class Probe:
    """Check an endpoint's health and request its load report."""

    endpoint_id: int


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint_id: int


@dataclass(slots=True)
class SendToPeers:
    """Send a message to one other gateway, or to all other gateways if `peer` is None."""

    peer: int | None
    data: bytes


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(slots=True)
class WatchEndpoints:
    """Start or stop watching the endpoint list."""

    enabled: bool


@dataclass(slots=True)
class FetchEndpoints:
    """Poll the endpoint list once."""


@dataclass(slots=True)
class AddToCounter:
    """Add to one of the counter's totals; a CounterReply event with the new total follows."""

    name: int  # name of the total, which the first call creates
    amount: float  # a negative amount is subtracted
    expires_after: float  # time from the creation of the total to its expiry; later calls do not extend it


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
