"""Parser for load reports, which endpoints send in a response header or in the response to a probe."""

from __future__ import annotations

import re

FORMAT_PREFIX = "TEXT"  # optional prefix of a load report
# Stricter than `float`, which accepts "nan", "1_0" and "1e9".
NUMBER = re.compile(r"\d{1,15}(\.\d{1,15})?", re.ASCII)


class LoadReportParser:
    """Parses load reports; `columns` are the names of the values, in the order of the settings."""

    def __init__(self, columns: tuple[str, ...]) -> None:
        self.columns = columns

    def parse(self, text: bytes) -> tuple[float, ...]:
        """Return the value of each column, or an empty tuple if the report is malformed or lacks a column.

        A malformed report is not an error, because load reports are optional and must not fail the response
        that they arrive with.
        """
        if not text:
            return ()
        values: dict[str, float] = {}
        for field in text.decode("latin-1").removeprefix(FORMAT_PREFIX).split(","):
            column, separator, value = field.partition("=")
            if not separator:
                continue
            if not NUMBER.fullmatch(value.strip()):
                return ()
            values[column.strip()] = float(value)
        if any(column not in values for column in self.columns):
            return ()
        return tuple(values[column] for column in self.columns)
