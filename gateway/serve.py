"""The life of a gateway process, from its start to its shutdown, as signals direct it."""

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
