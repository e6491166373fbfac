"""The calls that the gateway writes to the counter: additions and pings."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar, Protocol

from gateway.counter import resp
from gateway.policy.events import CounterReply, Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from gateway.policy.actions import AddToCounter


class CallCarrier(Protocol):
    """The connection that a call is queued for or was written to."""

    def expire(self, call: CounterCall) -> None:
        """End a call that has waited longer than its timeout."""
        ...


@dataclass(slots=True, eq=False)
class CounterCall:
    """One addition, from its request until its reply has been given to the policy.

    Attributes:
        request: The addition that the policy asked for.
        started_at: When it asked, by the monotonic clock in seconds.
        carrier: The connection that is to carry the call, or has carried it.
        on_reply: Gives the reply to the policy.
        is_settled: Whether the policy has its reply.
    """

    request: AddToCounter
    started_at: float
    carrier: CallCarrier
    on_reply: Callable[[CounterReply], None]
    is_settled: bool = False

    def encode(self) -> bytes:
        """Return the command as the bytes to write."""
        return resp.encode_add(self.request)

    def settle(self, outcome: Outcome, total: float = 0.0) -> None:
        """Reply to the policy, unless it already has its reply to this call."""
        if self.is_settled:
            return
        self.is_settled = True
        elapsed = time.monotonic() - self.started_at
        self.on_reply(CounterReply(self.request.name, outcome, total, elapsed))

    def move_to(self, carrier: CallCarrier) -> None:
        """Let another connection carry the call, which must not have been written yet."""
        self.carrier = carrier

    def expire(self) -> None:
        """End the call, as it has waited longer than its timeout."""
        self.carrier.expire(self)


@dataclass(slots=True, eq=False)
class Ping:
    """A call that keeps an idle connection open; nothing waits for its reply."""

    is_settled: ClassVar[bool] = True

    def encode(self) -> bytes:
        """Return the command as the bytes to write."""
        return resp.PING

    def settle(self, outcome: Outcome, total: float = 0.0) -> None:
        """Do nothing: the policy did not ask for this call."""
