"""JSON documents out of a stream of bytes, one after another, each on one line or indented over several."""

from __future__ import annotations

import json
import re

# A whole string, what opens or closes, or a quote whose string has no end yet.  A string holds no newline.
TOKEN = re.compile(rb'"(?:[^"\\\n]|\\[^\n])*"|[{}\[\]\n"]')


class JsonStream:
    """Takes bytes as they come and gives the documents that are whole, an empty one for each line that only
    says that the sender is there.  What never closes ends at such a line, or at a line that stands alone as
    a document: the ones behind it must not be lost with it.
    """

    def __init__(self) -> None:
        self.rest = b""  # of a document that is not whole yet
        self.at = 0  # up to where it has been looked at
        self.line = 0  # where its last line begins
        self.depth = 0  # how much is open there

    def feed(self, data: bytes) -> list[bytes]:
        self.rest += data
        found: list[bytes] = []
        start = 0
        while (token := TOKEN.search(self.rest, self.at)) is not None:
            mark = token[0]
            if mark == b'"' and self.rest.find(b"\n", token.end()) < 0:
                break  # its string may go on with the next bytes
            self.at = token.end()
            self.depth += (mark in b"{[") - (mark in b"}]")
            if mark == b"\n":
                begin, self.line = self.line, self.at
                line = self.rest[begin : self.at].strip()
                if self.depth > 0 and line and not alone(line):
                    continue  # indented
                if self.depth > 0 and line:
                    found.append(self.rest[start:begin].strip())
                    start = begin
            elif self.depth > 0 or mark not in b"}]":
                continue
            found.append(self.rest[start : self.at].strip())
            start = self.line = self.at
            self.depth = 0
        else:
            self.at = len(self.rest)
        self.rest = self.rest[start:]
        self.at, self.line = self.at - start, self.line - start
        return found


def alone(line: bytes) -> bool:
    """Whether a line between others is a document of its own, not part of an indented one: a list's entry
    may stand on one line too, but it holds no list.
    """
    if not (line.startswith(b"{") and line.endswith(b"}") and b"[" in line):
        return False
    try:
        return isinstance(json.loads(line), dict)
    except ValueError:
        return False
