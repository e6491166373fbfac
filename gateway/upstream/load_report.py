"""Parsing of load reports, which endpoints send in a response header or in the body of a probe."""

from __future__ import annotations

import re

FORMAT_PREFIX = "TEXT"  # of a load report, which may lack it
NUMBER = re.compile(r"\d{1,15}(\.\d{1,15})?", re.ASCII)  # `float` alone would accept "nan", "1_0" and "1e9"


class LoadReportParser:
    """Parses load reports; `columns` are the names of their numbers in the order of the settings."""

    def __init__(self, columns: tuple[str, ...]) -> None:
        self.columns = columns

    def parse(self, text: bytes) -> tuple[float, ...]:
        """Return the number of each column.

        A report that is malformed or lacks a column gives an empty tuple: it is optional, and must not fail
        the response that carries it.
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
