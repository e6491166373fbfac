"""Bad clients: they connect by the hundred, then each sends half a request at full speed and stays.

The request's body is chunked, one byte a chunk; one byte short of the 64 KiB that a body may hold, it
stops. Once all are turned away, they do so again. Run as `python bad_clients.py PORT COUNT STARTS_AT
ROUNDS`, with a monotonic time in seconds; prints what came back, with how often and the longest wait.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time

MAX_BODY_BYTES = 64 * 1024
ROUND_SECONDS = 9.0  # from one start to the next
QUIET_SECONDS = 0.7  # after the start of a round, until which the clients say nothing
WAIT_SECONDS = 8.0
HEAD = (
    "POST /copy-hold?customer=00000000000003e7 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {name}\r\n"
    "Request-Class: copy-hold\r\nX-Tier: stor\r\nRequest-Timeout: 2500m\r\nIdempotency-Key: {name}\r\n"
    "X-Call-Terms: units=1,spread=1,first=0\r\nTransfer-Encoding: chunked\r\n\r\n"
)
HALF_BODY = b"1\r\nx\r\n" * (MAX_BODY_BYTES - 1)


async def send_and_stay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: bytes) -> str:
    """Send half a request, wait for an answer or a close, and return which it was."""
    try:
        writer.write(request)
        async with asyncio.timeout(WAIT_SECONDS):
            line = await reader.readline()
        return line.decode("latin-1").strip() or "closed"
    except (OSError, TimeoutError) as error:
        return type(error).__name__
    finally:
        writer.close()


async def main(port: int, count: int, starts_at: float, rounds: int) -> None:
    """Run the rounds of the clients."""
    results: dict[str, list[float]] = {}
    for number in range(rounds):
        await asyncio.sleep(max(0.0, starts_at + number * ROUND_SECONDS - time.monotonic()))
        streams = await asyncio.gather(*(asyncio.open_connection("127.0.0.1", port) for _ in range(count)))
        await asyncio.sleep(starts_at + number * ROUND_SECONDS + QUIET_SECONDS - time.monotonic())
        requests = [
            HEAD.format(name=f"bad-{number}-{client}").encode() + HALF_BODY for client in range(count)
        ]
        sent_at = time.monotonic()
        pairs = zip(streams, requests, strict=True)
        for answer in asyncio.as_completed([send_and_stay(*stream, request) for stream, request in pairs]):
            results.setdefault(await answer, []).append(time.monotonic() - sent_at)
    shown = {result: [len(waits), round(max(waits), 2)] for result, waits in results.items()}
    sys.stdout.write(json.dumps(shown))


asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4])))
