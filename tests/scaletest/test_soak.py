"""The soak: its scripts, its judge on made-up records, and one short run of real gateways."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from typer.testing import CliRunner

from scaletest.__main__ import EXIT_VIOLATION, app
from scaletest.soak import command
from scaletest.soak.judge import judge
from scaletest.soak.records import (
    LoadReport,
    ProcessRecord,
    RequestClass,
    RequestEnd,
    RequestRecord,
    ResourceSample,
)
from scaletest.soak.runner import SoakRecord
from scaletest.soak.script import Script, SignalEvent, draw_script
from testbed.faulty_endpoints import Arrival, EndpointReport, Stall

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

CI_SEED = 1
CI_SECONDS = 40.0
CI_GATEWAYS = 3
SENT_AT = 100.0
TIMEOUT = 1.0
REQUEST_ID = "0000000000000001"


def test_a_seed_always_gives_the_same_script() -> None:
    assert draw_script(7, 60.0, 3) == draw_script(7, 60.0, 3)
    assert draw_script(7, 60.0, 3) != draw_script(8, 60.0, 3)


def test_scripts_have_crowds_and_signals_to_each_gateway() -> None:
    scripts = [draw_script(seed, 60.0, 3) for seed in range(30)]
    assert 5 < sum(script.has_crowd for script in scripts) < 15
    for script in scripts:
        signalled = {event.gateway for event in script.events if isinstance(event, SignalEvent)}
        assert signalled == {0, 1, 2}


def test_print_shows_the_script_and_runs_nothing() -> None:
    result = CliRunner().invoke(app, ["soak", "--seed", "7", "--print"])
    assert result.exit_code == 0
    assert result.stdout.splitlines() == draw_script(7, 60.0, 3).lines()


# Guards against a failed soak that ends like a passed one.
def test_a_violation_makes_the_command_fail(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(command, "run_seed", lambda seed, *_: seed != 8)
    result = CliRunner().invoke(app, ["soak", "--seed", "7", "--count", "3"])
    assert result.exit_code == EXIT_VIOLATION
    assert "1 of 3 seeds failed: [8]" in result.stdout


@pytest.fixture
def soak(tmp_path: Path) -> SoakRecord:
    """A soak with one request that was answered, and one gateway process that ended in time."""
    script = Script(1, 10.0, 1, 4, TIMEOUT, has_crowd=False, lists_unaccepting_endpoint=False, events=())
    request = RequestRecord(
        REQUEST_ID, RequestClass.NON_IDEMPOTENT, 0, TIMEOUT, sent_at=SENT_AT, ended_at=SENT_AT + 0.1
    )
    request.end = RequestEnd.ANSWERED
    request.status = 200
    log_path = tmp_path / "gateway.log"
    log_path.write_text("WARNING counter: connection closed\n")
    process = ProcessRecord(0, 90.0, str(log_path), ready_at=90.5, terminated_at=120.0, ended_at=121.0)
    process.status = 0
    process.samples = [ResourceSample(float(age), 30.0, 50) for age in range(200)]
    arrival = Arrival(REQUEST_ID, 2, SENT_AT, may_run=True)
    return SoakRecord(script, LoadReport([request]), EndpointReport([arrival]), [process])


def rules(soak: SoakRecord) -> list[str]:
    return [violation.rule for violation in judge(soak)]


def test_a_soak_without_a_broken_rule_has_no_violation(soak: SoakRecord) -> None:
    assert rules(soak) == []


def answer_late(soak: SoakRecord) -> None:
    soak.load.requests[0].ended_at = SENT_AT + TIMEOUT + 0.56


def answer_with_another_body(soak: SoakRecord) -> None:
    soak.load.requests[0].is_own_body = False


def answer_twice(soak: SoakRecord) -> None:
    soak.load.surplus_answers.append(REQUEST_ID)


def never_answer(soak: SoakRecord) -> None:
    soak.load.requests[0].end = RequestEnd.SILENT


def close_after_forwarding(soak: SoakRecord) -> None:
    soak.load.requests[0].end = RequestEnd.CLOSED


def close_new_connection(soak: SoakRecord) -> None:
    soak.load.requests[0].end = RequestEnd.CLOSED
    soak.load.requests[0].is_first = True
    soak.endpoints.arrivals.clear()


def execute_twice(soak: SoakRecord) -> None:
    soak.endpoints.arrivals.append(replace(soak.endpoints.arrivals[0], endpoint=3))


def attempt_after_clients_left(soak: SoakRecord) -> None:
    soak.load.requests[0].end = RequestEnd.LEFT
    soak.load.requests[0].request_class = RequestClass.IDEMPOTENT
    late = replace(soak.endpoints.arrivals[0], at=soak.load.requests[0].ended_at + 0.16)
    soak.endpoints.arrivals[:] = [late] * 3


def end_by_itself(soak: SoakRecord) -> None:
    soak.processes[0].terminated_at = 0.0


def be_killed_after_sigterm(soak: SoakRecord) -> None:
    soak.processes[0].status = -9


def log_a_traceback(soak: SoakRecord) -> None:
    with open(soak.processes[0].log_path, "a", encoding="utf-8") as log:  # noqa: PTH123
        log.write("Traceback (most recent call last):\n")


def use_too_much_memory(soak: SoakRecord) -> None:
    soak.processes[0].samples = [ResourceSample(0.0, 64.1, 50)]


def use_too_many_descriptors(soak: SoakRecord) -> None:
    soak.processes[0].samples = [ResourceSample(0.0, 30.0, 257)]


def grow(soak: SoakRecord) -> None:
    soak.processes[0].samples = [ResourceSample(float(age), 30.0 + 0.02 * age, 50) for age in range(200)]


def start_slowly(soak: SoakRecord) -> None:
    soak.processes[0].ready_at = soak.processes[0].started_at + 10.1


@pytest.mark.parametrize(
    ("break_rule", "rule"),
    [
        pytest.param(answer_late, "answer", id="late answer"),
        pytest.param(answer_with_another_body, "answer", id="answer of another request"),
        pytest.param(answer_twice, "one answer", id="second answer"),
        pytest.param(never_answer, "answer", id="no answer"),
        pytest.param(close_after_forwarding, "answer", id="closed after forwarding"),
        pytest.param(close_new_connection, "answer", id="closed new connection"),
        pytest.param(execute_twice, "executed once", id="second execution"),
        pytest.param(end_by_itself, "exit", id="ended by itself"),
        pytest.param(be_killed_after_sigterm, "exit", id="killed after SIGTERM"),
        pytest.param(log_a_traceback, "no traceback", id="traceback"),
        pytest.param(use_too_much_memory, "memory", id="memory"),
        pytest.param(use_too_many_descriptors, "descriptors", id="descriptors"),
        pytest.param(grow, "memory", id="growing memory"),
        pytest.param(start_slowly, "ready", id="slow start"),
    ],
)
def test_each_broken_rule_is_a_violation(
    soak: SoakRecord, break_rule: Callable[[SoakRecord], None], rule: str
) -> None:
    break_rule(soak)
    assert rules(soak) == [rule]


def test_the_third_late_attempt_is_a_violation(soak: SoakRecord) -> None:
    attempt_after_clients_left(soak)
    assert rules(soak) == ["client gone"] * 3
    soak.endpoints.arrivals.pop()
    assert rules(soak) == []


# Guards against a stall of the endpoints that is taken for a late attempt.
def test_an_attempt_that_arrives_during_a_stall_of_the_endpoints_is_not_late(soak: SoakRecord) -> None:
    attempt_after_clients_left(soak)
    late_at = soak.endpoints.arrivals[0].at
    soak.endpoints.stalls.append(Stall(late_at - 0.005, late_at))
    assert rules(soak) == ["client gone"] * 3
    soak.endpoints.stalls.append(Stall(late_at - 0.05, late_at))
    soak.endpoints.stalls.reverse()
    assert rules(soak) == []


# Guards against arrivals of the copy that are taken for those of a request whose connection was closed.
def test_a_request_that_crosses_a_close_is_sent_again_and_answered(soak: SoakRecord) -> None:
    (request,) = soak.load.requests
    again = replace(request, is_resent=True, sent_at=SENT_AT + 0.01)
    request.end = RequestEnd.CLOSED
    soak.load.requests.append(again)
    soak.endpoints.arrivals[:] = [replace(soak.endpoints.arrivals[0], at=SENT_AT + 0.02)]
    assert rules(soak) == []
    soak.endpoints.arrivals[:] = [replace(soak.endpoints.arrivals[0], at=SENT_AT + 0.005)]
    assert rules(soak) == ["answer"]


# A gateway that is killed outright loses what it held; a request on a connection that was used before may
# cross its close.
def test_what_the_pages_allow_is_no_violation(soak: SoakRecord) -> None:
    soak.load.requests[0].end = RequestEnd.CLOSED
    soak.endpoints.arrivals.clear()
    assert rules(soak) == []
    soak.load.requests[0].is_first = True
    soak.processes[0].is_planned_kill = True
    soak.processes[0].killed_at = SENT_AT + 0.05
    assert rules(soak) == []
    soak.processes[0].killed_at = SENT_AT - 0.05  # the system needs some time to end the process
    assert rules(soak) == []
    soak.processes[0].ended_at = SENT_AT - 0.01
    assert rules(soak) == ["answer"]


# Guards against each broken rule above, with real processes; `python -m scaletest soak` runs other seeds.
def test_a_short_soak_breaks_no_rule() -> None:
    lines: list[str] = []
    assert command.run_seed(CI_SEED, CI_SECONDS, CI_GATEWAYS, lines.append), "\n".join(lines)


# Guards against a violation that does not show whether the gateway or a stalled client was late.
def test_a_close_without_an_answer_is_shown_with_the_times_of_its_client(soak: SoakRecord) -> None:
    (request,) = soak.load.requests
    request.is_first = True
    request.end = RequestEnd.CLOSED
    request.connecting_at = SENT_AT - 0.3
    request.begun_at = SENT_AT - 0.2
    (violation,) = judge(soak)
    assert "first byte written 0.200 s before the last" in violation.text
    assert "began to connect 0.300 s before it" in violation.text
