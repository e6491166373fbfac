"""Free ports for the programs of tests and soaks."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from testbed.free_ports import free_port

if TYPE_CHECKING:
    import pytest


# Guards against two programs that listen on the same port: the end of one resets the connections to the
# other.
def test_no_port_is_given_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    first = free_port()
    second = free_port()
    offered = iter([first, second, first, free_port() + 1])
    monkeypatch.setattr(socket.socket, "getsockname", lambda _: ("127.0.0.1", next(offered)))
    assert free_port() not in (first, second)
