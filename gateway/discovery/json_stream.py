"""Splits a byte stream into JSON documents, which may span several lines; does no I/O."""

from __future__ import annotations

import json
import re

# A complete string, a bracket, a newline, or the quote of an unterminated string.  No string has a newline.
TOKEN = re.compile(rb'"(?:[^"\\\n]|\\[^\n])*"|[{}\[\]\n"]')


class JsonStream:
    """Buffers received bytes and returns each complete document.

    A newline after a document, and an empty line, which agents send as a heartbeat, are each returned as an
    empty document.  A document with unclosed brackets ends at an empty line, or before a line that is a
    complete update, so that later documents are not lost.
    """

    def __init__(self) -> None:
        self._buffer = b""  # received, but not returned yet
        self._position = 0  # offset at which scanning continues
        self._document_start = 0  # offset of the document that is being scanned
        self._line_start = 0  # offset of the line that is being scanned
        self._depth = 0  # number of open brackets at the position

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes buffered for the incomplete document."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes; return the documents that they complete, without surrounding white space."""
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
                    documents.append(self._cut_document(self._position))
        self._discard_returned()
        return documents

    def _next_token(self) -> bytes | None:
        """Return the next token; None if more bytes are needed to recognize it."""
        match = TOKEN.search(self._buffer, self._position)
        if match is None:
            self._position = len(self._buffer)
            return None
        if match[0] == b'"' and self._buffer.find(b"\n", match.end()) < 0:
            return None  # the string may continue in the next bytes
        self._position = match.end()
        return match[0]

    def _end_line(self) -> list[bytes]:
        """Return the documents that end at the newline just scanned."""
        line_start = self._line_start
        self._line_start = self._position
        line = self._buffer[line_start : self._position].strip()
        if self._depth <= 0 or not line:
            return [self._cut_document(self._position)]
        if not _is_complete_update(line):
            return []  # one line of an indented document
        return [self._cut_document(line_start), self._cut_document(self._position)]

    def _cut_document(self, end: int) -> bytes:
        """Return the document that ends at an offset, and start the next one there."""
        document = self._buffer[self._document_start : end].strip()
        self._document_start = end
        self._line_start = end
        self._depth = 0
        return document

    def _discard_returned(self) -> None:
        """Remove the bytes of returned documents from the buffer."""
        self._buffer = self._buffer[self._document_start :]
        self._position -= self._document_start
        self._line_start -= self._document_start
        self._document_start = 0


def _is_complete_update(line: bytes) -> bool:
    """Return whether a line is a complete update rather than part of an indented document.

    An endpoint of an indented update may also be a complete object on one line, but it contains no list.
    """
    is_object = line.startswith(b"{") and line.endswith(b"}")
    if not is_object or b"[" not in line:
        return False
    try:
        return isinstance(json.loads(line), dict)
    except ValueError:
        return False
