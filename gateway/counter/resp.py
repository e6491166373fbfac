"""The counter's commands and replies as RESP2 bytes, and the names they have there; does no I/O."""

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

ADD_COMMAND = "TALLY"  # AddToCounter: name, amount, expires_after in milliseconds
PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"PONG"  # the reply to PING
BUSY_ERROR_PREFIX = "BUSY"  # of the error reply of an overloaded counter

MIN_EXPIRY_MILLISECONDS = 1  # that the counter accepts
MAX_EXPIRY_MILLISECONDS = 60_000  # that the counter accepts
MAX_REPLY_BYTES = 64 * 1024  # far more than any total needs
# Neither nan nor inf, with which no later sum of a customer would be a number again.
TOTAL = re.compile(rb"-?\d{1,20}(\.\d{1,20})?([eE][+-]?\d{1,2})?")


@dataclass(frozen=True, slots=True)
class Total:
    """The total of a counter after an addition."""

    value: float


@dataclass(frozen=True, slots=True)
class Pong:
    """The reply to a PING."""


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """The counter rejected the call, so nothing was added."""

    text: str

    @property
    def is_busy(self) -> bool:
        """Whether the counter is overloaded, an everyday condition that is not logged."""
        return self.text.startswith(BUSY_ERROR_PREFIX)


@dataclass(frozen=True, slots=True)
class UnexpectedReply:
    """Well-formed RESP that is no reply to any call."""

    value: Any


Reply = Total | Pong | ErrorReply | UnexpectedReply


def encode_add(request: AddToCounter) -> bytes:
    """Return an addition as the bytes of a command; its expiry is clamped to what the counter accepts."""
    milliseconds = round(request.expires_after * 1000)
    expiry = max(MIN_EXPIRY_MILLISECONDS, min(MAX_EXPIRY_MILLISECONDS, milliseconds))
    command = (ADD_COMMAND, str(request.name), f"{request.amount:.6f}", str(expiry))
    packed: bytes = hiredis.pack_command(command)  # type: ignore[arg-type]  # any length is taken
    return packed


class ReplyParser:
    """Collects the bytes of one connection and returns the replies that are complete."""

    def __init__(self) -> None:
        self._reader = hiredis.Reader()
        self._bytes_since_reply = 0

    def feed(self, data: bytes) -> Iterator[Reply]:
        """Add received bytes; yield each reply that is complete now.

        Raises:
            MalformedReplyError: The bytes are not RESP, or a reply is too long.
        """
        self._bytes_since_reply += len(data)
        for raw in self._read(data):
            self._bytes_since_reply = 0
            yield _classify(raw)
        if self._bytes_since_reply > MAX_REPLY_BYTES:
            raise MalformedReplyError(f"a reply of more than {MAX_REPLY_BYTES} bytes")

    def _read(self, data: bytes) -> Iterator[Any]:
        try:
            self._reader.feed(data)
            while (raw := self._reader.gets()) is not False:
                yield raw
        except hiredis.ProtocolError as error:
            raise MalformedReplyError(f"not RESP: {error}: {reprlib.repr(data)}") from error


def _classify(raw: Any) -> Reply:
    if isinstance(raw, hiredis.ReplyError):
        return ErrorReply(str(raw))
    if isinstance(raw, bytes) and TOTAL.fullmatch(raw):
        return Total(float(raw))
    if raw == PONG:
        return Pong()
    return UnexpectedReply(raw)
