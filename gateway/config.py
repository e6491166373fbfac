"""The process configuration: the JSON file that NODE_CONFIG names, as typed values."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from gateway.address import Address, parse_address
from gateway.policy.settings import Settings
from gateway.settings_parser import SettingsError, parse_settings

# Descriptors that are neither client nor upstream connections: 14 of the event loop, the log and the
# listener, two discovery agents with all watch connections open and the counter's connections twice, as both
# may be changing their address (39 were measured then), and some that the loop's next turn closes.
RESERVED_SOCKETS = 44
SURPLUS_CLIENTS_FRACTION = 1 / 16  # of the descriptors, for connections that only get a rejection
MIN_SURPLUS_CLIENTS = 8
BODY_MEMORY_FRACTION = 1 / 8  # of the memory, for the bodies of requests
MIN_SOCKETS = 64  # fewer leave nothing beside the reserved ones
MIN_MEMORY_MB = 16.0
BYTES_PER_MB = 1 << 20

T = TypeVar("T")


class ConfigError(ValueError):
    """A configuration that cannot be served; the text is one plain line."""


class MissingKeyError(ConfigError):
    """A key that the configuration must have and has not."""

    def __init__(self, key: str) -> None:
        super().__init__(f"missing {key!r}")
        self.key = key


class InvalidValueError(ConfigError):
    """A value that its key does not allow; ``problem`` says why, and with which value."""

    def __init__(self, key: str, problem: object) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = str(problem)


@dataclass(slots=True, frozen=True)
class ResourceLimits:
    """What the process may hold at a time, derived from the configuration's limits.

    Attributes:
        max_clients: Client connections that are served.
        surplus_clients: Further client connections that only get a rejection.
        max_upstream: Connections to endpoints.
        max_buffered_bytes: Bytes of request bodies.
    """

    max_clients: int
    surplus_clients: int
    max_upstream: int
    max_buffered_bytes: int

    @classmethod
    def of(cls, sockets: int, memory_mb: float) -> ResourceLimits:
        """Divide ``sockets`` descriptors and ``memory_mb`` MB of memory."""
        surplus_clients = max(MIN_SURPLUS_CLIENTS, int(sockets * SURPLUS_CLIENTS_FRACTION))
        available = sockets - RESERVED_SOCKETS - surplus_clients
        max_clients = available // 2
        return cls(
            max_clients=max_clients,
            surplus_clients=surplus_clients,
            max_upstream=available - max_clients,
            max_buffered_bytes=int(memory_mb * BODY_MEMORY_FRACTION * BYTES_PER_MB),
        )


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of one gateway process.

    Attributes:
        name: The gateway's name.
        listen: Where clients connect.
        discovery: Where the discovery agent listens.
        counter: Where the shared counter listens; None without one.
        seed: Seed of the policy's random choices.
        resource_limits: What the process may hold at a time.
        max_request_units: Units that one request may ask for.
        cached_endpoints: The last endpoint list this gateway had, in discovery's form; empty without one.
        settings: The policy's settings.
        machine_types: Names of the endpoints' machine types; a type's index is its number.
        endpoint_idle_timeout: Seconds after which an endpoint closes an idle connection.
    """

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    resource_limits: ResourceLimits
    max_request_units: float
    cached_endpoints: dict[str, Any]
    settings: Settings
    machine_types: tuple[str, ...]
    endpoint_idle_timeout: float


def format_setting(value: object) -> str:
    """A JSON value as the settings text writes it."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def flatten(value: object, path: str = "") -> Iterator[str]:
    """Nested settings as the path=value lines that the settings parser reads."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        yield f"{path}.count={len(value)}"
        for index, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{index}")
    elif isinstance(value, list):
        yield f"{path}=" + ",".join(map(format_setting, value))
    elif value is not None:
        yield f"{path}={format_setting(value)}"


class _Section:
    """Typed look-ups in one object of the configuration; errors name the key with its path."""

    def __init__(self, values: Mapping[str, Any], path: str = "") -> None:
        self._values = values
        self._path = path

    def required(self, key: str, convert: Callable[[Any], T]) -> T:
        """The converted value of a key that must be there."""
        if key not in self._values:
            raise MissingKeyError(self._path + key)
        return self.convert(key, self._values[key], convert)

    def convert(self, key: str, value: object, convert: Callable[[Any], T]) -> T:
        """``value`` converted; errors name ``key`` as its place."""
        try:
            return convert(value)
        except (TypeError, ValueError) as error:
            raise InvalidValueError(self._path + key, error) from None

    def section(self, key: str) -> _Section:
        """The object under a key that must be there."""
        return _Section(self.required(key, _object), f"{self._path}{key}.")

    def optional(self, key: str, default: Any = None) -> Any:
        """The value of a key as it is, or ``default`` where there is none."""
        return self._values.get(key, default)


