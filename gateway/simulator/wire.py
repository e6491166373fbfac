"""The simulator's wire protocol 'quartz-61d8': record codes, and the records besides events and actions.

A frame consists of a header and a list of records, all little-endian.  The simulator sends batches of events,
and the adapter sends a reply with actions to each batch.  The first byte of a record is its code: an
``EventCode`` in a batch, an ``ActionCode`` in a reply.  One adapter runs many instances of the policy: an
INSTANCE record sets the instance for the records that follow it.

The gateway process does not deliver or execute these events and actions, which only this protocol uses:
``AttemptStarted``, ``PeerMessage``, ``SendToPeers``, ``WatchEndpoints`` and ``FetchEndpoints``.  It does
execute ``CloseIdle`` and ``Log``.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from gateway.policy.actions import Action
from gateway.policy.events import Event


class WireError(ValueError):
    """A frame violates the wire protocol."""


class EventCode(IntEnum):
    """Codes of the records of a batch."""

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
    INSTANCE = 12  # sets the instance that the following records are for


class ActionCode(IntEnum):
    """Codes of the records of a reply."""

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
    INSTANCE = 14  # sets the instance that the following records are from


@dataclass(slots=True)
class Configure:
    """Starts or restarts an instance with a new policy, which is created from ``settings`` and ``seed``."""

    seed: int
    settings: str


@dataclass(slots=True)
class Crash:
    """Simulates the crash of an instance: drops its state and the actions it has returned in this batch."""


@dataclass(slots=True)
class Fault:
    """Reports an exception of an instance; ``text`` has the type and the message of the exception."""

    text: str


WireEvent = Event | Configure | Crash
WireAction = Action | Fault


@dataclass(slots=True)
class EventBatch:
    """The events that occur at one time.

    Attributes:
        time: The simulator's time in seconds.
        number: The number of the batch, which the reply repeats.
        events: The events in order, each with the id of the instance that it is for.
    """

    time: float
    number: int
    events: list[tuple[int, WireEvent]] = field(default_factory=list)
