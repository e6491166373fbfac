"""Decodes the JSON of endpoint lists and changes into the policy's types, and derives endpoint ids."""

from __future__ import annotations

import json
import logging
import reprlib
from collections.abc import Callable
from hashlib import blake2b
from typing import Any, NamedTuple, TypeVar

from gateway.address import Address, parse_address
from gateway.config import format_setting
from gateway.discovery.errors import MalformedEndpointError, MalformedUpdateError
from gateway.policy.events import EndpointRecord, EndpointState, EndpointUpdate, UpdateKind

STATE_OF_HEALTH = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.GONE,
}
HEX_ID_PREFIX = "s"
HEX_ID_LENGTH = 8
HEX_DIGITS = frozenset("0123456789abcdef")
ENDPOINT_ID_BYTES = 4

log = logging.getLogger(__name__)
Value = TypeVar("Value")


class DecodedEndpoint(NamedTuple):
    """One endpoint as the policy sees it, and the address at which the gateway connects to it."""

    record: EndpointRecord
    address: Address


class DecodedUpdate(NamedTuple):
    """An endpoint list or a change to it for the policy, and the addresses by endpoint id."""

    update: EndpointUpdate
    addresses: dict[int, Address]


def derive_endpoint_id(name: str) -> int:
    """Derive an endpoint's id from its host name alone, so that every gateway derives the same one.

    A name of the form ``s-5be2a07c``, with eight lower-case hexadecimal digits, carries its id; any other
    name is hashed.
    """
    prefix, _, digits = name.partition("-")
    if prefix == HEX_ID_PREFIX and len(digits) == HEX_ID_LENGTH and set(digits) <= HEX_DIGITS:
        return int(digits, 16)
    return int.from_bytes(blake2b(name.encode(), digest_size=ENDPOINT_ID_BYTES).digest(), "big")


class EndpointDecoder:
    """Decodes updates, and keeps the host name of each known endpoint id to detect collisions.

    Two host names with one id would be taken for one endpoint, so the second of them is left out.
    """

    def __init__(self, zones: tuple[str, ...], machine_types: tuple[str, ...]) -> None:
        self.zones = {name: index for index, name in enumerate(zones)}
        self.machine_types = {name: index for index, name in enumerate(machine_types)}
        self.host_names: dict[int, str] = {}

    def decode_document(self, document: bytes) -> DecodedUpdate:
        """Decode one JSON document as an agent sends it.

        Raises:
            MalformedUpdateError: The document is not JSON or not an update.
        """
        try:
            return self.decode_update(json.loads(document))
        except MalformedUpdateError:
            raise
        except (ValueError, RecursionError) as error:
            raise MalformedUpdateError(f"unreadable JSON: {error}: {reprlib.repr(document)}") from None

    def decode_update(self, raw: Any, cached: bool = False) -> DecodedUpdate:
        """Decode parsed JSON as an endpoint list or a change; endpoints that cannot be read are left out.

        Raises:
            MalformedUpdateError: The value is not an update, or no endpoint of a non-empty list can be read:
                such a list must not remove all endpoints.
        """
        if not isinstance(raw, dict) or not isinstance(raw.get("hosts"), list):
            raise MalformedUpdateError(f"not an object with a list of hosts: {reprlib.repr(raw)}")
        kind = _update_kind(raw, cached)
        version = _update_version(raw)
        previous_host_names = self.host_names
        if kind is not UpdateKind.DELTA:
            self.host_names = {}
        endpoints = self._decode_endpoints(raw["hosts"])
        if raw["hosts"] and not endpoints and kind is not UpdateKind.DELTA:
            self.host_names = previous_host_names
            raise MalformedUpdateError(f"no endpoint of {len(raw['hosts'])} can be read")
        update = EndpointUpdate(kind, version, tuple(endpoint.record for endpoint in endpoints))
        addresses = {endpoint.record.endpoint_id: endpoint.address for endpoint in endpoints}
        return DecodedUpdate(update, addresses)

    def _decode_endpoints(self, hosts: list[Any]) -> list[DecodedEndpoint]:
        endpoints = []
        for raw in hosts:
            try:
                endpoint = self.decode_record(raw)
            except MalformedEndpointError as error:
                log.warning("discovery: endpoint skipped: %s", error)
                continue
            endpoints.append(endpoint)
            if endpoint.record.state is EndpointState.GONE:
                # Ids are not used again: names of endpoints that have gone would pile up.
                del self.host_names[endpoint.record.endpoint_id]
        return endpoints

    def decode_record(self, raw: Any) -> DecodedEndpoint:
        """Decode one endpoint of an update.

        Raises:
            MalformedEndpointError: A field is missing or malformed, or the id belongs to another host name.
        """
        if not isinstance(raw, dict):
            raise MalformedEndpointError(f"not an object: {reprlib.repr(raw)}")
        state = _read_field(raw, "health", STATE_OF_HEALTH.__getitem__)
        endpoint_id = self._claim_endpoint_id(_read_field(raw, "host", str))
        record = EndpointRecord(
            endpoint_id=endpoint_id,
            zone=_read_field(raw, "site", lambda name: self.zones[format_setting(name)]),
            started_at=_read_field(raw, "born_ms", float) / 1000,
            state=state,
            machine_type=_read_field(raw, "class", lambda name: self.machine_types[format_setting(name)]),
            cell=_read_field(raw, "block", int),
            weight=_read_field(raw, "share", float),
        )
        return DecodedEndpoint(record, _read_field(raw, "dial", parse_address))

    def _claim_endpoint_id(self, name: str) -> int:
        endpoint_id = derive_endpoint_id(name)
        owner = self.host_names.setdefault(endpoint_id, name)
        if owner != name:
            raise MalformedEndpointError(f"host {name!r} has the endpoint id of {owner!r}")
        return endpoint_id


def _update_kind(raw: dict[str, Any], cached: bool) -> UpdateKind:
    if cached:
        return UpdateKind.CACHED
    return UpdateKind.SNAPSHOT if raw.get("whole") else UpdateKind.DELTA


def _update_version(raw: dict[str, Any]) -> int:
    try:
        return int(raw["seq"])
    except (KeyError, TypeError, ValueError):
        raise MalformedUpdateError(f"no version number in seq: {reprlib.repr(raw.get('seq'))}") from None


def _read_field(raw: dict[str, Any], field: str, convert: Callable[[Any], Value]) -> Value:
    """Convert one field of an endpoint's JSON object; an error names the field and its value."""
    if field not in raw:
        raise MalformedEndpointError(f"host {reprlib.repr(raw.get('host'))} has no {field}")
    try:
        return convert(raw[field])
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedEndpointError(
            f"host {reprlib.repr(raw.get('host'))} has an unusable {field}: {reprlib.repr(raw[field])}"
        ) from error