def _object(value: object) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise TypeError(f"not an object but of type {type(value).__name__}")
    return value


def parse_config(text: str, env: Mapping[str, str], again: bool = False) -> Config:
    """The configuration that ``text`` gives.

    Variables of the environment take precedence over the file.  NODE_DISCOVERY does so only when the file is
    first read: it says where discovery was at the start, so once the file is read ``again`` the file wins.

    Raises:
        ConfigError: The configuration cannot be served.
    """
    root = _Section(_parse_json_object(text))
    settings_values = root.required("settings", _object)
    settings = _parse_nested_settings(settings_values)
    settings_section = _Section(settings_values, "settings.")
    return Config(
        name=env.get("NODE_NAME") or root.required("name", str),
        listen=_listen_address(root, env),
        discovery=_discovery_address(root, env, again),
        counter=_counter_address(root, settings),
        seed=root.required("seed", _hexadecimal),
        resource_limits=_resource_limits(root.section("limits")),
        max_request_units=_max_request_units(settings_section.section("extra")),
        cached_endpoints=root.convert("known", root.optional("known") or {}, _object),
        settings=settings,
        machine_types=_machine_types(settings_section),
        endpoint_idle_timeout=settings_section.section("caps").required("conn_idle_s", float),
    )


def load_config(env: Mapping[str, str], again: bool = False) -> Config:
    """The configuration in the file that NODE_CONFIG names; ``again`` as for ``parse_config``.

    Raises:
        ConfigError: The file cannot be read, or the configuration cannot be served.
    """
    path = env.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as source:
            text = source.read()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"cannot read the configuration: {error}") from None
    return parse_config(text, env, again)


def _parse_json_object(text: str) -> dict[str, Any]:
    try:
        return _object(json.loads(text))
    except (TypeError, ValueError) as error:
        raise ConfigError(f"not a JSON object: {error}") from None


def _parse_nested_settings(values: dict[str, Any]) -> Settings:
    try:
        return parse_settings("\n".join(flatten(values)))
    except SettingsError as error:
        raise ConfigError(str(error)) from None


def _listen_address(root: _Section, env: Mapping[str, str]) -> Address:
    if override := env.get("NODE_LISTEN"):
        return root.convert("NODE_LISTEN", override, parse_address)
    return root.required("listen", parse_address)


def _discovery_address(root: _Section, env: Mapping[str, str], again: bool) -> Address:
    address_at_start = env.get("NODE_DISCOVERY")
    if again:
        address = root.optional("discovery", address_at_start)
        return root.convert("discovery", address, parse_address)
    if address_at_start:
        return root.convert("NODE_DISCOVERY", address_at_start, parse_address)
    return root.required("discovery", parse_address)


def _counter_address(root: _Section, settings: Settings) -> Address | None:
    address = root.optional("counter")
    if address:
        return root.convert("counter", address, parse_address)
    if settings.has_counter:
        raise InvalidValueError("counter", f"the settings need an address: {address!r}")
    return None


def _resource_limits(limits: _Section) -> ResourceLimits:
    sockets = limits.required("sockets", int)
    memory_mb = limits.required("memory_mb", float)
    if sockets < MIN_SOCKETS:
        raise InvalidValueError("limits.sockets", f"under {MIN_SOCKETS}: {sockets}")
    if not MIN_MEMORY_MB <= memory_mb < float("inf"):
        raise InvalidValueError("limits.memory_mb", f"under {MIN_MEMORY_MB:g}: {memory_mb:g}")
    return ResourceLimits.of(sockets, memory_mb)


def _max_request_units(extra: _Section) -> float:
    return extra.convert("most_units", extra.optional("most_units", "inf"), float)


def _machine_types(settings: _Section) -> tuple[str, ...]:
    names = settings.optional("host_types", [])
    return tuple(map(format_setting, names if isinstance(names, list) else [names]))


def _hexadecimal(value: object) -> int:
    return int(str(value), 16)
