"""Bad clients: each sends 60 MB at full speed, reads what it gets, and begins again when it is closed.

Arguments: the gateway's port, the number of clients, and for how many seconds they go on.
"""

from __future__ import annotations

import contextlib
import socket
import sys
import time

BODY_BYTES = 60_000_000
PIECE = b"x" * 65536
HEAD = (
    b"POST /copy-hold?customer=00000000000f4240 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Class: copy-hold\r\n"
    b"Request-Id: bad-%d\r\nX-Tier: stor\r\nRequest-Timeout: 2500m\r\nIdempotency-Key: bad-%d\r\n"
    b"X-Call-Terms: units=1,spread=1,first=0\r\nContent-Length: %d\r\n\r\n"
)


class BadClient:
    """One bad client and its connection."""

    def __init__(self, port: int, number: int) -> None:
        self.port = port
        self.number = number
        self.requests = 0
        self.connect()

    def connect(self) -> None:
        """Open a new connection for the next request."""
        self.socket = socket.socket()
        self.socket.settimeout(0.0)
        with contextlib.suppress(BlockingIOError):
            self.socket.connect(("127.0.0.1", self.port))
        self.requests += 1
        request_id = self.number * 1_000_000 + self.requests
        self.head = HEAD % (request_id, request_id, BODY_BYTES)
        self.left = BODY_BYTES

    def go_on(self) -> None:
        """Send as much as the system takes, and read what has come; after a close, begin again."""
        try:
            self.send()
            with contextlib.suppress(BlockingIOError):
                self.socket.recv(65536)
        except OSError as error:
            if not isinstance(error, BlockingIOError):
                self.socket.close()
                self.connect()

    def send(self) -> None:
        """Send the next piece."""
        if self.head:
            self.head = self.head[self.socket.send(self.head) :]
        elif self.left:
            self.left -= self.socket.send(PIECE[: self.left])
        else:
            self.socket.close()
            self.connect()


def main() -> None:
    """Run the clients."""
    port, count, seconds, first = (int(text) for text in sys.argv[1:])
    clients = [BadClient(port, first + number) for number in range(count)]
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        for client in clients:
            client.go_on()


main()
