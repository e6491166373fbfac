"""The process configuration: typed values, environment variables, errors, and resource limits."""

from __future__ import annotations

import pytest

from gateway.address import Address, AddressError, parse_address
from gateway.config import (
    RESERVED_SOCKETS,
    ConfigError,
    InvalidValueError,
    MissingKeyError,
    ResourceLimits,
    parse_config,
)
from gateway.settings_parser import parse_settings
from tests.support.gateway import config_text, config_without
from tests.support.policy import settings_text

HUGE = 10**400  # exceeds the largest floating-point number


def test_nested_settings_equal_those_of_the_settings_text() -> None:
    config = parse_config(config_text([], "127.0.0.1:6400", report__columns="latency_ms,util"), {})
    expected = parse_settings(settings_text(report__columns="latency_ms,util"))
    assert config.settings == expected
    assert config.machine_types == ("m2",)
    assert config.endpoint_idle_timeout == 30.0
    assert config.seed == 0x8C1F
    assert config.counter == Address("127.0.0.1", 6400)


def test_environment_variables_override_the_file() -> None:
    config = parse_config(config_text([]), {"NODE_NAME": "n7", "NODE_LISTEN": "127.0.0.7:9"})
    assert config.name == "n7"
    assert config.listen == Address("127.0.0.7", 9)


def test_file_overrides_discovery_variable_on_reload() -> None:
    """The variable contains the initial address, so a reload must not return to the old agent."""
    env = {"NODE_DISCOVERY": "127.0.0.1:7"}
    text = config_text([], discovery="127.0.0.1:8")
    assert parse_config(text, env).discovery == Address("127.0.0.1", 7)
    assert parse_config(text, env, is_reload=True).discovery == Address("127.0.0.1", 8)
    assert parse_config(config_without("discovery"), env, is_reload=True).discovery == Address("127.0.0.1", 7)


@pytest.mark.parametrize(
    "malformed",
    [
        pytest.param("{", id="not JSON"),
        pytest.param("[]", id="not an object"),
        pytest.param("{}", id="empty object"),
        pytest.param(config_without("listen"), id="no listen"),
        pytest.param(config_without("settings"), id="no settings"),
        pytest.param(config_without("limits"), id="no limits"),
        pytest.param(config_without("seed"), id="no seed"),
        pytest.param(config_text([], rules__warm_up_s="soon"), id="malformed setting"),
        pytest.param(config_text([], discovery="nowhere"), id="malformed address"),
        pytest.param(config_text([]).replace('"sockets": 1024', '"sockets": 10'), id="too few sockets"),
        pytest.param(config_text([]).replace('"sockets": 1024', '"sockets": Infinity'), id="infinite"),
        pytest.param(config_text([]).replace('"sockets": 1024', f'"sockets": {HUGE}'), id="huge sockets"),
        pytest.param(config_text([]).replace('"memory_mb": 192', f'"memory_mb": {HUGE}'), id="huge memory"),
        pytest.param(config_text([], caps__conn_idle_s=f"1{'0' * 5000}x"), id="malformed idle time"),
        pytest.param("[" * 100_000, id="nested too deeply"),
        pytest.param(config_text([], peers_total=str(2**70)), id="huge fleet"),
        pytest.param(config_text([], classes__0__name="\ud800"), id="name that cannot be encoded"),
    ],
)
def test_malformed_configuration_is_rejected(malformed: str) -> None:
    with pytest.raises(ConfigError):
        parse_config(malformed, {})


@pytest.mark.parametrize(
    ("valid", "invalid", "key", "value"),
    [
        pytest.param('"seed": "8c1f"', '"seed": "x"', "seed", "'x'", id="seed"),
        pytest.param(
            '"discovery": "127.0.0.1:1"', '"discovery": "nowhere"', "discovery", "'nowhere'", id="address"
        ),
        pytest.param('"sockets": 1024', '"sockets": 10', "limits.sockets", "10", id="sockets"),
        pytest.param('"memory_mb": 192', '"memory_mb": 8', "limits.memory_mb", "8", id="memory"),
        pytest.param(
            '"conn_idle_s": "30.0"',
            '"conn_idle_s": "soon"',
            "settings.caps.conn_idle_s",
            "'soon'",
            id="idle timeout",
        ),
        pytest.param('"known": {', '"known": [1], "other": {', "known", "list", id="cached endpoints"),
    ],
)
def test_errors_name_key_and_value_in_one_line(valid: str, invalid: str, key: str, value: str) -> None:
    config = config_text([])
    assert valid in config
    with pytest.raises(InvalidValueError) as raised:
        parse_config(config.replace(valid, invalid), {})
    assert raised.value.key == key
    assert value in raised.value.problem
    assert str(raised.value).startswith(f"{key}: ")
    assert "\n" not in str(raised.value)


def test_errors_name_the_missing_key() -> None:
    with pytest.raises(MissingKeyError, match="missing key 'listen'") as raised:
        parse_config(config_without("listen"), {})
    assert raised.value.key == "listen"


def test_settings_with_a_counter_require_its_address() -> None:
    config = config_text([], "127.0.0.1:6400").replace('"counter": "127.0.0.1:6400"', '"counter": ""')
    with pytest.raises(InvalidValueError, match="counter: "):
        parse_config(config, {})


@pytest.mark.parametrize(
    "value",
    [
        pytest.param("", id="empty"),
        pytest.param("host", id="no port"),
        pytest.param(":80", id="no host"),
        pytest.param("host:", id="empty port"),
        pytest.param("host:x", id="port is not a number"),
        pytest.param("host:-1", id="negative port"),
        pytest.param("host:65536", id="port out of range"),
        pytest.param(None, id="none"),
    ],
)
def test_malformed_address_is_rejected(value: str | None) -> None:
    with pytest.raises(AddressError) as raised:
        parse_address(value)
    assert raised.value.value == value


@pytest.mark.parametrize(("sockets", "memory_mb"), [(256, 32), (1024, 192)])
def test_resource_limits_suit_small_machines(sockets: int, memory_mb: int) -> None:
    """A third of the descriptors may be client connections with a request in progress.

    Each of these requests may need an upstream connection of its own.
    """
    limits = ResourceLimits.from_process_limits(sockets, memory_mb)
    assert min(limits.max_client_connections, limits.max_upstream_connections) > sockets / 3
    assert (
        limits.max_client_connections
        + limits.surplus_client_connections
        + limits.max_upstream_connections
        + RESERVED_SOCKETS
        <= sockets
    )
    assert limits.max_buffered_bytes <= memory_mb * (1 << 20) / 8
