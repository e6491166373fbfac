"""Encodes the counter's commands and parses its replies, in RESP2; does no I/O."""

from __future__ import annotations

import re
import reprlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import hiredis

from gateway.counter.errors import MalformedReplyError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gateway.policy.actions import AddToCounter

ADD_COMMAND = "TALLY"  # arguments: name, amount, expiry in milliseconds
PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"PONG"  # the reply to PING
BUSY_ERROR_PREFIX = "BUSY"  # starts the error reply of an overloaded counter

MIN_EXPIRY_MILLISECONDS = 1  # the shortest that the counter accepts
MAX_EXPIRY_MILLISECONDS = 60_000  # the longest that the counter accepts
MAX_REPLY_BYTES = 64 * 1024  # far longer than any valid reply
# Excludes nan and inf, which would make every later sum of the customer nan or inf as well.
TOTAL_PATTERN = re.compile(rb"-?\d{1,20}(\.\d{1,20})?([eE][+-]?\d{1,2})?")
# The start of a reply that contains others, such as an array.  No reply is one, and hiredis would allocate as
# many entries as it announces.
AGGREGATE_MARK = re.compile(rb"[*%~>|]")
AGGREGATE = re.compile(rb"(?:\A|\n)[*%~>|]")


@dataclass(frozen=True, slots=True)
class TotalReply:
    """The total after an addition."""

    value: float


@dataclass(frozen=True, slots=True)
class PongReply:
    """The reply to a PING."""


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """The counter rejected the call without adding anything."""

    text: str

    @property
    def is_busy(self) -> bool:
        """Whether the counter is overloaded, which is too common to be logged."""
        return self.text.startswith(BUSY_ERROR_PREFIX)


@dataclass(frozen=True, slots=True)
class UnexpectedReply:
    """Well-formed RESP that is not a valid reply to any command."""

    value: Any


Reply = TotalReply | PongReply | ErrorReply | UnexpectedReply


def encode_add(action: AddToCounter) -> bytes:
    """Encode an addition as a command; its expiry is clamped to the range that the counter accepts."""
    milliseconds = round(action.expires_after * 1000)
    expiry = max(MIN_EXPIRY_MILLISECONDS, min(MAX_EXPIRY_MILLISECONDS, milliseconds))
    command = (ADD_COMMAND, str(action.name), f"{action.amount:.6f}", str(expiry))
    packed: bytes = hiredis.pack_command(command)  # type: ignore[arg-type]  # the stub expects one item
    return packed


class ReplyParser:
    """Parses the byte stream of one connection into replies."""

    def __init__(self) -> None:
        self._reader = hiredis.Reader()
        self._bytes_since_reply = 0
        self._last_byte = b"\n"  # of what was received so far; a reply follows a newline

    def feed(self, data: bytes) -> Iterator[Reply]:
        """Add received bytes, and yield each reply that they complete.

        Raises:
            MalformedReplyError: The bytes are not valid RESP, or a reply is too long.
        """
        if AGGREGATE_MARK.search(data) and AGGREGATE.search(self._last_byte + data):
            raise MalformedReplyError(f"reply that contains others: {reprlib.repr(data)}")
        self._last_byte = data[-1:]
        self._bytes_since_reply += len(data)
        for raw in self._read(data):
            self._bytes_since_reply = 0
            yield _typed_reply(raw)
        if self._bytes_since_reply > MAX_REPLY_BYTES:
            raise MalformedReplyError(f"reply exceeds {MAX_REPLY_BYTES} bytes")

    def _read(self, data: bytes) -> Iterator[Any]:
        try:
            self._reader.feed(data)
            while (raw := self._reader.gets()) is not False:
                yield raw
        except hiredis.ProtocolError as error:
            raise MalformedReplyError(f"invalid RESP: {error}: {reprlib.repr(data)}") from error


def _typed_reply(raw: Any) -> Reply:
    if isinstance(raw, hiredis.ReplyError):
        return ErrorReply(str(raw))
    if isinstance(raw, bytes) and TOTAL_PATTERN.fullmatch(raw):
        return TotalReply(float(raw))
    if raw == PONG:
        return PongReply()
    return UnexpectedReply(raw)
