"""One gateway process: wiring of its parts, start, configuration reload and graceful shutdown."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import time
from collections.abc import Mapping
from typing import Any

from gateway.config import Config, ConfigError, load_config
from gateway.counter.client import CounterClient
from gateway.discovery.client import DiscoveryClient
from gateway.discovery.endpoint_decoder import EndpointDecoder
from gateway.driver.policy_driver import PolicyDriver
from gateway.frontend.listener import Listener
from gateway.policy.engine import Policy
from gateway.policy.settings import Settings
from gateway.upstream.client import UpstreamClient

# Start.  Both waits are short: a counter or an agent that is down must not keep the process from serving.
COUNTER_START_TIMEOUT_SECONDS = 0.3  # wait for a first connection to the counter
ENDPOINT_LIST_TIMEOUT_SECONDS = 1.0  # wait for a first endpoint list; the cached one may be out of date

# Graceful shutdown.  SIGKILL follows SIGTERM after the longest deadline, 3 s at most, plus 0.7 s: the drain
# and the flush have to fit into that.
SHUTDOWN_ACCEPT_SECONDS = 0.6  # time after SIGTERM in which new connections are still accepted
MAX_REQUEST_DEADLINE_SECONDS = 3.0  # longest deadline that SIGKILL allows for
DRAIN_MARGIN_SECONDS = 0.4  # time beyond the longest deadline that open requests may take
FLUSH_SECONDS = 0.2  # time in which the last responses are sent and read
SHUTDOWN_POLL_SECONDS = 0.01  # interval of the checks whether a step of the shutdown is complete

log = logging.getLogger(__name__)


class GatewayProcess:
    """The parts of one gateway, wired together.

    It owns the configuration in force and the life cycle of its parts; each part owns its own state.
    """

    def __init__(self, config: Config) -> None:
        self.config = config
        self.driver = _build_driver(config, _build_upstream(config))
        decoder = EndpointDecoder(config.settings.zones, config.machine_types)
        if config.cached_endpoints:
            self._apply_cached_endpoints(decoder, config.cached_endpoints)
        self.discovery = DiscoveryClient(config.discovery, decoder, self.driver.apply_endpoint_update)
        self.endpoint_list_timeout = ENDPOINT_LIST_TIMEOUT_SECONDS
        self.listener = Listener(config, self.driver)
        self.drain_timeout = _longest_deadline(config.settings) + DRAIN_MARGIN_SECONDS

    async def start(self) -> None:
        """Wait shortly for the counter and the endpoint list, then listen.

        Raises:
            OSError: The address to listen on is not available.
        """
        if self.driver.counter is not None:
            await asyncio.wait([self.driver.counter.ready], timeout=COUNTER_START_TIMEOUT_SECONDS)
        await asyncio.wait([self.discovery.first_update], timeout=self.endpoint_list_timeout)
        await self.listener.start()

    def reload(self, env: Mapping[str, str]) -> None:
        """Read the configuration again and move discovery and the counter to its addresses.

        A configuration that cannot be served is logged and changes nothing.  Other settings take effect
        only with a restart.
        """
        try:
            config = self._load_again(env)
        except ConfigError as error:
            log.error("configuration unchanged: %s", " ".join(str(error).split()))
            return
        if (config.settings, config.listen) != (self.config.settings, self.config.listen):
            log.warning("changed settings and a changed address to listen on need a restart")
        self.discovery.change_address(config.discovery)
        if self.driver.counter is not None and config.counter is not None:
            self.driver.counter.change_address(config.counter)

    async def drain(self) -> None:
        """Shut down gracefully: accept for a moment, complete the open requests, flush, close."""
        started_at = time.monotonic()
        await asyncio.sleep(SHUTDOWN_ACCEPT_SECONDS)
        self.listener.stop_listening()
        drain_deadline = started_at + self.drain_timeout
        await self._complete_requests(drain_deadline)
        self.driver.open_requests.close_all()
        self.listener.reject_incomplete_requests()
        await self._flush_responses(drain_deadline + FLUSH_SECONDS)
        await self.close()

    async def close(self) -> None:
        """Close all connections at once."""
        self.listener.close()
        await asyncio.sleep(0)  # the loop's next turn closes the client connections
        self.discovery.close()
        if self.driver.counter is not None:
            self.driver.counter.close()
        self.driver.upstream.close()

    def _apply_cached_endpoints(self, decoder: EndpointDecoder, cached: dict[str, Any]) -> None:
        try:
            update, addresses = decoder.decode_update(cached, cached=True)
        except (KeyError, TypeError, ValueError) as error:
            raise ConfigError(f"known: {type(error).__name__}: {error}") from None
        self.driver.apply_endpoint_update(update, addresses)

    def _load_again(self, env: Mapping[str, str]) -> Config:
        config = load_config(env, again=True)
        if config.settings.has_counter != self.config.settings.has_counter:
            raise ConfigError("extra.has_counter: can be changed only by a restart")
        return config

    async def _complete_requests(self, deadline: float) -> None:
        """Serve what is open; a request that has come in part is served too once the rest of it comes."""
        while self.driver.open_requests.unanswered or self.listener.has_incoming_requests():
            if time.monotonic() >= deadline:
                return
            await asyncio.sleep(SHUTDOWN_POLL_SECONDS)

    async def _flush_responses(self, deadline: float) -> None:
        """Wait until the last responses are sent and read.

        A client that keeps its connection open after its last response is waited for only for
        ``FLUSH_SECONDS``.
        """
        grace_ends_at = time.monotonic() + FLUSH_SECONDS
        while self.listener.connections and (now := time.monotonic()) < deadline:
            if now > grace_ends_at and not self.listener.has_unsent_responses():
                return
            await asyncio.sleep(SHUTDOWN_POLL_SECONDS)


def _build_upstream(config: Config) -> UpstreamClient:
    return UpstreamClient(
        config.settings.limits.connect_timeout,
        config.endpoint_idle_timeout,
        config.settings.report_columns,
        config.resource_limits.max_upstream,
    )


def _build_driver(config: Config, upstream: UpstreamClient) -> PolicyDriver:
    settings = config.settings
    driver = PolicyDriver(Policy(settings, config.seed), upstream)
    if settings.has_counter and config.counter is not None:
        driver.use_counter(CounterClient(config.counter, settings.counter_timeout, driver.deliver))
    return driver


def _longest_deadline(settings: Settings) -> float:
    deadlines = (request_class.deadline for request_class in settings.classes)
    return min(
        MAX_REQUEST_DEADLINE_SECONDS,
        max(deadlines, default=MAX_REQUEST_DEADLINE_SECONDS),
    )


async def serve(env: Mapping[str, str]) -> None:
    """Run one gateway with the configuration that ``env`` names, until SIGTERM or SIGINT.

    Raises:
        ConfigError: The configuration cannot be served.
    """
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, terminated.set)
    process: GatewayProcess | None = None

    def reload() -> None:
        if process is not None:
            process.reload(env)

    # Before the configuration is read: a SIGHUP that comes while it is read is handled once the loop turns.
    loop.add_signal_handler(signal.SIGHUP, reload)
    config = load_config(env)
    process = GatewayProcess(config)
    try:
        await process.start()
    except OSError as error:
        raise ConfigError(f"listen: cannot listen on {config.listen}: {error}") from None
    gc.collect()
    gc.freeze()  # objects that live as long as the process need no further collection
    await terminated.wait()
    await process.drain()
