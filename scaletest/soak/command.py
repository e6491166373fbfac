"""Runs soaks one after another and reports their violations."""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

from scaletest.soak.judge import Violation, judge
from scaletest.soak.runner import SoakRecord, run_soak
from scaletest.soak.script import draw_script

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_VIOLATIONS_SHOWN = 20
MAX_LOG_LINES_SHOWN = 10  # the last ones of a gateway with a violation


def run_seed(seed: int, seconds: float, gateways: int, write: Callable[[str], None]) -> bool:
    """Run the soak of a seed and write its result; return whether no rule was broken."""
    script = draw_script(seed, seconds, gateways)
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        soak = asyncio.run(run_soak(script, Path(folder)))
        violations = judge(soak)
        write(format_summary(soak, violations))
        for violation in violations[:MAX_VIOLATIONS_SHOWN]:
            write(format_violation(violation, soak))
        for gateway in sorted({found.gateway for found in violations if found.gateway is not None}):
            for line in last_log_lines(soak, gateway):
                write(f"  log of gateway {gateway}: {line}")
    return not violations


def format_summary(soak: SoakRecord, violations: list[Violation]) -> str:
    """Return a line with the seed, what the clients have seen, and the number of violations."""
    ends = Counter(request.end.value for request in soak.load.requests)
    statuses = Counter(request.status for request in soak.load.requests if request.status)
    memory = max((sample.memory_mb for process in soak.processes for sample in process.samples), default=0.0)
    stall = max((stall.ended_at - stall.started_at for stall in soak.endpoints.stalls), default=0.0)
    result = "passed" if not violations else f"FAILED, {len(violations)} violations"
    return (
        f"seed {soak.script.seed}: {result}; requests {dict(sorted(ends.items()))}, "
        f"statuses {dict(sorted(statuses.items()))}, {len(soak.processes)} processes, {memory:.1f} MB, "
        f"longest stall of the endpoints {stall:.3f} s"
    )


def format_violation(violation: Violation, soak: SoakRecord) -> str:
    """Return a line with the seed, the moment, the gateway and what was seen."""
    begin = min(process.started_at for process in soak.processes)
    moment = f"{violation.at - begin:.2f} s" if violation.at else "at some time"
    gateway = f", gateway {violation.gateway}" if violation.gateway is not None else ""
    return f"  seed {soak.script.seed}, {moment}{gateway}: {violation.rule}: {violation.text}"


def last_log_lines(soak: SoakRecord, gateway: int) -> list[str]:
    """Return the last lines that the processes of a gateway have logged."""
    paths = [Path(process.log_path) for process in soak.processes if process.gateway == gateway]
    lines = [line for path in paths for line in path.read_text(errors="replace").splitlines()]
    return lines[-MAX_LOG_LINES_SHOWN:]
