"""Splits a byte stream into JSON documents, each on one line or indented over several; does no I/O."""

from __future__ import annotations

import json
import re

# A complete string, a bracket, a newline, or a quote whose string has no end yet.  Strings hold no newline.
TOKEN = re.compile(rb'"(?:[^"\\\n]|\\[^\n])*"|[{}\[\]\n"]')


class JsonStream:
    """Collects bytes and returns the documents that are complete.

    An empty line between documents is returned as an empty document: agents send one as a heartbeat.  A
    document that is never closed ends at an empty line, or before a line that is a complete update by itself,
    so that the documents behind it are not lost with it.
    """

    def __init__(self) -> None:
        self._buffer = b""  # received and not yet returned
        self._position = 0  # up to where the buffer has been scanned
        self._document_start = 0  # of the document that is being scanned
        self._line_start = 0  # of the line that is being scanned
        self._depth = 0  # brackets that are open at the position

    @property
    def buffered_bytes(self) -> int:
        """The size of the document that is not complete yet, in bytes."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes; return the documents that are complete now, without surrounding white space."""
        self._buffer += data
        documents: list[bytes] = []
        while (token := self._next_token()) is not None:
            if token == b"\n":
                documents += self._end_line()
            elif token in b"{[":
                self._depth += 1
            elif token in b"}]":
                self._depth -= 1
                if self._depth <= 0:
                    documents.append(self._take_until(self._position))
        self._discard_taken()
        return documents

    def _next_token(self) -> bytes | None:
        match = TOKEN.search(self._buffer, self._position)
        if match is None:
            self._position = len(self._buffer)
            return None
        if match[0] == b'"' and self._buffer.find(b"\n", match.end()) < 0:
            return None  # its string may continue in the next bytes
        self._position = match.end()
        return match[0]

    def _end_line(self) -> list[bytes]:
        line_start, self._line_start = self._line_start, self._position
        line = self._buffer[line_start : self._position].strip()
        if self._depth <= 0 or not line:
            return [self._take_until(self._position)]
        if not _is_complete_update(line):
            return []  # one line of an indented document
        return [self._take_until(line_start), self._take_until(self._position)]

    def _take_until(self, end: int) -> bytes:
        document = self._buffer[self._document_start : end].strip()
        self._document_start = self._line_start = end
        self._depth = 0
        return document

    def _discard_taken(self) -> None:
        self._buffer = self._buffer[self._document_start :]
        self._position -= self._document_start
        self._line_start -= self._document_start
        self._document_start = 0


def _is_complete_update(line: bytes) -> bool:
    """Whether a line inside an open document is an update of its own.

    The line of an indented update may hold a complete object too, one endpoint, but that holds no list.
    """
    if not (line.startswith(b"{") and line.endswith(b"}") and b"[" in line):
        return False
    try:
        return isinstance(json.loads(line), dict)
    except ValueError:
        return False
