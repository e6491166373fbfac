"""What the project promises of its own files."""

from __future__ import annotations

import ast
import re
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
POLICY_PACKAGE = ROOT / "gateway" / "policy"
TYPES = ("settings.py", "events.py", "actions.py")  # what the policy is told, hears and answers: no decisions
POLICY = sorted(path for path in POLICY_PACKAGE.glob("*.py") if path.name not in ("__init__.py", *TYPES))
MOST_LINES = 1200  # of all policy files, blank ones not counted: the operators run no longer module


def test_the_module_can_be_read_in_one_sitting() -> None:
    texts = [path.read_text().splitlines() for path in POLICY]
    assert sum(1 for lines in texts for line in lines if line.strip()) <= MOST_LINES
    assert max(len(line) for lines in texts for line in lines) <= 110
    engine = (POLICY_PACKAGE / "engine.py").read_text().splitlines()
    assert "gateway/policy/{settings,events,actions}.py" in engine[0]


def test_the_module_imports_the_standard_library_and_the_interface_only() -> None:
    names = set()
    for node in (node for path in POLICY for node in ast.walk(ast.parse(path.read_text()))):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
    outside = {n for n in names if n.split(".")[0] not in sys.stdlib_module_names and n != "__future__"}
    own = {f"gateway.policy.{path.stem}" for path in POLICY}
    assert outside <= {f"gateway.policy.{Path(name).stem}" for name in TYPES} | own
    assert not names & {"time", "datetime", "os", "socket", "threading", "asyncio"}


def test_the_readme_example_runs() -> None:
    from gateway.policy.actions import StartAttempt
    from tests.support.policy import text

    (example,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    space: dict[str, object] = {}
    exec(example, space)
    drive = space["drive"]
    assert callable(drive)
    assert StartAttempt(1, 7, 0.0) in drive(text())


def test_the_deploy_file_names_the_module() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert sorted(ROOT / path for path in deploy["policy"]) == POLICY
    assert "gateway.simulator.adapter" in deploy["sim"]
