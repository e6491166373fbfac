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
    so that the documents after it are not lost with it.
    """

    def __init__(self) -> None:
        self._buffer = b""  # received and not returned yet
        self._position = 0  # where scanning continues
        self._document_start = 0  # where the document that is being scanned starts
        self._line_start = 0  # where the line that is being scanned starts
        self._depth = 0  # brackets that are open at the position

    @property
    def buffered_bytes(self) -> int:
        """The size in bytes of the document that is not complete yet."""
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
        """Return the next token; None if more bytes are needed to tell what it is."""
        match = TOKEN.search(self._buffer, self._position)
        if match is None:
            self._position = len(self._buffer)
            return None
        if match[0] == b'"' and self._buffer.find(b"\n", match.end()) < 0:
            return None  # its string may continue in the next bytes
        self._position = match.end()
        return match[0]

    def _end_line(self) -> list[bytes]:
        """Return the documents that end with the line that ends here."""
        line_start = self._line_start
        self._line_start = self._position
        line = self._buffer[line_start : self._position].strip()
        if self._depth <= 0 or not line:
            return [self._take_until(self._position)]
        if not _is_complete_update(line):
            return []  # one line of an indented document
        return [self._take_until(line_start), self._take_until(self._position)]

    def _take_until(self, end: int) -> bytes:
        """Return the document that ends at a position, and start the next one there."""
        document = self._buffer[self._document_start : end].strip()
        self._document_start = end
        self._line_start = end
        self._depth = 0
        return document

    def _discard_taken(self) -> None:
        """Drop the bytes of the documents that were returned."""
        self._buffer = self._buffer[self._document_start :]
        self._position -= self._document_start
        self._line_start -= self._document_start
        self._document_start = 0


def _is_complete_update(line: bytes) -> bool:
    """Return whether a line inside an open document is an update of its own.

    A line of an indented update may be a complete object too, one endpoint, but that contains no list.
    """
    is_object = line.startswith(b"{") and line.endswith(b"}")
    if not is_object or b"[" not in line:
        return False
    try:
        return isinstance(json.loads(line), dict)
    except ValueError:
        return False
