"""Reads the process configuration from its file and from environment variables."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from gateway.address import Address, parse_address
from gateway.config import keys
from gateway.config.errors import ConfigError, InvalidValueError
from gateway.config.resource_limits import ResourceLimits
from gateway.config.section import ConfigSection, check_object, parse_root
from gateway.config.settings_text import flatten, format_setting
from gateway.config.values import Config
from gateway.settings_parser import parse_settings
from gateway.settings_reader import SettingsError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gateway.policy.settings import Settings

MIN_SOCKETS = 64  # with fewer, almost none remain after RESERVED_SOCKETS
MAX_SOCKETS = 1 << 20  # the most that a process may have on common systems
MIN_MEMORY_MEGABYTES = 16.0
MAX_MEMORY_MEGABYTES = float(1 << 30)


def load_config(env: Mapping[str, str], *, is_reload: bool = False) -> Config:
    """Read and parse the file named by NODE_CONFIG; see `parse_config` for the arguments.

    Raises:
        ConfigError: The file cannot be read, or the configuration is invalid.
    """
    path = env.get(keys.CONFIG_PATH_VARIABLE)
    if not path:
        raise ConfigError(f"{keys.CONFIG_PATH_VARIABLE} is not set")
    try:
        with open(path, encoding="utf-8") as source:  # noqa: PTH123  # the error text quotes the path as given
            text = source.read()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"cannot read the configuration file: {error}") from None
    return parse_config(text, env, is_reload=is_reload)


def parse_config(text: str, env: Mapping[str, str], *, is_reload: bool = False) -> Config:
    """Parse the text of a configuration file; environment variables override the file.

    NODE_DISCOVERY names the discovery agent at the start of the process, so on a reload it is used only if
    the file has no address.

    Args:
        text: The text of the file.
        env: The environment variables.
        is_reload: Whether a running process reloads its configuration.

    Raises:
        ConfigError: The configuration is invalid.
    """
    root = parse_root(text)
    settings_values = root.required(keys.SETTINGS, check_object)
    settings = _parse_nested_settings(settings_values)
    settings_section = ConfigSection(settings_values, f"{keys.SETTINGS}.")
    return Config(
        name=env.get(keys.NAME_VARIABLE) or root.required(keys.NAME, str),
        listen=_listen_address(root, env),
        discovery=_discovery_address(root, env, is_reload=is_reload),
        counter=_counter_address(root, settings),
        seed=root.required(keys.SEED, _hexadecimal),
        resource_limits=_resource_limits(root.subsection(keys.LIMITS)),
        max_request_units=_max_request_units(settings_section.subsection(keys.EXTRA)),
        cached_endpoints=_cached_endpoints(root),
        settings=settings,
        machine_types=_machine_types(settings_section),
        endpoint_idle_timeout=_endpoint_idle_timeout(settings_section),
    )


def _parse_nested_settings(values: dict[str, Any]) -> Settings:
    try:
        return parse_settings("\n".join(flatten(values)))
    except SettingsError as error:
        raise ConfigError(str(error)) from None


def _listen_address(root: ConfigSection, env: Mapping[str, str]) -> Address:
    override = env.get(keys.LISTEN_VARIABLE)
    if override:
        return root.convert(keys.LISTEN_VARIABLE, override, parse_address)
    return root.required(keys.LISTEN, parse_address)


def _discovery_address(root: ConfigSection, env: Mapping[str, str], *, is_reload: bool) -> Address:
    initial_address = env.get(keys.DISCOVERY_VARIABLE)
    if is_reload:
        address = root.optional(keys.DISCOVERY, initial_address)
        return root.convert(keys.DISCOVERY, address, parse_address)
    if initial_address:
        return root.convert(keys.DISCOVERY_VARIABLE, initial_address, parse_address)
    return root.required(keys.DISCOVERY, parse_address)


def _counter_address(root: ConfigSection, settings: Settings) -> Address | None:
    address = root.optional(keys.COUNTER)
    if address:
        return root.convert(keys.COUNTER, address, parse_address)
    if settings.has_counter:
        raise InvalidValueError(
            keys.COUNTER, f"the settings require the address of a counter, got {address!r}"
        )
    return None


def _resource_limits(limits: ConfigSection) -> ResourceLimits:
    sockets = limits.required(keys.MAX_SOCKETS, int)
    memory_mb = limits.required(keys.MEMORY_MEGABYTES, float)
    if not MIN_SOCKETS <= sockets <= MAX_SOCKETS:
        path = f"{keys.LIMITS}.{keys.MAX_SOCKETS}"
        raise InvalidValueError(path, f"must be from {MIN_SOCKETS} to {MAX_SOCKETS}, got {sockets}")
    if not MIN_MEMORY_MEGABYTES <= memory_mb <= MAX_MEMORY_MEGABYTES:
        path = f"{keys.LIMITS}.{keys.MEMORY_MEGABYTES}"
        raise InvalidValueError(
            path, f"must be from {MIN_MEMORY_MEGABYTES:g} to {MAX_MEMORY_MEGABYTES:g}, got {memory_mb:g}"
        )
    return ResourceLimits.from_process_limits(sockets, memory_mb)


def _max_request_units(extra: ConfigSection) -> float:
    units = extra.optional(keys.MAX_REQUEST_UNITS, "inf")
    return extra.convert(keys.MAX_REQUEST_UNITS, units, float)


def _cached_endpoints(root: ConfigSection) -> dict[str, Any]:
    cached = root.optional(keys.CACHED_ENDPOINTS) or {}
    return root.convert(keys.CACHED_ENDPOINTS, cached, check_object)


def _machine_types(settings: ConfigSection) -> tuple[str, ...]:
    value = settings.optional(keys.MACHINE_TYPES, [])
    names = value if isinstance(value, list) else [value]
    return tuple(map(format_setting, names))


def _endpoint_idle_timeout(settings: ConfigSection) -> float:
    return settings.subsection(keys.ENDPOINT_LIMITS).required(keys.ENDPOINT_IDLE_TIMEOUT, float)


def _hexadecimal(value: object) -> int:
    return int(str(value), 16)
