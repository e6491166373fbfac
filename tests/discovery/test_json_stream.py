"""Splitting a byte stream into JSON documents, without sockets."""

from __future__ import annotations

import json

import pytest

from gateway.discovery.json_stream import JsonStream
from testbed.fake_discovery import host_entry
from tests.support.discovery import SECOND_ENDPOINT, update_json

UPDATE = update_json(42, host_entry('s-"{[', "127.0.0.1:81"), SECOND_ENDPOINT)


def feed_in_pieces(text: bytes, size: int) -> list[bytes]:
    """Feed a text in pieces of `size` bytes, and return the documents."""
    stream = JsonStream()
    documents = []
    for start in range(0, len(text), size):
        documents += stream.feed(text[start : start + size])
    return documents


# Guards against an update that is not returned until the next one begins, wherever the bytes are split.
@pytest.mark.parametrize("size", [1, 7, 100_000])
@pytest.mark.parametrize("indent", [None, 0, 2])
def test_documents_are_returned_with_their_last_byte(size: int, indent: int | None) -> None:
    text = json.dumps(json.loads(UPDATE), indent=indent).encode()
    assert feed_in_pieces(text, size) == [text]


def test_empty_lines_are_returned_as_empty_documents() -> None:
    assert JsonStream().feed(b"\n" + UPDATE + b"\n\n") == [b"", UPDATE, b"", b""]


@pytest.mark.parametrize(
    "separator", [pytest.param(b"\n", id="newline"), pytest.param(b"\n\n", id="empty line")]
)
def test_an_update_after_an_unclosed_document_is_not_lost(separator: bytes) -> None:
    documents = JsonStream().feed(b'{"seq":' + separator + UPDATE + b"\n")
    assert documents[0] == b'{"seq":'
    assert UPDATE in documents
