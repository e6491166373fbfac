"""Checks of the project's files: import layers, sizes, writes to state, the deploy file and the README."""

from __future__ import annotations

import ast
import re
import sys
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from gateway.policy.actions import StartAttempt
from tests.support.code_guards import (
    class_members,
    function_lengths,
    modules_in_import_cycles,
    writes_to_other_objects,
)
from tests.support.policy import settings_text

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).parent.parent
POLICY_PACKAGE = ROOT / "gateway" / "policy"
TYPE_MODULES = ("settings.py", "events.py", "actions.py")  # types of the policy's arguments and results
FILES_WITHOUT_DECISIONS = ("__init__.py", *TYPE_MODULES)
POLICY_FILES = sorted(
    path for path in POLICY_PACKAGE.glob("*.py") if path.name not in FILES_WITHOUT_DECISIONS
)
MAX_POLICY_FILE_LINES = 250
MAX_POLICY_FUNCTION_LINES = 40
MAX_CLASS_METHODS = 20
MAX_CLASS_FIELDS = 15
MAX_LINE_LENGTH = 110
MAX_FILE_LINES = 400
FORBIDDEN_IN_POLICY = {"time", "datetime", "os", "socket", "threading", "asyncio"}

POLICY_TYPES = {f"gateway.policy.{Path(name).stem}" for name in TYPE_MODULES}
SETTINGS_MODULES = {"gateway.settings_parser", "gateway.settings_reader"}
CONFIGURATION_MODULES = {"gateway.address", "gateway.config", "gateway.settings_parser"}
CONNECTING_MODULES = {"gateway.backoff", "gateway.connector"}
READING_MODULES = {"gateway.http_body", "gateway.read_scheduler", "gateway.scheduled_protocol"}
# The modules of this project that each layer may import.  The longest matching name determines the layer.
ALLOWED_IMPORTS: dict[str, set[str]] = {
    "gateway.policy": {"gateway.policy"},
    "gateway.address": set(),
    "gateway.settings_keys": set(),
    "gateway.settings_parser": POLICY_TYPES | {"gateway.settings_keys", "gateway.settings_reader"},
    "gateway.settings_reader": set(),
    "gateway.config": POLICY_TYPES | SETTINGS_MODULES | {"gateway.address", "gateway.config"},
    "gateway.backoff": set(),
    "gateway.connector": {"gateway.address"},
    "gateway.counter": POLICY_TYPES | CONFIGURATION_MODULES | CONNECTING_MODULES | {"gateway.counter"},
    "gateway.discovery": POLICY_TYPES
    | CONFIGURATION_MODULES
    | CONNECTING_MODULES
    | READING_MODULES
    | {"gateway.discovery"},
    "gateway.http_body": set(),
    "gateway.read_scheduler": set(),
    "gateway.scheduled_protocol": {"gateway.read_scheduler"},
    "gateway.upstream": POLICY_TYPES
    | CONFIGURATION_MODULES
    | CONNECTING_MODULES
    | READING_MODULES
    | {"gateway.upstream"},
    "gateway.driver": POLICY_TYPES
    | CONFIGURATION_MODULES
    | {"gateway.policy.engine", "gateway.counter", "gateway.driver", "gateway.upstream"},
    "gateway.driver.clock": set(),
    "gateway.driver.event_queue": POLICY_TYPES,  # independent of HTTP and sockets
    "gateway.frontend": POLICY_TYPES
    | CONFIGURATION_MODULES
    | READING_MODULES
    | {"gateway.driver", "gateway.frontend"},
    "gateway.log_setup": set(),
    "gateway.shutdown": POLICY_TYPES | {"gateway.driver", "gateway.frontend"},
    "gateway.process": POLICY_TYPES
    | CONFIGURATION_MODULES
    | {"gateway.counter", "gateway.discovery", "gateway.frontend", "gateway.policy.engine"}
    | {"gateway.driver", "gateway.shutdown", "gateway.upstream"},
    "gateway.serve": {"gateway.config", "gateway.process"},
    "gateway.__main__": {"gateway.config", "gateway.log_setup", "gateway.serve"},
    "gateway.simulator": {"gateway.policy", "gateway.settings_parser", "gateway.simulator"},
    "gateway": set(),  # the package itself
    "scaletest": {"gateway.policy", "scaletest", "testbed"},
    "testbed": {"testbed"},
}


def is_within(module: str, package: str) -> bool:
    """Return whether a module is the package itself or is inside it."""
    return module == package or module.startswith(f"{package}.")


def imported_modules(path: Path) -> Iterator[str]:
    """Yield the modules that a file imports, at any level of nesting."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path} has a relative import"
            names = [f"{node.module}.{alias.name}" for alias in node.names]
            yield from (name if is_module(name) else str(node.module) for name in names)


def is_module(name: str) -> bool:
    """Return whether a dotted name is a module or package of this project."""
    path = ROOT.joinpath(*name.split("."))
    return path.with_suffix(".py").exists() or (path / "__init__.py").exists()


def module_name(path: Path) -> str:
    """Return the dotted module name of a file of this project."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


