"""The names of the process configuration, mapped here to the names of the code.

Each constant is named as the field of `Config` or `ResourceLimits` that it becomes.
"""

from __future__ import annotations

# Variables of the environment.
CONFIG_PATH_VARIABLE = "NODE_CONFIG"  # the path of the configuration file
NAME_VARIABLE = "NODE_NAME"  # name; takes precedence over the file
LISTEN_VARIABLE = "NODE_LISTEN"  # listen; takes precedence over the file
DISCOVERY_VARIABLE = "NODE_DISCOVERY"  # discovery; takes precedence when the file is first read

# Keys of the file.
NAME = "name"
LISTEN = "listen"
DISCOVERY = "discovery"
COUNTER = "counter"
SEED = "seed"  # in hexadecimal
CACHED_ENDPOINTS = "known"
LIMITS = "limits"  # resource_limits, by the keys below
SETTINGS = "settings"  # settings, whose keys are in gateway.settings_keys, and the sections below

# Keys of the section of limits.
MAX_SOCKETS = "sockets"
MEMORY_MEGABYTES = "memory_mb"

# Keys of the section of settings that are for the process alone.
MACHINE_TYPES = "host_types"
ENDPOINT_LIMITS = "caps"
ENDPOINT_IDLE_TIMEOUT = "conn_idle_s"  # of the section above
EXTRA = "extra"
MAX_REQUEST_UNITS = "most_units"  # of the section above
