"""Decodes endpoint lists and deltas from JSON into the policy's types, and derives endpoint ids."""

from __future__ import annotations

import json
import logging
import math
import reprlib
from hashlib import blake2b
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

from gateway.address import Address, parse_address
from gateway.config.settings_text import format_setting
from gateway.discovery import endpoint_keys as keys
from gateway.discovery.errors import MalformedEndpointError, MalformedUpdateError
from gateway.policy.events import EndpointRecord, EndpointState, EndpointUpdate, UpdateKind

if TYPE_CHECKING:
    from collections.abc import Callable

HEX_ID_PREFIX = "s"  # of a host name that contains the endpoint id
HEX_ID_LENGTH = 8  # in digits
HEX_DIGITS = frozenset("0123456789abcdef")
ENDPOINT_ID_BYTES = 4
MILLISECONDS_PER_SECOND = 1000
MIN_ENDPOINT_BYTES = 64  # of a document, for each endpoint; one with all its keys has more
MAX_SHORT_ENDPOINTS = 1000  # of a document, whose endpoints may have fewer bytes
MAX_LOGGED_ENDPOINTS = 8  # malformed ones of one update; the others are counted

log = logging.getLogger(__name__)
Value = TypeVar("Value")


class DecodedEndpoint(NamedTuple):
    """One endpoint as a record for the policy, and the address at which the gateway connects to it."""

    record: EndpointRecord
    address: Address


class DecodedUpdate(NamedTuple):
    """An endpoint list or delta for the policy, and the address of each endpoint by its id."""

    update: EndpointUpdate
    addresses: dict[int, Address]


def derive_endpoint_id(name: str) -> int:
    """Derive an endpoint id from the host name alone, so that every gateway derives the same id.

    A name such as ``s-5be2a07c`` contains the id in eight lower-case hexadecimal digits; any other name is
    hashed.
    """
    prefix, _, digits = name.partition("-")
    if prefix == HEX_ID_PREFIX and len(digits) == HEX_ID_LENGTH and set(digits) <= HEX_DIGITS:
        return int(digits, 16)
    return int.from_bytes(blake2b(name.encode(), digest_size=ENDPOINT_ID_BYTES).digest(), "big")


class EndpointDecoder:
    """Decodes updates, and stores the host name of each endpoint id to detect collisions.

    When two host names have the same id, the second is skipped, as the policy could not tell them apart.

    Attributes:
        zones: The index of each zone by its name.
        machine_types: The index of each machine type by its name.
        host_names: The host name of each known endpoint by its id.
    """

    def __init__(self, zones: tuple[str, ...], machine_types: tuple[str, ...]) -> None:
        self.zones = {name: index for index, name in enumerate(zones)}
        self.machine_types = {name: index for index, name in enumerate(machine_types)}
        self.host_names: dict[int, str] = {}

    def decode_document(self, document: bytes) -> DecodedUpdate:
        """Decode one JSON document of an agent.

        Raises:
            MalformedUpdateError: The document is not JSON or not an update.
        """
        try:
            raw = json.loads(document)
            _check_endpoint_count(raw, len(document))
            return self.decode_update(raw)
        except MalformedUpdateError:
            raise
        except (ValueError, RecursionError) as error:
            raise MalformedUpdateError(f"invalid JSON: {error}: {reprlib.repr(document)}") from None

    def decode_update(self, raw: Any, *, cached: bool = False) -> DecodedUpdate:
        """Decode an endpoint list or a delta from parsed JSON; malformed endpoints are skipped.

        Args:
            raw: The parsed JSON.
            cached: Whether this is the list that the gateway saved in an earlier run.

        Raises:
            MalformedUpdateError: The value is not an update, or every endpoint of a non-empty list is
                malformed: such a list must not remove all endpoints.
        """
        if not isinstance(raw, dict) or not isinstance(raw.get(keys.RECORDS), list):
            raise MalformedUpdateError(
                f"expected an object with a list {keys.RECORDS!r}, got {reprlib.repr(raw)}"
            )
        kind = _update_kind(raw, cached=cached)
        version = _update_version(raw)
        endpoints = self._decode_endpoints(raw[keys.RECORDS], kind)
        update = EndpointUpdate(kind, version, tuple(endpoint.record for endpoint in endpoints))
        addresses = {endpoint.record.endpoint_id: endpoint.address for endpoint in endpoints}
        return DecodedUpdate(update, addresses)

    def _decode_endpoints(self, hosts: list[Any], kind: UpdateKind) -> list[DecodedEndpoint]:
        """Decode the valid endpoints; a snapshot or cached list also replaces the stored host names."""
        if kind is UpdateKind.DELTA:
            return self._decode_valid(hosts)
        previous_host_names = self.host_names
        self.host_names = {}
        endpoints = self._decode_valid(hosts)
        if hosts and not endpoints:
            self.host_names = previous_host_names
            raise MalformedUpdateError(f"no valid endpoint among {len(hosts)}")
        return endpoints

    def _decode_valid(self, hosts: list[Any]) -> list[DecodedEndpoint]:
        endpoints = []
        skipped_count = 0
        for raw in hosts:
            try:
                endpoint = self.decode_record(raw)
            except MalformedEndpointError as error:
                skipped_count += 1
                if skipped_count <= MAX_LOGGED_ENDPOINTS:
                    log.warning("discovery: endpoint skipped: %s", error)
                continue
            endpoints.append(endpoint)
            if endpoint.record.state is EndpointState.GONE:
                # Ids are never reused, so the names of gone endpoints would accumulate.
                del self.host_names[endpoint.record.endpoint_id]
        if skipped_count > MAX_LOGGED_ENDPOINTS:
            log.warning("discovery: endpoints skipped: %d in all", skipped_count)
        return endpoints

    def decode_record(self, raw: Any) -> DecodedEndpoint:
        """Decode one endpoint of an update.

        Raises:
            MalformedEndpointError: A field is missing or malformed, or another host name has the same id.
        """
        if not isinstance(raw, dict):
            raise MalformedEndpointError(f"expected an object, got {reprlib.repr(raw)}")
        state = _read_field(raw, keys.STATE, keys.STATE_BY_HEALTH.__getitem__)
        name = _read_field(raw, keys.ENDPOINT_NAME, _host_name)
        record = EndpointRecord(
            endpoint_id=derive_endpoint_id(name),
            zone=_read_field(raw, keys.ZONE, self._zone_index),
            started_at=_read_field(raw, keys.STARTED_AT_MILLISECONDS, _finite) / MILLISECONDS_PER_SECOND,
            state=state,
            machine_type=_read_field(raw, keys.MACHINE_TYPE, self._machine_type_index),
            cell=_read_field(raw, keys.CELL, int),
            weight=_read_field(raw, keys.WEIGHT, _finite),
        )
        address = _read_field(raw, keys.ADDRESS, parse_address)
        self._register_host_name(record.endpoint_id, name)  # last: a malformed endpoint is not kept
        return DecodedEndpoint(record, address)

    def _zone_index(self, name: Any) -> int:
        return self.zones[format_setting(name)]

    def _machine_type_index(self, name: Any) -> int:
        return self.machine_types[format_setting(name)]

    def _register_host_name(self, endpoint_id: int, name: str) -> None:
        registered_name = self.host_names.setdefault(endpoint_id, name)
        if registered_name != name:
            raise MalformedEndpointError(f"host {name!r} has the same endpoint id as {registered_name!r}")


