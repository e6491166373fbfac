"""The names that endpoint discovery has on the wire, mapped here to the names of the code.

Each constant is named as the field, the value or the request that it becomes.
"""

from __future__ import annotations

from gateway.policy.events import EndpointState

# Requests to an agent.
SNAPSHOT_TARGET = "/api/targets"
WATCH_TARGET = "/api/targets?watch=1&from={version}"  # the updates after that version

# Keys of an update, whose fields are those of EndpointUpdate.
IS_SNAPSHOT = "whole"  # kind: SNAPSHOT if true, else DELTA
VERSION = "seq"  # version
RECORDS = "hosts"  # records

# Keys of one endpoint, whose fields are those of EndpointRecord.
ENDPOINT_NAME = "host"  # endpoint_id, which is derived from this name
ZONE = "site"  # zone, by its name in the settings
STARTED_AT_MILLISECONDS = "born_ms"  # started_at, in seconds there
STATE = "health"  # state
MACHINE_TYPE = "class"  # machine_type, by its name in the settings
CELL = "block"  # cell
WEIGHT = "share"  # weight
ADDRESS = "dial"  # the address that the gateway connects to

STATE_BY_HEALTH = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.GONE,
}
