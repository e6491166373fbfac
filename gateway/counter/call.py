"""What is written to the counter and waits for a reply: additions and pings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar, Protocol

from gateway.counter import resp
from gateway.policy.actions import AddToCounter


class CallCarrier(Protocol):
    """The connection that a call is queued for or was written to."""

    def expire(self, call: CounterCall) -> None:
        """End a call that has waited for too long."""
        ...


@dataclass(slots=True, eq=False)
class CounterCall:
    """One addition on its way; `started_at` is by the monotonic clock."""

    request: AddToCounter
    started_at: float
    connection: CallCarrier
    is_settled: bool = False  # whether the policy has its reply

    def encode(self) -> bytes:
        """The bytes to write."""
        return resp.encode_add(self.request)


@dataclass(slots=True, eq=False)
class Ping:
    """Keeps an idle connection open; nobody waits for its reply."""

    is_settled: ClassVar[bool] = True

    def encode(self) -> bytes:
        """The bytes to write."""
        return resp.PING
