"""Bad clients send bodies of 60 MB: requests of usual clients are not answered."""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
import time
from pathlib import Path

from stage import (
    TROUBLE,
    Ask,
    CannotRunError,
    Client,
    Reply,
    Stage,
    make_settings,
    plan,
    request_class,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
SERVERS, CUSTOMERS = 3, 8
BAD_PROCESSES, BAD_CLIENTS = 3, 100  # clients of each process; together under a third of the descriptors
BAD_SECONDS = 25
QUIET_SECONDS = 2.0  # before the bad clients come
USUAL_SECONDS = 25.0
REQUESTS_PER_SECOND = 20.0
NEW_CONNECTION_SHARE = 0.5  # of the usual requests; the others come on connections that are kept
DEADLINE_SECONDS = 1.0  # "given up after 50 to 100% of the class's give-up time" of 1.5 s
LATE_SECONDS = 0.5 + 0.05  # a later answer is lost; every time limit is 50 ms longer
PATIENCE_SECONDS = 2.0  # for which the client waits beyond its time
MAX_LAG_SECONDS = 0.2  # of the stand-ins; with more, the run says nothing


class Case:
    """Usual clients, and beside them bad ones."""

    def __init__(self) -> None:
        self.random = random.Random(6)
        settings = make_settings(
            [request_class("listing-read", "safe", 1.5), request_class("copy-hold", "keyed", 2.5)],
            [plan("stor", 25.0, 32.0, pays=1.4)],
            1,
        )
        self.stage = Stage(FOLDER, settings, SERVERS, 1)
        self.kept: list[Client] = []
        self.kinds: dict[str, str] = {}
        self.longest_lag = 0.0

    async def run(self) -> list[str]:
        """Run, and return what was broken."""
        bad: list[subprocess.Popen[bytes]] = []
        async with self.stage:
            try:
                traffic = asyncio.ensure_future(self.send_traffic())
                await asyncio.sleep(QUIET_SECONDS)
                bad = self.start_bad_clients() if TROUBLE else []
                await traffic
            finally:
                for process in bad:
                    process.kill()
                    process.wait()
            self.stage.note_arrivals()
            self.stage.record.section("longest lag of the stand-ins", [f"{self.longest_lag:.3f} s"])
            status = self.stage.gateways[0].status
            faults = [fault for reply in self.stage.replies if (fault := self.fault_of(reply))]
            if status is not None:
                faults.append(f"the gateway ended with status {status}")
        if self.longest_lag > MAX_LAG_SECONDS:
            raise CannotRunError(f"the stand-ins were held up for {self.longest_lag:.3f} s")
        if len(faults) > 1:
            faults.append(f"{len(faults)} of {len(self.stage.replies)} usual requests in all")
        return faults

    def start_bad_clients(self) -> list[subprocess.Popen[bytes]]:
        """Start the processes of the bad clients."""
        self.stage.record.add(f"{BAD_PROCESSES * BAD_CLIENTS} bad clients begin")
        port = self.stage.gateways[0].port
        commands = [
            [str(text) for text in (port, BAD_CLIENTS, BAD_SECONDS, number * BAD_CLIENTS)]
            for number in range(BAD_PROCESSES)
        ]
        script = str(FOLDER / "bad_clients.py")
        return [subprocess.Popen([sys.executable, script, *command]) for command in commands]

    async def send_traffic(self) -> None:
        """Send usual requests at random times."""
        tasks: list[asyncio.Task[None]] = []
        ends_at = time.time() + USUAL_SECONDS
        while time.time() < ends_at:
            tasks.append(asyncio.ensure_future(self.send_one(len(tasks))))
            pause = self.random.expovariate(REQUESTS_PER_SECOND)
            started_at = time.perf_counter()
            await asyncio.sleep(pause)
            self.longest_lag = max(self.longest_lag, time.perf_counter() - started_at - pause)
        await asyncio.gather(*tasks)

    async def send_one(self, number: int) -> None:
        """Send one request, on a new connection or on one that has been kept."""
        is_new = self.random.random() < NEW_CONNECTION_SHARE or not self.kept
        client = Client(self.stage.gateways[0]) if is_new else self.kept.pop()
        ask = Ask(f"r{number}", customer=1 + number % CUSTOMERS, seconds=DEADLINE_SECONDS)
        self.kinds[ask.request_id] = "new" if is_new else "kept"
        self.stage.note_reply(await client.ask(ask, PATIENCE_SECONDS))
        if client.writer is not None:
            self.kept.append(client)

    def fault_of(self, reply: Reply) -> str:
        """Return how a request was lost; empty if it was answered in time, or may be sent once more."""
        kind = self.kinds[reply.ask.request_id]
        if reply.status < 0:
            return (
                f"{reply.ask.request_id} on a {kind} connection got nothing within {DEADLINE_SECONDS + 2} s"
            )
        if reply.status and reply.late_by > LATE_SECONDS:
            return f"{reply.ask.request_id} on a {kind} connection was answered {reply.late_by:.2f} s late"
        return ""


run_case(Case().run, FOLDER)
