"""The simulator's wire 'quartz-61d8': the codes of its records, and the records that only this wire has.

A frame is a header and a list of records, all little-endian.  A record starts with a byte that is its code:
an ``EventCode`` in a batch, which the simulator sends, and an ``ActionCode`` in the reply to it.  One adapter
hosts many instances of the policy: a record of the kind INSTANCE names the one to which the records behind it
belong.

Some events and actions have a meaning on this wire alone; the gateway process neither delivers nor executes
them: ``AttemptStarted``, ``PeerMessage``, ``SendToPeers``, ``WatchEndpoints`` and ``FetchEndpoints``.  It
executes ``CloseIdle`` and ``Log`` too.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from gateway.policy.actions import Action
from gateway.policy.events import Event


class WireError(ValueError):
    """A frame that no correct peer would send."""


class EventCode(IntEnum):
    """Codes of the records in a batch."""

    CONFIGURE = 1
    ENDPOINT_UPDATE = 2
    REQUEST = 3
    ATTEMPT_STARTED = 4
    ATTEMPT_FINISHED = 5
    CLIENT_DISCONNECTED = 6
    TIMER_FIRED = 7
    PROBE_FINISHED = 8
    PEER_MESSAGE = 9
    CRASH = 10
    COUNTER_REPLY = 11
    INSTANCE = 12  # the instance that the records behind it are for


class ActionCode(IntEnum):
    """Codes of the records in a reply."""

    START_ATTEMPT = 1
    REJECT = 2
    FAIL = 3
    CANCEL = 4
    SET_TIMER = 5
    PROBE = 6
    CLOSE_IDLE = 7
    SEND_TO_PEERS = 8
    LOG = 9
    FAULT = 10
    WATCH_ENDPOINTS = 11
    FETCH_ENDPOINTS = 12
    ADD_TO_COUNTER = 13
    INSTANCE = 14  # the instance that the records behind it are from


@dataclass(slots=True)
class Configure:
    """Starts or restarts an instance: its policy is built from ``settings`` and ``seed``."""

    seed: int
    settings: str


@dataclass(slots=True)
class Crash:
    """Ends an instance as a crash would: its state and the actions of this batch so far are lost."""


@dataclass(slots=True)
class Fault:
    """Reports that an instance failed on an event; ``text`` names the exception and what it said."""

    text: str


WireEvent = Event | Configure | Crash
WireAction = Action | Fault


@dataclass(slots=True)
class Batch:
    """The events that happen at one time.

    Attributes:
        now: The simulator's time in seconds.
        number: The batch's number, which its reply repeats.
        records: The events in order, each with the instance that it is for.
    """

    now: float
    number: int
    records: list[tuple[int, WireEvent]] = field(default_factory=list)
