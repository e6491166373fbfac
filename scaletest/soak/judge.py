"""Judges a soak from its records: each violation is a rule of the protocol pages that was broken."""

from __future__ import annotations

import math
import signal
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean
from typing import TYPE_CHECKING

from scaletest.soak.configuration import MAX_SOCKETS, MEMORY_MEGABYTES
from scaletest.soak.records import ProcessRecord, RequestClass, RequestEnd, RequestRecord

if TYPE_CHECKING:
    from collections.abc import Iterator

    from scaletest.soak.runner import SoakRecord
    from testbed.faulty_endpoints import Arrival

SOCKET_SLACK_SECONDS = 0.05  # by which each limit is longer on sockets
ANSWER_GRACE_SECONDS = 0.5  # after its timeout, a request may still be answered
DISCONNECT_SECONDS = 0.1  # after its client has left, until when an attempt may begin
ALLOWED_LATE_ATTEMPTS = 2  # in a run
STALL_READ_SECONDS = 0.05  # after a stall of the endpoints, until all that arrived during it is read
READY_SECONDS = 10.0  # within which nine in ten restarted processes are ready
SLOW_START_FRACTION = 0.1
WARM_UP_SECONDS = 20.0  # of a process, before its memory is compared
MIN_FLAT_SECONDS = 60.0  # of samples after the warm-up; shorter ones do not show growth
MAX_GROWTH_MEGABYTES = 1.0  # from the middle third of the samples to the last one
LOG_LINES_SHOWN = 12
TRACEBACK = "Traceback"


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule.

    Attributes:
        rule: Name of the rule.
        at: Monotonic time in seconds; 0 if it has none.
        text: What was seen.
        gateway: Index of the gateway; None if it concerns none.
    """

    rule: str
    at: float
    text: str
    gateway: int | None = None


def judge(soak: SoakRecord) -> list[Violation]:
    """Return all violations, in the order of their times."""
    found = [
        *_judge_requests(soak),
        *_judge_late_attempts(soak),
        *_judge_executions(soak),
        *_judge_processes(soak),
    ]
    return sorted(found, key=lambda violation: violation.at)


def _arrivals_by_request(soak: SoakRecord) -> dict[str, list[Arrival]]:
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in soak.endpoints.arrivals:
        arrivals[arrival.request_id].append(arrival)
    return arrivals


def _judge_requests(soak: SoakRecord) -> Iterator[Violation]:
    """Yield requests without exactly one final answer in time."""
    arrivals = _arrivals_by_request(soak)
    resent_at = {request.request_id: request.sent_at for request in soak.load.requests if request.is_resent}
    for request_id in soak.load.surplus_answers:
        yield Violation("one answer", 0.0, f"request {request_id}: bytes after the answer")
    for request in soak.load.requests:
        # Arrivals after it was sent again belong to that copy.
        until = math.inf if request.is_resent else resent_at.get(request.request_id, math.inf)
        is_forwarded = any(arrival.at < until for arrival in arrivals[request.request_id])
        fault = _request_fault(request, is_forwarded=is_forwarded, soak=soak)
        if fault:
            text = f"request {request.request_id} ({request.request_class}): {fault}"
            text += _time_since_signal(request, soak)
            yield Violation("answer", request.sent_at, text, request.gateway)


def _request_fault(request: RequestRecord, *, is_forwarded: bool, soak: SoakRecord) -> str:
    """Return what is wrong with the end of a request; empty if nothing is."""
    elapsed = request.ended_at - request.sent_at
    if request.end is RequestEnd.SILENT:
        return f"no answer within {elapsed:.3f} s of {request.timeout:g} s"
    if request.end is RequestEnd.ANSWERED:
        return _answer_fault(request, elapsed)
    if request.end is RequestEnd.CLOSED and not _is_excused(request, soak):
        is_owed_on_new_connection = request.is_first and not soak.script.has_crowd
        if is_forwarded or is_owed_on_new_connection:
            state = "forwarded" if is_forwarded else "on a new connection"
            text = f"{state}, and its connection closed without an answer after {elapsed:.3f} s"
            return text + _times_before_sent(request)
    return ""


def _times_before_sent(request: RequestRecord) -> str:
    """Return when the client began to connect and to write; a long time may be a stall of its process."""
    text = f", first byte written {request.sent_at - request.begun_at:.3f} s before the last"
    if request.connecting_at:
        text += f", began to connect {request.sent_at - request.connecting_at:.3f} s before it"
    return text


def _answer_fault(request: RequestRecord, elapsed: float) -> str:
    latest = request.timeout + ANSWER_GRACE_SECONDS + SOCKET_SLACK_SECONDS
    if not request.is_own_body:
        return "answered with another response than its own"
    if elapsed > latest:
        return f"answered after {elapsed:.3f} s of {request.timeout:g} s"
    return ""


def _time_since_signal(request: RequestRecord, soak: SoakRecord) -> str:
    """Return when a request was sent and ended after the SIGTERM of its process; empty without SIGTERM."""
    for process in soak.processes:
        is_process = process.gateway == request.gateway and process.started_at <= request.sent_at
        if is_process and 0 < process.terminated_at <= request.ended_at <= process.ended_at + 1.0:
            sent = request.sent_at - process.terminated_at
            exited = process.ended_at - process.terminated_at
            return f", sent {sent:.3f} s after SIGTERM, exit after {exited:.3f} s"
    return ""


def _is_excused(request: RequestRecord, soak: SoakRecord) -> bool:
    """Return whether the gateway was killed outright, and had not ended, while the request was open."""
    return any(
        process.gateway == request.gateway
        and process.is_planned_kill
        and request.sent_at <= process.ended_at
        and process.killed_at <= request.ended_at
        for process in soak.processes
    )


def _judge_late_attempts(soak: SoakRecord) -> list[Violation]:
    """Return the attempts that began too long after their client had left, if there are too many."""
    arrivals = _arrivals_by_request(soak)
    limit = DISCONNECT_SECONDS + SOCKET_SLACK_SECONDS
    late = [
        Violation(
            "client gone",
            arrival.at,
            f"request {request.request_id}: attempt {arrival.at - request.ended_at:.3f} s after it left",
            request.gateway,
        )
        for request in soak.load.requests
        if request.end is RequestEnd.LEFT
        for arrival in arrivals[request.request_id]
        if _earliest_time(arrival, soak) - request.ended_at > limit
    ]
    return late if len(late) > ALLOWED_LATE_ATTEMPTS else []


def _earliest_time(arrival: Arrival, soak: SoakRecord) -> float:
    """Return when a request may have arrived: one that is read just after a stall may have come during it."""
    for stall in soak.endpoints.stalls:
        if stall.started_at <= arrival.at <= stall.ended_at + STALL_READ_SECONDS:
            return stall.started_at
    return arrival.at


def _judge_executions(soak: SoakRecord) -> Iterator[Violation]:
    """Yield non-idempotent requests with an attempt after one that may have run."""
    arrivals = _arrivals_by_request(soak)
    ids = {
        request.request_id
        for request in soak.load.requests
        if request.request_class is RequestClass.NON_IDEMPOTENT
    }
    for request_id in sorted(ids):
        attempts = arrivals[request_id]
        if sum(arrival.may_run for arrival in attempts) > 1:
            text = f"request {request_id}: executed by endpoints {[arrival.endpoint for arrival in attempts]}"
            yield Violation("executed once", attempts[-1].at, text)


def _judge_processes(soak: SoakRecord) -> Iterator[Violation]:
    for process in soak.processes:
        yield from _judge_exit(process)
        yield from _judge_log(process)
        yield from _judge_resources(process)
    yield from _judge_starts(soak.processes)


def _judge_exit(process: ProcessRecord) -> Iterator[Violation]:
    if process.is_planned_kill:
        return
    allowed = {0}
    is_signalled_during_start = process.terminated_at and not process.ready_at
    if is_signalled_during_start:
        allowed.add(-signal.SIGTERM)  # before the event loop handles the signal
    if not process.terminated_at or process.status not in allowed:
        text = f"ended with status {process.status}, "
        text += f"{process.ended_at - process.terminated_at:.3f} s after SIGTERM"
        if not process.terminated_at:
            text = f"ended by itself with status {process.status}"
        yield Violation("exit", process.ended_at, text, process.gateway)


def _judge_log(process: ProcessRecord) -> Iterator[Violation]:
    lines = Path(process.log_path).read_text(errors="replace").splitlines()
    marks = [number for number, line in enumerate(lines) if TRACEBACK in line]
    if marks:
        shown = " / ".join(lines[max(0, marks[0] - 1) : marks[0] + LOG_LINES_SHOWN])
        text = f"{len(marks)} tracebacks in {process.log_path}: {shown}"
        yield Violation("no traceback", process.started_at, text, process.gateway)


def _judge_resources(process: ProcessRecord) -> Iterator[Violation]:
    memory = max((sample.memory_mb for sample in process.samples), default=0.0)
    descriptors = max((sample.descriptors for sample in process.samples), default=0)
    if memory > MEMORY_MEGABYTES:
        text = f"{memory:.1f} MB of {MEMORY_MEGABYTES}"
        yield Violation("memory", process.started_at, text, process.gateway)
    if descriptors > MAX_SOCKETS:
        text = f"{descriptors} descriptors of {MAX_SOCKETS}"
        yield Violation("descriptors", process.started_at, text, process.gateway)
    growth = memory_growth(process)
    if growth > MAX_GROWTH_MEGABYTES:
        text = f"grew by {growth:.1f} MB from the middle third of its life to the last"
        yield Violation("memory", process.started_at, text, process.gateway)


def memory_growth(process: ProcessRecord) -> float:
    """Return the growth in MB from the middle third of the samples to the last; 0 if there are too few."""
    warm = [sample for sample in process.samples if sample.age > WARM_UP_SECONDS]
    if not warm or warm[-1].age - warm[0].age < MIN_FLAT_SECONDS:
        return 0.0
    third = len(warm) // 3
    middle = fmean(sample.memory_mb for sample in warm[third : 2 * third])
    last = fmean(sample.memory_mb for sample in warm[2 * third :])
    return last - middle


def _judge_starts(processes: list[ProcessRecord]) -> Iterator[Violation]:
    started = [process for process in processes if not (process.terminated_at and not process.ready_at)]
    slow = [process for process in started if not 0 < process.ready_at - process.started_at <= READY_SECONDS]
    if len(slow) > SLOW_START_FRACTION * len(started):
        text = f"{len(slow)} of {len(started)} processes were not ready within {READY_SECONDS:g} s"
        yield Violation("ready", slow[0].started_at, text, slow[0].gateway)
