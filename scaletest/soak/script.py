"""The script of a soak: what happens when, drawn from a seed."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

from testbed.faulty_counter import CounterFault
from testbed.faulty_discovery import DiscoveryFault
from testbed.faulty_endpoints import EndpointFault

QUIET_SECONDS = 3.0  # at the start and at the end, without events
LONGEST_DEADLINES_SECONDS = (1.5, 2.0, 3.0)  # one is drawn for each seed
CROWD_PROBABILITY = 1 / 3
FAULT_INTERVAL_SECONDS = (1.5, 5.0)  # between the starts of two faults
FAULT_SECONDS = (0.5, 5.0)  # how long a fault lasts
SIGNAL_INTERVAL_SECONDS = (5.0, 10.0)  # between two series of signals to one gateway
SIGNAL_GAP_SECONDS = (0.0, 0.002, 0.05, 0.5)  # between two signals of a series
START_SIGNAL_SECONDS = (0.0, 0.6)  # from the start of a process until SIGTERM, for a SIGTERM during the start
MAX_FAULTY_FRACTION = 0.5  # of the endpoints at the same time


class SignalSeries(enum.StrEnum):
    """Signals that one gateway gets in a row; a gateway that ends is started again."""

    HUP_HUP = "HUP HUP"  # two new configurations, which move discovery and the counter there and back
    HUP = "HUP"  # a new configuration, which moves discovery and the counter
    HUP_TERM = "HUP TERM"
    TERM = "TERM"
    TERM_TERM = "TERM TERM"
    TERM_DURING_START = "TERM, and TERM during the next start"
    KILL = "KILL"


@dataclass(frozen=True, slots=True)
class EndpointFaultEvent:
    """An endpoint has a fault for some time."""

    at: float
    endpoint: int
    fault: EndpointFault
    seconds: float


@dataclass(frozen=True, slots=True)
class ReplaceEndpointEvent:
    """An endpoint drains, is gone after some time, and comes back as another endpoint at its address."""

    at: float
    endpoint: int
    seconds: float


@dataclass(frozen=True, slots=True)
class CounterFaultEvent:
    """The counter has a fault for some time."""

    at: float
    fault: CounterFault
    seconds: float


@dataclass(frozen=True, slots=True)
class DiscoveryFaultEvent:
    """Discovery has a fault for some time."""

    at: float
    fault: DiscoveryFault
    seconds: float


@dataclass(frozen=True, slots=True)
class SignalEvent:
    """A gateway gets a series of signals; `gap` is the time between two of them, in seconds."""

    at: float
    gateway: int
    series: SignalSeries
    gap: float


Event = EndpointFaultEvent | ReplaceEndpointEvent | CounterFaultEvent | DiscoveryFaultEvent | SignalEvent


@dataclass(frozen=True, slots=True)
class Script:
    """What happens in a soak.

    Attributes:
        seed: The seed that the script was drawn from.
        seconds: How long requests are sent.
        gateways: Number of gateways.
        endpoints: Number of endpoints that accept connections; one more never does.
        longest_deadline: Longest deadline of a request class, in seconds.
        has_crowd: Whether idle clients fill the descriptors.
        lists_unaccepting_endpoint: Whether the endpoint that never accepts is in the endpoint list.
        events: All events, in the order of their times in seconds after the first request.
    """

    seed: int
    seconds: float
    gateways: int
    endpoints: int
    longest_deadline: float
    has_crowd: bool
    lists_unaccepting_endpoint: bool
    events: tuple[Event, ...]

    def lines(self) -> list[str]:
        """Return the script as lines of text."""
        head = (
            f"seed {self.seed}: {self.seconds:g} s, {self.gateways} gateways, {self.endpoints} endpoints, "
            f"longest deadline {self.longest_deadline:g} s, crowd {self.has_crowd}, "
            f"endpoint that never accepts {self.lists_unaccepting_endpoint}"
        )
        return [head, *(str(event) for event in self.events)]


def draw_script(seed: int, seconds: float, gateways: int) -> Script:
    """Draw a script from a seed."""
    source = random.Random(seed)
    endpoints = source.randint(4, 8)
    head = {
        "longest_deadline": source.choice(LONGEST_DEADLINES_SECONDS),
        "has_crowd": source.random() < CROWD_PROBABILITY,
        "lists_unaccepting_endpoint": source.random() < CROWD_PROBABILITY,
    }
    events = [*_draw_faults(source, seconds, endpoints), *_draw_signals(source, seconds, gateways)]
    return Script(
        seed=seed,
        seconds=seconds,
        gateways=gateways,
        endpoints=endpoints,
        events=tuple(sorted(events, key=lambda event: event.at)),
        **head,  # type: ignore[arg-type]
    )


def _draw_faults(source: random.Random, seconds: float, endpoints: int) -> list[Event]:
    events: list[Event] = []
    at = QUIET_SECONDS
    while (at := at + source.uniform(*FAULT_INTERVAL_SECONDS)) < seconds - QUIET_SECONDS:
        events.append(_draw_fault(source, at, endpoints))
    return events


def _draw_fault(source: random.Random, at: float, endpoints: int) -> Event:
    seconds = source.uniform(*FAULT_SECONDS)
    endpoint = source.randrange(int(endpoints * MAX_FAULTY_FRACTION))
    match source.choice(("endpoint", "endpoint", "replace", "counter", "discovery")):
        case "endpoint":
            faults = [fault for fault in EndpointFault if fault is not EndpointFault.NONE]
            return EndpointFaultEvent(at, endpoint, source.choice(faults), seconds)
        case "replace":
            return ReplaceEndpointEvent(at, endpoint, seconds)
        case "counter":
            counter_faults = [fault for fault in CounterFault if fault is not CounterFault.NONE]
            return CounterFaultEvent(at, source.choice(counter_faults), seconds)
        case _:
            discovery_faults = [fault for fault in DiscoveryFault if fault is not DiscoveryFault.NONE]
            return DiscoveryFaultEvent(at, source.choice(discovery_faults), seconds)


def _draw_signals(source: random.Random, seconds: float, gateways: int) -> list[Event]:
    events: list[Event] = []
    for gateway in range(gateways):
        at = QUIET_SECONDS
        while (at := at + source.uniform(*SIGNAL_INTERVAL_SECONDS)) < seconds - QUIET_SECONDS:
            series = source.choice(list(SignalSeries))
            gap = source.uniform(*START_SIGNAL_SECONDS)
            if series is not SignalSeries.TERM_DURING_START:
                gap = source.choice(SIGNAL_GAP_SECONDS)
            events.append(SignalEvent(at, gateway, series, gap))
    return events
