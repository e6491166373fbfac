"""The counter's calls and replies as RESP2 bytes; does no I/O."""

from __future__ import annotations

import re
import reprlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import hiredis

from gateway.counter.errors import MalformedReplyError
from gateway.policy.actions import AddToCounter

PING = b"*1\r\n$4\r\nPING\r\n"
MIN_EXPIRY_MILLISECONDS, MAX_EXPIRY_MILLISECONDS = 1, 60_000  # that the counter accepts
MAX_REPLY_BYTES = 64 * 1024  # far more than any total takes
TOTAL = re.compile(rb"-?\d{1,20}(\.\d{1,20})?([eE][+-]?\d{1,2})?")  # neither nan nor inf: sums would stay so


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
        """Whether the counter is overloaded, which is not worth a log line."""
        return self.text.startswith("BUSY")


@dataclass(frozen=True, slots=True)
class UnexpectedReply:
    """Well-formed RESP that is no reply to any call."""

    value: Any


Reply = Total | Pong | ErrorReply | UnexpectedReply


def encode_add(request: AddToCounter) -> bytes:
    """Encode an addition as a TALLY command."""
    milliseconds = round(request.expires_after * 1000)
    expiry = max(MIN_EXPIRY_MILLISECONDS, min(MAX_EXPIRY_MILLISECONDS, milliseconds))
    command = ("TALLY", str(request.name), f"{request.amount:.6f}", str(expiry))
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
    if raw == b"PONG":
        return Pong()
    return UnexpectedReply(raw)
