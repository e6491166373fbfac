"""Pytest hooks that deselect the tests listed in KNOWN-RED.txt and print its entries at the end of a run."""

from __future__ import annotations

import pytest

from tests.support.known_red import (
    FILE_NAME,
    KnownRedEntry,
    KnownRedError,
    read_known_red,
    select_known_red,
)

RELEVANT_ENTRIES = pytest.StashKey[list[KnownRedEntry]]()  # the entries for tests of this run


@pytest.hookimpl(tryfirst=True)  # runs before hooks that deselect listed tests for another reason
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect the tests that the file lists."""
    tests = [item.nodeid for item in items]
    try:
        entries = read_known_red(config.rootpath / FILE_NAME)
        is_partial_run = config.args_source is pytest.Config.ArgsSource.ARGS
        if is_partial_run:  # ignore entries for other tests
            entries = [entry for entry in entries if any(entry.matches(test) for test in tests)]
        deselected = select_known_red(entries, tests)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None
    config.stash[RELEVANT_ENTRIES] = entries
    if deselected:
        config.hook.pytest_deselected(items=[item for item in items if item.nodeid in deselected])
        items[:] = [item for item in items if item.nodeid not in deselected]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the entries for tests of this run."""
    for entry in config.stash.get(RELEVANT_ENTRIES, []):
        terminalreporter.write_line(f"known red, deselected: {entry}")
