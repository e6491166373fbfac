"""Hooks that deselect the tests named in KNOWN-RED.txt, and print its entries at the end of a run."""

from __future__ import annotations

import pytest

from tests.support.known_red import (
    FILE_NAME,
    KnownRedEntry,
    KnownRedError,
    read_known_red,
    select_known_red,
)

RELEVANT_ENTRIES = pytest.StashKey[list[KnownRedEntry]]()  # those that concern this run


@pytest.hookimpl(tryfirst=True)  # before other hooks deselect tests that the file may name
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect the tests that the file names."""
    tests = [item.nodeid for item in items]
    try:
        entries = read_known_red(config.rootpath / FILE_NAME)
        if config.args_source is pytest.Config.ArgsSource.ARGS:  # a part of the tests: others may be named
            entries = [entry for entry in entries if any(entry.names(test) for test in tests)]
        deselected = select_known_red(entries, tests)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None
    config.stash[RELEVANT_ENTRIES] = entries
    if deselected:
        config.hook.pytest_deselected(items=[item for item in items if item.nodeid in deselected])
        items[:] = [item for item in items if item.nodeid not in deselected]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the entries of the file that concern this run."""
    for entry in config.stash.get(RELEVANT_ENTRIES, []):
        terminalreporter.write_line(f"known red, deselected: {entry}")
