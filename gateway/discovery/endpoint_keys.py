"""The names that the discovery agent uses on the wire.

Each constant has the name that the code uses for the same field, value or request.
"""

from __future__ import annotations

from gateway.policy.events import EndpointState

# Request targets.
SNAPSHOT_TARGET = "/api/targets"
WATCH_TARGET = "/api/targets?watch=1&from={version}"  # streams the updates after this version

# Keys of an update, with the field of EndpointUpdate that each one sets.
IS_SNAPSHOT = "whole"  # kind: SNAPSHOT if true, else DELTA
VERSION = "seq"  # version
RECORDS = "hosts"  # records

# Keys of one endpoint, with the field of EndpointRecord that each one sets.
ENDPOINT_NAME = "host"  # endpoint_id, derived from this name
ZONE = "site"  # zone: a name from the settings, converted to its index
STARTED_AT_MILLISECONDS = "born_ms"  # started_at, converted to seconds
STATE = "health"  # state
MACHINE_TYPE = "class"  # machine_type: a name from the settings, converted to its index
CELL = "block"  # cell
WEIGHT = "share"  # weight
ADDRESS = "dial"  # no field: the address that the gateway connects to

STATE_BY_HEALTH = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.GONE,
}
