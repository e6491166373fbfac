"""Splits a byte stream into JSON documents, which may span several lines; does no I/O."""

from __future__ import annotations

import json
import re

# A complete string, a bracket, a newline, or the quote of an incomplete string.  No string has a newline.
TOKEN = re.compile(rb'"[^"\\\n]*(?:\\[^\n][^"\\\n]*)*"|[{}\[\]\n"]')
QUOTE, BACKSLASH, NEWLINE = b'"', b"\\", b"\n"
SPECIAL_IN_STRING = re.compile(rb'["\\\n]')


class JsonStream:
    """Buffers received bytes and returns each complete document.

    A newline after a document, and an empty line, which agents send as a heartbeat, are each returned as an
    empty document.  A document with unclosed brackets ends at an empty line, or before a line that is a
    complete update, so that later documents are not lost.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()  # received, but not returned yet
        self._position = 0  # offset at which scanning continues
        self._document_start = 0  # offset of the document that is being scanned
        self._line_start = 0  # offset of the line that is being scanned
        self._depth = 0  # number of open brackets at the position
        self._is_in_string = False  # whether the position is in a string that is longer than the buffer

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes buffered for the incomplete document."""
        return len(self._buffer)

    def feed(self, data: bytes | bytearray) -> list[bytes]:
        """Add received bytes; return the documents that they complete, without surrounding white space."""
        self._buffer += data
        documents: list[bytes] = []
        while (token := self._next_token()) is not None:
            if token == NEWLINE:
                documents += self._end_line()
            elif token in b"{[":
                self._depth += 1
            elif token in b"}]":
                self._depth -= 1
                if self._depth <= 0:
                    documents.append(self._cut_document(self._position))
        self._discard_returned()
        return documents

    def _next_token(self) -> bytes | bytearray | None:
        """Return the next token outside a string; None if more bytes are needed to recognize it."""
        while not self._is_in_string or self._skip_string():
            match = TOKEN.search(self._buffer, self._position)
            if match is None:
                self._position = len(self._buffer)
                return None
            self._position = match.end()
            token = match[0]
            if token != QUOTE:
                return token
            self._is_in_string = True
        return None

    def _skip_string(self) -> bool:
        """Move past the string at the position, or up to the newline that cuts it off.

        Each byte is scanned once, however small the pieces are in which it is received.

        Returns:
            Whether the end of the string was found.
        """
        while (match := SPECIAL_IN_STRING.search(self._buffer, self._position)) is not None:
            is_escape = match[0] == BACKSLASH
            if is_escape and match.end() == len(self._buffer):
                self._position = match.start()
                return False
            self._position = match.end()
            if is_escape and self._buffer[match.end()] != ord(NEWLINE):
                self._position += 1  # the escaped character
                continue
            if not is_escape:
                self._is_in_string = False
                if match[0] == NEWLINE:
                    self._position = match.start()
                return True
        self._position = len(self._buffer)
        return False

    def _end_line(self) -> list[bytes]:
        """Return the documents that end at the newline just scanned."""
        line_start = self._line_start
        self._line_start = self._position
        line = bytes(self._buffer[line_start : self._position]).strip()
        if self._depth <= 0 or not line:
            return [self._cut_document(self._position)]
        if not _is_complete_update(line):
            return []  # one line of an indented document
        return [self._cut_document(line_start), self._cut_document(self._position)]

    def _cut_document(self, end: int) -> bytes:
        """Return the document that ends at an offset, and start the next one there."""
        document = bytes(self._buffer[self._document_start : end]).strip()
        self._document_start = end
        self._line_start = end
        self._depth = 0
        return document

    def _discard_returned(self) -> None:
        """Remove the bytes of returned documents from the buffer."""
        del self._buffer[: self._document_start]
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
