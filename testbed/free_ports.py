"""Free ports of the loopback address, for programs that are started with a port."""

from __future__ import annotations

import socket

from testbed.fake_server import LOOPBACK

_given_ports: set[int] = set()


def free_port() -> int:
    """Return a port that is free, and that this process was not given before.

    The system may choose a port again once the probe is closed, although the program that is to listen on it
    has not started yet.
    """
    while True:
        with socket.socket() as probe:
            probe.bind((LOOPBACK, 0))
            port: int = probe.getsockname()[1]
        if port not in _given_ports:
            _given_ports.add(port)
            return port
