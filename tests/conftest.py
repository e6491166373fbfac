"""KNOWN-RED.txt: tests that fail for a real fault which is not mended yet are passed over, and printed.

One line each, three at most: the test's name as pytest gives it, its cause and its issue, with `|` between.
"""

from __future__ import annotations

from pathlib import Path

import pytest

MOST_LINES = 3  # by the users' rule: more would be a habit


class KnownRedError(ValueError):
    """The file is not as it has to be; the text is one plain line."""


def read(path: Path) -> dict[str, str]:
    """The tests named in the file, each with its whole line; none where there is no file."""
    if not path.exists():
        return {}
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines() if line.strip()]
    if len(lines) > MOST_LINES:
        raise KnownRedError(f"{path.name} has {len(lines)} lines; {MOST_LINES} at most")
    found = {}
    for line in lines:
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise KnownRedError(f"{path.name}: not of the form TEST | CAUSE | ISSUE: {line}")
        found[parts[0]] = line
    return found


def passed_over(known: dict[str, str], names: list[str]) -> set[str]:
    """The tests passed over.  Each line has to name one, or one with parameters and thereby all of these."""
    unknown = [name for name in known if not any(matches(name, test) for test in names)]
    if unknown:
        raise KnownRedError(f"KNOWN-RED.txt names no test: {', '.join(unknown)}")
    return {test for test in names if any(matches(name, test) for name in known)}


def matches(name: str, test: str) -> bool:
    return test == name or test.startswith(f"{name}[")


LINES = pytest.StashKey[list[str]]()  # of the file, as far as they matter to this run


@pytest.hookimpl(tryfirst=True)  # before others leave tests out that the file may name
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    names = [item.nodeid for item in items]
    try:
        known = read(config.rootpath / "KNOWN-RED.txt")
        if config.args_source is pytest.Config.ArgsSource.ARGS:  # part of the tests: others may be named
            known = {name: line for name, line in known.items() if any(matches(name, test) for test in names)}
        over = passed_over(known, names)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None
    config.stash[LINES] = list(known.values())
    if over:
        config.hook.pytest_deselected(items=[item for item in items if item.nodeid in over])
        items[:] = [item for item in items if item.nodeid not in over]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for line in config.stash.get(LINES, []):
        terminalreporter.write_line(f"known red, passed over: {line}")
