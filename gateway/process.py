"""One gateway process: creates its components, starts them, and reloads the configuration."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from gateway.config import Config, ConfigError, load_config
from gateway.counter.client import CounterClient
from gateway.discovery.client import DiscoveryClient
from gateway.discovery.endpoint_decoder import EndpointDecoder
from gateway.driver.policy_driver import PolicyDriver
from gateway.frontend.listener import Listener
from gateway.policy.engine import Policy
from gateway.shutdown import GracefulShutdown, drain_timeout
from gateway.upstream.client import UpstreamClient

if TYPE_CHECKING:
    from collections.abc import Mapping

# Both timeouts are short, as the process must also serve while the counter or discovery is unavailable.
COUNTER_START_TIMEOUT_SECONDS = 0.3  # for the first connection to the counter
ENDPOINT_LIST_TIMEOUT_SECONDS = 1.0  # for the first endpoint list, as the cached one may be outdated

log = logging.getLogger(__name__)


class GatewayProcess:
    """The components of one gateway.

    It owns the configuration and the life cycle of the components; each component owns its own state.

    Attributes:
        config: The configuration read at the start.
        driver: Connects the policy to the other components.
        discovery: Watches the endpoint list.
        listener: Accepts client connections.
        endpoint_list_timeout: Seconds for which `start` waits for the first endpoint list.
        drain_timeout: Seconds after the start of a shutdown within which open requests must complete.
    """

    def __init__(self, config: Config) -> None:
        self.config = config
        self.driver = _build_driver(config)
        decoder = EndpointDecoder(config.settings.zones, config.machine_types)
        if config.cached_endpoints:
            self._apply_cached_endpoints(decoder, config.cached_endpoints)
        self.discovery = DiscoveryClient(config.discovery, decoder, self.driver.apply_endpoint_update)
        self.listener = Listener(config, self.driver)
        self.endpoint_list_timeout = ENDPOINT_LIST_TIMEOUT_SECONDS
        self.drain_timeout = drain_timeout(config.settings)

    async def start(self) -> None:
        """Wait briefly for the counter and the endpoint list, then accept client connections.

        Raises:
            OSError: The gateway cannot listen on the configured address.
        """
        if self.driver.counter is not None:
            await asyncio.wait([self.driver.counter.ready], timeout=COUNTER_START_TIMEOUT_SECONDS)
        await asyncio.wait([self.discovery.first_update], timeout=self.endpoint_list_timeout)
        await self.listener.start()

    def reload(self, env: Mapping[str, str]) -> None:
        """Reload the configuration, and apply the addresses of the discovery agent and the counter.

        An invalid configuration is logged and changes nothing.  Changes to anything else take effect only
        after a restart.
        """
        try:
            config = self._load_changed_config(env)
        except ConfigError as error:
            _log_reload_error(error)
            return
        if (config.settings, config.listen) != (self.config.settings, self.config.listen):
            log.warning("changes to the settings and the listen address take effect only after a restart")
        self.discovery.change_address(config.discovery)
        if self.driver.counter is not None and config.counter is not None:
            self.driver.counter.change_address(config.counter)

    async def drain(self) -> None:
        """Shut down gracefully, then close all connections."""
        await GracefulShutdown(self.driver, self.listener, self.drain_timeout).run()
        await self.close()

    async def close(self) -> None:
        """Stop listening and close all connections immediately."""
        self.listener.close()
        await asyncio.sleep(0)  # client connections are closed in the next iteration of the event loop
        self.discovery.close()
        if self.driver.counter is not None:
            self.driver.counter.close()
        self.driver.upstream.close()

    def _apply_cached_endpoints(self, decoder: EndpointDecoder, cached: dict[str, Any]) -> None:
        try:
            update, addresses = decoder.decode_update(cached, cached=True)
        except (KeyError, TypeError, ValueError) as error:
            raise ConfigError(
                f"known: invalid cached endpoint list: {type(error).__name__}: {error}"
            ) from None
        self.driver.apply_endpoint_update(update, addresses)

    def _load_changed_config(self, env: Mapping[str, str]) -> Config:
        config = load_config(env, is_reload=True)
        if config.settings.has_counter != self.config.settings.has_counter:
            raise ConfigError("extra.has_counter: a change requires a restart")
        return config


def _build_upstream(config: Config) -> UpstreamClient:
    return UpstreamClient(
        config.settings.limits.connect_timeout,
        config.endpoint_idle_timeout,
        config.settings.report_columns,
        config.resource_limits.max_upstream_connections,
    )


def _build_driver(config: Config) -> PolicyDriver:
    settings = config.settings
    upstream = _build_upstream(config)
    driver = PolicyDriver(Policy(settings, config.seed), upstream)
    if settings.has_counter and config.counter is not None:
        driver.use_counter(CounterClient(config.counter, settings.counter_timeout, driver.deliver))
    return driver


def _log_reload_error(error: ConfigError) -> None:
    """Log in one line why the new configuration was rejected."""
    log.error("configuration unchanged: %s", " ".join(str(error).split()))
