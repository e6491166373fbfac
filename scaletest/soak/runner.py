"""Runs a soak: starts the stand-ins and the gateways, plays the script and collects the records."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from scaletest.soak.configuration import MAX_SOCKETS, Fleet, Ports, host_entry, write_configuration
from scaletest.soak.gateway_process import GatewayRunner
from scaletest.soak.load import COMMAND, REPORT_COMMAND, GatewayState, SetGateway
from scaletest.soak.records import LOAD_REPORT, LoadReport, ProcessRecord
from scaletest.soak.script import (
    CounterFaultEvent,
    DiscoveryFaultEvent,
    EndpointFaultEvent,
    Event,
    ReplaceEndpointEvent,
    Script,
    SignalEvent,
    SignalSeries,
)
from testbed import faulty_discovery, faulty_endpoints
from testbed.child_process import ChildProcess
from testbed.faulty_counter import CounterFault
from testbed.faulty_discovery import DiscoveryFault, Publish, SetDiscoveryFault
from testbed.faulty_endpoints import EndpointFault, EndpointReport, SetEndpointFault
from testbed.free_ports import free_port
from testbed.idle_clients import IdleClientProcess

if TYPE_CHECKING:
    from pathlib import Path

REQUESTS_PER_GATEWAY = 40.0  # a second
CROWD_SIZE = MAX_SOCKETS + 64  # idle clients of each gateway: more than it has descriptors
CROWD_RECONNECT_SECONDS = 1.0
SAMPLE_SECONDS = 0.5
NEW_CONNECTIONS_SECONDS = 0.3  # after SIGTERM, while clients still open connections
DRAIN_SECONDS = 1.0  # from draining to gone, of an endpoint that is replaced
SIGNALS = {
    SignalSeries.HUP: (signal.SIGHUP,),
    SignalSeries.HUP_HUP: (signal.SIGHUP, signal.SIGHUP),
    SignalSeries.HUP_TERM: (signal.SIGHUP, signal.SIGTERM),
    SignalSeries.TERM: (signal.SIGTERM,),
    SignalSeries.TERM_TERM: (signal.SIGTERM, signal.SIGTERM),
    SignalSeries.TERM_DURING_START: (signal.SIGTERM,),
}


@dataclass
class SoakRecord:
    """Everything that was recorded in a soak.

    Attributes:
        script: The script.
        load: What the clients have seen.
        endpoints: What the endpoints have received.
        processes: All gateway processes.
    """

    script: Script
    load: LoadReport
    endpoints: EndpointReport
    processes: list[ProcessRecord]


async def run_soak(script: Script, folder: Path) -> SoakRecord:
    """Run a soak; the configurations and logs of the gateways are written to a folder."""
    async with contextlib.AsyncExitStack() as stack:
        soak = await _start(script, folder, stack)
        await soak.play()
        return await soak.finish()


async def _start(script: Script, folder: Path, stack: contextlib.AsyncExitStack) -> Soak:
    async def start_child(module: str, *arguments: object) -> ChildProcess:
        child = ChildProcess(module, *map(str, arguments))
        return await stack.enter_async_context(child)

    endpoints = await start_child("testbed.faulty_endpoints", script.endpoints, script.seed)
    discovery = await start_child("testbed.faulty_discovery")
    counter = await start_child("testbed.faulty_counter")
    rate = REQUESTS_PER_GATEWAY * script.gateways
    load = await start_child(
        "scaletest.soak.load", script.seed, script.gateways, rate, script.longest_deadline
    )
    endpoint_ports = json.loads(await endpoints.read_line())
    ports = Ports(json.loads(await discovery.read_line()), json.loads(await counter.read_line()))
    gateways = [
        GatewayRunner(index, free_port(), folder, script.longest_deadline) for index in range(script.gateways)
    ]
    for gateway in gateways:
        stack.callback(gateway.end)
    fleet = Fleet(script.gateways, script.longest_deadline, ports)
    return Soak(script, stack, endpoints, discovery, counter, load, endpoint_ports, fleet, gateways)


@dataclass
class Soak:
    """A running soak.

    Attributes:
        script: The script.
        stack: Ends all processes when it is closed.
        endpoints: The process of the endpoints.
        discovery: The process of the discovery agent.
        counter: The process of the counter.
        load: The process of the clients.
        endpoint_ports: The ports of the endpoints; the last one never accepts.
        fleet: What the gateways have in common.
        gateways: The gateways.
    """

    script: Script
    stack: contextlib.AsyncExitStack
    endpoints: ChildProcess
    discovery: ChildProcess
    counter: ChildProcess
    load: ChildProcess
    endpoint_ports: list[int]
    fleet: Fleet
    gateways: list[GatewayRunner]
    _addresses: dict[int, int] = field(default_factory=dict)  # index of each gateway's addresses
    _generations: dict[int, int] = field(default_factory=dict)  # of each endpoint's replacements
    _busy_gateways: set[int] = field(default_factory=set)  # whose last series of signals is not over

    async def play(self) -> None:
        """Start the gateways, play all events, and wait until the last one is over."""
        self._publish([self._host(index) for index in self._listed_endpoints()])
        await asyncio.gather(*(self._start_gateway(gateway) for gateway in self.gateways))
        if self.script.has_crowd:
            await self._start_crowd()
        sampler = asyncio.create_task(self._sample_resources())
        started_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for event in self.script.events:
                await asyncio.sleep(started_at + event.at - time.monotonic())
                group.create_task(self._play_event(event))
        await asyncio.sleep(started_at + self.script.seconds - time.monotonic())
        sampler.cancel()

    async def finish(self) -> SoakRecord:
        """Collect the reports, and end the gateways by SIGTERM."""
        self.load.write_line(REPORT_COMMAND)
        load = LOAD_REPORT.validate_json(await self.load.read_line())
        for gateway in self.gateways:
            if gateway.is_running:
                gateway.send_signal(signal.SIGTERM)
        await asyncio.gather(*(gateway.wait_or_kill() for gateway in self.gateways))
        self.endpoints.write_line(faulty_endpoints.REPORT_COMMAND)
        received = faulty_endpoints.REPORT.validate_json(await self.endpoints.read_line())
        processes = [record for gateway in self.gateways for record in gateway.records]
        return SoakRecord(self.script, load, received, processes)

    def _listed_endpoints(self) -> list[int]:
        count = self.script.endpoints + self.script.lists_unaccepting_endpoint
        return list(range(count))

    def _host(self, endpoint: int, health: str = "Ready", born_ms: int = 0) -> dict[str, Any]:
        generation = self._generations.get(endpoint, 0)
        name = f"s-{0x1000 * generation + endpoint + 1:08x}"
        return host_entry(name, self.endpoint_ports[endpoint], health, born_ms)

    def _publish(self, hosts: list[dict[str, Any]]) -> None:
        self._command_discovery(Publish(hosts))

    def _command_discovery(self, action: Publish | SetDiscoveryFault) -> None:
        command = faulty_discovery.Command(action)
        self.discovery.write_line(faulty_discovery.COMMAND.dump_json(command).decode())

    def _set_gateway(self, gateway: GatewayRunner, state: GatewayState) -> None:
        command = SetGateway(gateway.index, state, gateway.port)
        self.load.write_line(COMMAND.dump_json(command).decode())

    async def _start_gateway(self, gateway: GatewayRunner) -> None:
        self._write_configuration(gateway)
        gateway.start()
        if await gateway.wait_until_ready():
            self._set_gateway(gateway, GatewayState.OPEN)

    def _write_configuration(self, gateway: GatewayRunner) -> None:
        address = self._addresses.get(gateway.index, 0)
        write_configuration(gateway.config_path, gateway.index, self.fleet, address)

    async def _start_crowd(self) -> None:
        for gateway in self.gateways:
            await IdleClientProcess.start(self.stack, gateway.port, CROWD_SIZE, CROWD_RECONNECT_SECONDS)

    async def _sample_resources(self) -> None:
        while True:
            for gateway in self.gateways:
                gateway.sample_resources()
            await asyncio.sleep(SAMPLE_SECONDS)

    async def _play_event(self, event: Event) -> None:
        match event:
            case EndpointFaultEvent():
                await self._play_endpoint_fault(event)
            case ReplaceEndpointEvent():
                await self._replace_endpoint(event)
            case CounterFaultEvent():
                self.counter.write_line(event.fault)
                await asyncio.sleep(event.seconds)
                self.counter.write_line(CounterFault.NONE)
            case DiscoveryFaultEvent():
                self._command_discovery(SetDiscoveryFault(event.fault))
                await asyncio.sleep(event.seconds)
                self._command_discovery(SetDiscoveryFault(DiscoveryFault.NONE))
            case SignalEvent():
                await self._play_signals(event)

    async def _play_endpoint_fault(self, event: EndpointFaultEvent) -> None:
        for fault, seconds in ((event.fault, event.seconds), (EndpointFault.NONE, 0.0)):
            command = SetEndpointFault(event.endpoint, fault)
            self.endpoints.write_line(faulty_endpoints.COMMAND.dump_json(command).decode())
            await asyncio.sleep(seconds)

    async def _replace_endpoint(self, event: ReplaceEndpointEvent) -> None:
        """Drain an endpoint, remove it, and list another one at its address after the event's time."""
        endpoint = event.endpoint
        self._publish([self._host(endpoint, "Terminating")])
        await asyncio.sleep(DRAIN_SECONDS)
        self._publish([self._host(endpoint, "Gone")])
        await asyncio.sleep(event.seconds)
        self._generations[endpoint] = self._generations.get(endpoint, 0) + 1
        self._publish([self._host(endpoint, born_ms=round(time.time() * 1000))])

    async def _play_signals(self, event: SignalEvent) -> None:
        gateway = self.gateways[event.gateway]
        if event.gateway in self._busy_gateways or not gateway.is_running:
            return
        self._busy_gateways.add(event.gateway)
        try:
            await self._send_signals(gateway, event)
        finally:
            self._busy_gateways.discard(event.gateway)

    async def _send_signals(self, gateway: GatewayRunner, event: SignalEvent) -> None:
        if event.series is SignalSeries.KILL:
            await gateway.kill()
        else:
            for number in SIGNALS[event.series]:
                if number is signal.SIGHUP:
                    self._move_addresses(gateway)
                gateway.send_signal(number)
                await asyncio.sleep(event.gap)
        if gateway.current.terminated_at:
            await self._await_end(gateway)
        if event.series is SignalSeries.TERM_DURING_START:
            await self._terminate_during_start(gateway, event.gap)
        if not gateway.is_running:
            self._set_gateway(gateway, GatewayState.CLOSED)
            await self._start_gateway(gateway)

    def _move_addresses(self, gateway: GatewayRunner) -> None:
        """Write a new configuration, in which discovery and the counter are at their other address."""
        self._addresses[gateway.index] = 1 - self._addresses.get(gateway.index, 0)
        self._write_configuration(gateway)

    async def _await_end(self, gateway: GatewayRunner) -> None:
        """Wait for the end after SIGTERM; clients go on using open connections until then."""
        ending = asyncio.create_task(gateway.wait_or_kill())
        seconds_left = gateway.current.terminated_at + NEW_CONNECTIONS_SECONDS - time.monotonic()
        await asyncio.wait([ending], timeout=max(0.0, seconds_left))
        self._set_gateway(gateway, GatewayState.DRAINING)
        await ending
        self._set_gateway(gateway, GatewayState.CLOSED)

    async def _terminate_during_start(self, gateway: GatewayRunner, delay: float) -> None:
        gateway.start()
        await asyncio.sleep(delay)
        gateway.send_signal(signal.SIGTERM)
        await gateway.wait_or_kill()
