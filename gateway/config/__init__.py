"""The process configuration: reads the JSON file named by NODE_CONFIG into typed values."""

from __future__ import annotations

from gateway.config.errors import ConfigError, InvalidValueError, MissingKeyError
from gateway.config.parser import load_config, parse_config
from gateway.config.resource_limits import RESERVED_SOCKETS, ResourceLimits
from gateway.config.values import Config

__all__ = [
    "RESERVED_SOCKETS",
    "Config",
    "ConfigError",
    "InvalidValueError",
    "MissingKeyError",
    "ResourceLimits",
    "load_config",
    "parse_config",
]
