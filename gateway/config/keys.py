"""The names of environment variables and of the keys in the configuration file.

Each constant has the name of the field of `Config` that it sets, unless noted.
"""

from __future__ import annotations

# Environment variables.
CONFIG_PATH_VARIABLE = "NODE_CONFIG"  # path of the configuration file
NAME_VARIABLE = "NODE_NAME"  # name; overrides the file
LISTEN_VARIABLE = "NODE_LISTEN"  # listen; overrides the file
DISCOVERY_VARIABLE = "NODE_DISCOVERY"  # discovery; overrides the file at the start, but not on a reload

# Top-level keys of the file.
NAME = "name"
LISTEN = "listen"
DISCOVERY = "discovery"
COUNTER = "counter"
SEED = "seed"  # in hexadecimal
CACHED_ENDPOINTS = "known"
LIMITS = "limits"  # section from which resource_limits is computed
SETTINGS = "settings"  # section with the policy's settings (see gateway.settings_keys) and a few others

# Keys of the section LIMITS, which set no field of their own.
MAX_SOCKETS = "sockets"
MEMORY_MEGABYTES = "memory_mb"

# Keys of the section SETTINGS that the process reads itself.
MACHINE_TYPES = "host_types"
ENDPOINT_LIMITS = "caps"  # section
ENDPOINT_IDLE_TIMEOUT = "conn_idle_s"  # in the section ENDPOINT_LIMITS
EXTRA = "extra"  # section
MAX_REQUEST_UNITS = "most_units"  # in the section EXTRA