def _finite(value: Any) -> float:
    """Convert to a finite number: JSON texts may contain Infinity and NaN."""
    number = float(value)
    if not math.isfinite(number):
        raise ValueError("not finite")
    return number


def _host_name(value: Any) -> str:
    """Convert to a text that can be encoded: JSON texts may contain single surrogates."""
    name = str(value)
    name.encode()
    return name


def _check_endpoint_count(raw: Any, size: int) -> None:
    """Reject a document of so many endpoints that most of them cannot have all their keys.

    Skipping hundreds of thousands of them one by one would hold up the event loop for seconds.
    """
    hosts = raw.get(keys.RECORDS) if isinstance(raw, dict) else None
    if not isinstance(hosts, list) or len(hosts) <= MAX_SHORT_ENDPOINTS:
        return
    if len(hosts) * MIN_ENDPOINT_BYTES > size:
        raise MalformedUpdateError(f"{len(hosts)} endpoints in {size} bytes")


def _update_kind(raw: dict[str, Any], *, cached: bool) -> UpdateKind:
    if cached:
        return UpdateKind.CACHED
    return UpdateKind.SNAPSHOT if raw.get(keys.IS_SNAPSHOT) else UpdateKind.DELTA


def _update_version(raw: dict[str, Any]) -> int:
    try:
        return int(raw[keys.VERSION])
    except (KeyError, TypeError, ValueError, OverflowError):
        value = reprlib.repr(raw.get(keys.VERSION))
        raise MalformedUpdateError(f"{keys.VERSION} is not a version number: {value}") from None


def _read_field(raw: dict[str, Any], key: str, convert: Callable[[Any], Value]) -> Value:
    """Return the converted value of one key of an endpoint; an error names the key and the value."""
    if key not in raw:
        raise MalformedEndpointError(f"host {_quoted_host_name(raw)} has no {key}")
    try:
        return convert(raw[key])
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        value = reprlib.repr(raw[key])
        raise MalformedEndpointError(
            f"host {_quoted_host_name(raw)} has an invalid {key}: {value}"
        ) from error


def _quoted_host_name(raw: dict[str, Any]) -> str:
    return reprlib.repr(raw.get(keys.ENDPOINT_NAME))
