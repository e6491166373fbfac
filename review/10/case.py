"""Customers ask for several times their quota for some seconds: gateways pass their hard ceilings."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path

from stage import TROUBLE, Ask, Client, Stage, make_settings, plan, request_class, run_case

FOLDER = Path(__file__).resolve().parent
SERVERS, GATEWAYS, CUSTOMERS = 4, 3, 24
RATE, BURST = 1.2, 6.0  # of the quota; the page has 0.85 to 1.5 a second, and 3.5 to 5.3 s worth of it
CEILING = 1.2  # times rate and burst
CEILING_RATE, CEILING_BURST = CEILING * RATE, CEILING * BURST
SLACK = max(1.0, 0.1 * CEILING_BURST)  # the largest request at least
SPIKE_SECONDS = 4.6  # the page has 0.54 to 4.6 s
SPIKE_TIMES = 7.0 if TROUBLE else 0.8  # of the rate; the page has up to 7.3
SPIKE_EVERY_SECONDS = 12.0  # the site file has 10 to 18 s
SPIKES = 6  # of each customer
TIME_SLACK = 0.05 * CEILING_RATE  # "every time limit is 50 ms longer" (PROTOCOL)


class Case:
    """Customers that ask for much now and then, each at times of its own."""

    def __init__(self) -> None:
        self.random = random.Random(10)
        self.first_customer = self.random.randrange(1 << 20)
        ceiling = {"never_over_rate": CEILING_RATE, "hard_burst": CEILING_BURST, "ceiling_slack": SLACK}
        settings = make_settings(
            [request_class("listing-read", "safe", 1.5), request_class("copy-hold", "keyed", 2.5)],
            [plan("bas", RATE, BURST, pays=0.88, **ceiling)],
            GATEWAYS,
        )
        self.stage = Stage(FOLDER, settings, SERVERS, GATEWAYS)
        self.pools: dict[str, list[Client]] = {gateway.name: [] for gateway in self.stage.gateways}
        self.customer_of: dict[str, int] = {}

    async def run(self) -> list[str]:
        """Run, and return what was broken."""
        async with self.stage:
            customers = range(self.first_customer, self.first_customer + CUSTOMERS)
            await asyncio.gather(*map(self.send_spikes, customers))
            self.stage.note_arrivals()
            faults = [fault for customer in customers if (fault := self.fault_of(customer))]
            lowest = min(self.lowest_level(customer)[0] for customer in customers)
            lines = [f"{len(faults)} of {CUSTOMERS}", f"lowest level {lowest:.1f}, allowed is -{SLACK:.1f}"]
            self.stage.record.section("customers whose ceiling was passed", lines)
        return faults

    async def send_spikes(self, customer: int) -> None:
        """Send one customer's spikes."""
        starts_at = time.time() + self.random.random() * SPIKE_EVERY_SECONDS
        for number in range(SPIKES):
            await asyncio.sleep(max(0.0, starts_at + number * SPIKE_EVERY_SECONDS - time.time()))
            await self.send_spike(customer, number)

    async def send_spike(self, customer: int, spike: int) -> None:
        """Send requests of one customer at random times, through all gateways of its set."""
        tasks: list[asyncio.Task[None]] = []
        ends_at = time.time() + SPIKE_SECONDS
        self.stage.record.add(f"customer {customer} asks for {SPIKE_TIMES} times its rate")
        while time.time() < ends_at:
            tasks.append(
                asyncio.ensure_future(self.send_one(customer, f"c{customer}-s{spike}-r{len(tasks)}"))
            )
            await asyncio.sleep(self.random.expovariate(SPIKE_TIMES * RATE))
        await asyncio.gather(*tasks)

    async def send_one(self, customer: int, request_id: str) -> None:
        """Send one request through a random gateway."""
        gateway = self.random.choice(self.stage.gateways)
        pool = self.pools[gateway.name]
        client = pool.pop() if pool else Client(gateway)
        ask = Ask(request_id, plan="bas", customer=customer, spread=GATEWAYS)
        self.customer_of[ask.request_id] = customer
        self.stage.note_reply(await client.ask(ask))
        if client.writer is not None:
            pool.append(client)

    def lowest_level(self, customer: int) -> tuple[float, float]:
        """Return the lowest level of a customer's second store, and the time of it."""
        level, last = CEILING_BURST, 0.0
        lowest, lowest_at = level, 0.0
        seen = set()
        for arrival in self.stage.arrivals:
            if self.customer_of[arrival.request_id] != customer or arrival.request_id in seen:
                continue
            seen.add(arrival.request_id)
            level = min(CEILING_BURST, level + (arrival.at - last) * CEILING_RATE) - 1.0
            last = arrival.at
            if level < lowest:
                lowest, lowest_at = level, arrival.at
        return lowest, lowest_at

    def fault_of(self, customer: int) -> str:
        """Return how a customer's ceiling was passed; empty if it was kept."""
        lowest, at = self.lowest_level(customer)
        if lowest >= -SLACK - TIME_SLACK:
            return ""
        seconds = at - self.stage.record.started_at
        return f"customer {customer}: {-lowest:.1f} units below 0 at {seconds:.1f} s, allowed are {SLACK:.1f}"


run_case(Case().run, FOLDER)