SOURCE_PACKAGES = ("gateway", "scaletest", "testbed")
SOURCE_FILES = sorted(path for package in SOURCE_PACKAGES for path in (ROOT / package).rglob("*.py"))


@pytest.mark.parametrize("path", SOURCE_FILES, ids=module_name)
def test_a_module_imports_only_what_its_layer_may(path: Path) -> None:
    module = module_name(path)
    layer = max((layer for layer in ALLOWED_IMPORTS if is_within(module, layer)), key=len)
    for imported in imported_modules(path):
        if imported.split(".")[0] in ("gateway", "scaletest", "testbed", "tests"):
            allowed = any(is_within(imported, package) for package in ALLOWED_IMPORTS[layer])
            assert allowed, f"{module} must not import {imported}"


def test_every_layer_exists() -> None:
    assert all(is_module(layer) for layer in ALLOWED_IMPORTS)


@pytest.mark.parametrize("path", POLICY_FILES, ids=module_name)
def test_files_of_the_policy_are_short(path: Path) -> None:
    lines = path.read_text().splitlines()
    assert len(lines) <= MAX_POLICY_FILE_LINES
    assert max(len(line) for line in lines) <= MAX_LINE_LENGTH


@pytest.mark.parametrize("path", POLICY_FILES, ids=module_name)
def test_functions_of_the_policy_are_short(path: Path) -> None:
    lengths = function_lengths(path.read_text())
    assert {name: length for name, length in lengths.items() if length > MAX_POLICY_FUNCTION_LINES} == {}


def test_classes_have_few_methods() -> None:
    too_large: dict[str, list[str]] = {}
    for path in SOURCE_FILES:
        module = module_name(path)
        classes = class_members(path.read_text())
        found = [members.name for members in classes if len(members.methods) > MAX_CLASS_METHODS]
        if found:
            too_large[module] = found
    assert too_large == {}


def test_classes_have_few_fields() -> None:
    too_large: dict[str, list[str]] = {}
    for path in SOURCE_FILES:
        module = module_name(path)
        if module in POLICY_TYPES:
            continue  # the protocol sets the fields of these records
        classes = class_members(path.read_text())
        found = [members.name for members in classes if len(members.fields) > MAX_CLASS_FIELDS]
        if found:
            too_large[module] = found
    assert too_large == {}


def test_an_import_for_type_checking_counts_as_an_import(tmp_path: Path) -> None:
    path = tmp_path / "sample.py"
    path.write_text("if TYPE_CHECKING:\n    from gateway.policy import engine\n    import json\n")
    assert set(imported_modules(path)) == {"gateway.policy.engine", "json"}


def test_there_are_no_import_cycles() -> None:
    imports = {module_name(path): set(imported_modules(path)) for path in SOURCE_FILES}
    assert modules_in_import_cycles(imports) == set()


@pytest.mark.parametrize("path", sorted(POLICY_PACKAGE.glob("*.py")), ids=module_name)
def test_objects_of_the_policy_write_only_their_own_attributes(path: Path) -> None:
    assert writes_to_other_objects(path.read_text()) == []


def test_the_docstring_of_the_engine_names_the_modules_with_its_types() -> None:
    engine = (POLICY_PACKAGE / "engine.py").read_text().splitlines()
    assert "gateway/policy/{settings,events,actions}.py" in engine[0]


def test_the_policy_imports_only_the_standard_library_and_itself() -> None:
    names = {name for path in POLICY_FILES for name in imported_modules(path)}
    standard_names = {*sys.stdlib_module_names, "__future__"}
    non_standard_names = {name for name in names if name.split(".")[0] not in standard_names}
    policy_modules = {module_name(path) for path in POLICY_FILES}
    assert non_standard_names <= POLICY_TYPES | policy_modules
    assert not {name.split(".")[0] for name in names} & FORBIDDEN_IN_POLICY


def test_the_readme_example_runs() -> None:
    (example,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    namespace: dict[str, object] = {}
    exec(example, namespace)
    drive = namespace["drive"]
    assert callable(drive)
    assert StartAttempt(1, 7, 0.0) in drive(settings_text())


def test_the_deploy_file_lists_all_files_of_the_policy() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert sorted(ROOT / path for path in deploy["policy"]) == POLICY_FILES
    assert "gateway.simulator.adapter" in deploy["sim"]


def test_the_deploy_file_lists_all_files_of_the_gateway_process() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    listed = [ROOT / path for path in deploy["node"]]
    excluded = (POLICY_PACKAGE, ROOT / "gateway" / "simulator", ROOT / "gateway" / "__init__.py")
    for path in (ROOT / "gateway").rglob("*.py"):
        is_of_the_process = not any(path.is_relative_to(other) for other in excluded)
        assert any(path.is_relative_to(entry) for entry in listed) == is_of_the_process, path


def test_files_are_short() -> None:
    lengths = {path: len(path.read_text().splitlines()) for path in SOURCE_FILES}
    assert {path: length for path, length in lengths.items() if length > MAX_FILE_LINES} == {}
