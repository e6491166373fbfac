"""Calls to the counter: additions to a total, and pings."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar, Protocol

from gateway.counter import resp
from gateway.policy.events import CounterReply, Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from gateway.policy.actions import AddToCounter


class CallConnection(Protocol):
    """The connection on which a call is queued or was written."""

    def expire(self, call: CounterCall) -> None:
        """End a call whose timeout has passed."""
        ...


@dataclass(slots=True, eq=False)
class CounterCall:
    """One addition, from the policy's action until the reply is delivered to the policy.

    Attributes:
        action: The addition that the policy requested.
        started_at: Monotonic time of the action, in seconds.
        connection: The connection on which the call is queued or was written.
        on_reply: Delivers the reply to the policy.
        is_settled: Whether the reply was delivered.
    """

    action: AddToCounter
    started_at: float
    connection: CallConnection
    on_reply: Callable[[CounterReply], None]
    is_settled: bool = False

    def encode(self) -> bytes:
        """Return the command in RESP2."""
        return resp.encode_add(self.action)

    def settle(self, outcome: Outcome, total: float = 0.0) -> None:
        """Deliver the reply to the policy; a call that is already settled is left unchanged."""
        if self.is_settled:
            return
        self.is_settled = True
        elapsed = time.monotonic() - self.started_at
        self.on_reply(CounterReply(self.action.name, outcome, total, elapsed))

    def reassign(self, connection: CallConnection) -> None:
        """Assign a queued call to another connection."""
        self.connection = connection

    def expire(self) -> None:
        """End the call, as its timeout has passed."""
        self.connection.expire(self)


@dataclass(slots=True, eq=False)
class Ping:
    """A call that keeps an idle connection open; its reply is not delivered to the policy."""

    is_settled: ClassVar[bool] = True

    def encode(self) -> bytes:
        """Return the command in RESP2."""
        return resp.PING

    def settle(self, outcome: Outcome, total: float = 0.0) -> None:
        """Do nothing: the policy did not request this call."""
