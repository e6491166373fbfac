"""After half of the servers have hung for some seconds, gateways refuse everything for good."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field
from pathlib import Path

from stage import (
    OK,
    REFUSED,
    TROUBLE,
    Arrival,
    Ask,
    Client,
    Gateway,
    Reply,
    Server,
    Stage,
    body_for,
    make_settings,
    ok_answer,
    plan,
    request_class,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
SERVERS, GATEWAYS, CUSTOMERS = 8, 4, 16
CORES, SLOTS, QUEUE = 2, 4, 36  # of each server; the site file has 2 to 6 slots a core, 8 to 36 waiting
WORK_SECONDS = 0.078  # mean; the site file has 45 to 78 ms
LOAD = 0.9  # of what the servers can do; the page has 0.81 to 1 on the worst days
REPORT_PERIOD, REPORT_DELAY = 0.2, 0.08  # the site file has 0.17 to 0.56 and 0.077 to 0.26 s
WARM_UP_SECONDS = 8.0
HANG_SECONDS = 20.0  # the page has 5.8 to 24 s
QUIET_SECONDS = 10.0  # after each hang
PROOF_SECONDS = 10.0  # for which the run goes on once the rule is broken
SETTLE_SECONDS = 5.0  # of quiet that the check leaves out
HANGS = 3  # at most; the run ends after the first one that has broken the rule
WINDOW_SECONDS, WINDOW_REQUESTS = 4.0, 15  # of the rule
KEYED_SHARE = 0.31


@dataclass
class Machine:
    """What a server has: cores, slots, a waiting room, and a load report that comes late.

    Attributes:
        awake: Cleared while the server hangs.
        report: The load report of the moment: requests in work and requests that wait.
    """

    cores: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(CORES))
    slots: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(SLOTS))
    awake: asyncio.Event = field(default_factory=asyncio.Event)
    in_work: int = 0
    waiting: int = 0
    report: tuple[int, int] = (0, 0)

    async def keep_reporting(self) -> None:
        """Refresh the load report."""
        while True:
            seen = (self.in_work, self.waiting)
            await asyncio.sleep(REPORT_DELAY)
            self.report = seen
            await asyncio.sleep(REPORT_PERIOD - REPORT_DELAY)

    def load_header(self) -> bytes:
        """Return the header with the report."""
        in_work, waiting = self.report
        return b"Server-Load: TEXT inflight=%d, queue=%d, util=0.9\r\n" % (in_work, waiting)


class Case:
    """The run: steady traffic, with some hangs."""

    def __init__(self) -> None:
        self.random = random.Random(7)
        settings = make_settings(
            [
                request_class("listing-read", "safe", 1.5, worth=3.0),
                request_class("copy-hold", "keyed", 2.5, worth=2.0, late_value=0.2),
            ],
            [plan("stor", 25.0, 32.0, pays=1.4)],
            GATEWAYS,
        )
        settings["report"] = {"columns": ["inflight", "queue", "util"], "how": "piggyback"}
        self.stage = Stage(FOLDER, settings, SERVERS, GATEWAYS)
        self.machines: dict[str, Machine] = {}
        self.pools: dict[str, list[Client]] = {gateway.name: [] for gateway in self.stage.gateways}
        self.healthy_since = 0.0

    async def run(self) -> list[str]:
        """Run, and return what was broken."""
        for server in self.stage.servers:
            server.handler = self.serve
            machine = self.machines[server.name] = Machine()
            machine.awake.set()
        reports = [asyncio.ensure_future(machine.keep_reporting()) for machine in self.machines.values()]
        async with self.stage:
            traffic = asyncio.ensure_future(self.send_traffic())
            self.healthy_since = time.time()
            await asyncio.sleep(WARM_UP_SECONDS)
            for _ in range(HANGS):
                await self.hang_half()
                await asyncio.sleep(QUIET_SECONDS)
                if self.find_faults():
                    await asyncio.sleep(PROOF_SECONDS)
                    break
            traffic.cancel()
            for report in reports:
                report.cancel()
            faults = self.find_faults()
            self.write_record()
        return faults

    async def serve(self, server: Server, arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        """Serve a request as a server with cores, slots and a waiting room does."""
        machine = self.machines[server.name]
        await machine.awake.wait()
        if machine.waiting >= QUEUE:
            arrival.outcome = "turned away"
            writer.write(b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n")
            writer.write(machine.load_header() + b"\r\n")
            return True
        machine.waiting += 1
        async with machine.slots:
            machine.waiting -= 1
            if arrival.is_given_up:
                arrival.outcome = "dropped, as the gateway had given it up"
                return False
            machine.in_work += 1
            async with machine.cores:
                await asyncio.sleep(self.random.expovariate(1 / WORK_SECONDS))
            await machine.awake.wait()
            machine.in_work -= 1
        writer.write(ok_answer(body_for(server.name, arrival.request_id), machine.load_header()))
        arrival.outcome = "answered"
        return True

    async def hang_half(self) -> None:
        """Half of the servers take requests and answer none for a time; then they go on."""
        chosen = self.stage.servers[: SERVERS // 2]
        if TROUBLE:
            for server in chosen:
                self.stage.record.add(f"{server.name} hangs")
                self.machines[server.name].awake.clear()
        await asyncio.sleep(HANG_SECONDS)
        for server in chosen:
            self.machines[server.name].awake.set()
        self.healthy_since = time.time()
        self.stage.record.add("all servers are sound")

    async def send_traffic(self) -> None:
        """Send requests at random times."""
        tasks: set[asyncio.Task[None]] = set()
        rate = LOAD * SERVERS * CORES / WORK_SECONDS
        number = 0
        while True:
            number += 1
            task = asyncio.ensure_future(self.send_one(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(self.random.expovariate(rate))

    async def send_one(self, number: int) -> None:
        """Send one request through a random gateway."""
        gateway = self.random.choice(self.stage.gateways)
        pool = self.pools[gateway.name]
        client = pool.pop() if pool else Client(gateway)
        ask = Ask(f"r{number}", customer=1 + number % CUSTOMERS, spread=GATEWAYS)
        if self.random.random() < KEYED_SHARE:
            ask.class_name, ask.method, ask.seconds, ask.key = "copy-hold", "POST", 2.5, f"key-{number}"
        self.stage.note_reply(await client.ask(ask))
        if client.writer is not None:
            pool.append(client)

    def find_faults(self) -> list[str]:
        """Return the gateways that rejected all that they got for 4 s on end while all servers were sound."""
        since = self.healthy_since + SETTLE_SECONDS
        found = [fault for gateway in self.stage.gateways if (fault := self.longest_refusal(gateway, since))]
        return found if len(found) > GATEWAYS / 10 else []

    def longest_refusal(self, gateway: Gateway, since: float) -> str:
        """Return the time for which a gateway refused everything; empty if it is shorter than the rule's."""
        replies = [reply for reply in self.stage.replies if reply.gateway == gateway.name]
        replies = sorted(
            (reply for reply in replies if reply.sent_at >= since), key=lambda reply: reply.sent_at
        )
        run: list[Reply] = []
        attempted = {arrival.request_id for arrival in self.stage.arrivals if arrival.at >= since}
        for reply in replies:
            if reply.status in REFUSED and reply.ask.request_id not in attempted:
                run.append(reply)
                continue
            run = []
        seconds = run[-1].sent_at - run[0].sent_at if run else 0.0
        if seconds < WINDOW_SECONDS or len(run) < WINDOW_REQUESTS:
            return ""
        return (
            f"{gateway.name} refused all of {len(run)} requests for {seconds:.1f} s on end, up to the end of "
            f"the run and without an attempt, while all {SERVERS} servers were sound and idle"
        )

    def write_record(self) -> None:
        """Write what each gateway answered in each second, and what each server got."""
        stage = self.stage
        start = stage.record.started_at
        lines = []
        last = int(time.time() - start)
        for second in range(last):
            parts = []
            for gateway in stage.gateways:
                mine = [
                    reply
                    for reply in stage.replies
                    if reply.gateway == gateway.name and int(reply.sent_at - start) == second
                ]
                served = sum(reply.status == OK for reply in mine)
                refused = sum(reply.status in REFUSED for reply in mine)
                parts.append(f"{gateway.name}: {len(mine)} sent, {served} served, {refused} refused")
            reached = sum(int(arrival.at - start) == second for arrival in stage.arrivals)
            lines.append(f"{second:4d} s  {'; '.join(parts)}; {reached} attempts reached a server")
        stage.record.section("by the second in which requests were sent", lines)


run_case(Case().run, FOLDER)
