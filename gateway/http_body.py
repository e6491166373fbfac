"""Collects the parts of an HTTP body."""

from __future__ import annotations


def append_part(body: bytes | bytearray, part: bytes) -> bytes | bytearray:
    """Return the body with a further part, for a body that starts as empty `bytes`.

    A body in one part, which is usual, is not copied.  One in many parts takes up about as much memory as it
    has bytes: a list of parts would take up a multiple of it, as an object of one byte has tens of bytes.
    """
    if not body:
        return part
    if isinstance(body, bytes):
        body = bytearray(body)
    body += part
    return body
