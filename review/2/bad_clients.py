"""Bad clients: each sends half a request at full speed, stays, and does so again once it is turned away.

The request's body is chunked, one byte a chunk; one byte short of the 64 KiB that a body may hold, it stops.
Run as `python bad_clients.py PORT COUNT SECONDS`; prints what came back, with how often and the longest wait.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time

MAX_BODY_BYTES = 64 * 1024
RETRY_SECONDS = 0.01
WAIT_SECONDS = 20.0
HEAD = (
    "POST /copy-hold?customer=00000000000003e7 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {name}\r\n"
    "Request-Class: copy-hold\r\nX-Tier: stor\r\nRequest-Timeout: 2500m\r\nIdempotency-Key: {name}\r\n"
    "X-Call-Terms: units=1,spread=1,first=0\r\nTransfer-Encoding: chunked\r\n\r\n"
)
HALF_BODY = b"1\r\nx\r\n" * (MAX_BODY_BYTES - 1)


async def send_and_stay(port: int, request: bytes) -> str:
    """Send half a request, wait for an answer or a close, and return which it was."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(request)
        async with asyncio.timeout(WAIT_SECONDS):
            line = await reader.readline()
        return line.decode("latin-1").strip() or "closed"
    finally:
        writer.close()


async def main(port: int, count: int, seconds: float) -> None:
    """Run the clients side by side."""
    ends_at = time.monotonic() + seconds
    results: dict[str, list[float]] = {}

    async def run(client: int) -> None:
        number = 0
        while (started_at := time.monotonic()) < ends_at:
            number += 1
            request = HEAD.format(name=f"bad-{client}-{number}").encode() + HALF_BODY
            try:
                result = await send_and_stay(port, request)
            except (OSError, TimeoutError) as error:
                result = type(error).__name__
                await asyncio.sleep(RETRY_SECONDS)
            results.setdefault(result, []).append(time.monotonic() - started_at)

    await asyncio.gather(*(run(client) for client in range(count)))
    shown = {result: [len(waits), round(max(waits), 2)] for result, waits in results.items()}
    sys.stdout.write(json.dumps(shown))


asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
