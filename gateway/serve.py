"""Runs a gateway process and handles its signals: SIGHUP reloads, SIGTERM and SIGINT shut down."""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import TYPE_CHECKING

from gateway.config import ConfigError, load_config
from gateway.process import GatewayProcess

if TYPE_CHECKING:
    from collections.abc import Mapping


async def serve(env: Mapping[str, str]) -> None:
    """Run one gateway until SIGTERM or SIGINT, then shut it down gracefully.

    Args:
        env: The environment variables, which name the configuration file.

    Raises:
        ConfigError: The configuration is invalid, or the gateway cannot listen on its address.
    """
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, terminated.set)
    process: GatewayProcess | None = None

    def reload() -> None:
        if process is not None:
            process.reload(env)

    # Added before the configuration is read, so that a SIGHUP received meanwhile is handled afterwards.
    loop.add_signal_handler(signal.SIGHUP, reload)
    config = load_config(env)
    process = GatewayProcess(config)
    try:
        await process.start()
    except OSError as error:
        raise ConfigError(f"listen: cannot listen on {config.listen}: {error}") from None
    gc.collect()
    gc.freeze()  # exempts the objects created so far, which live as long as the process, from collection
    await terminated.wait()
    await process.drain()
