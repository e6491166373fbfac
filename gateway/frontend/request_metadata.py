"""Reads a request's target and headers, and rejects what the protocol or the settings rule out."""

from __future__ import annotations

import functools
import re
from dataclasses import dataclass
from urllib.parse import parse_qsl

from gateway.frontend import wire_names
from gateway.frontend.errors import BadRequestError, UnknownRequestClassError
from gateway.policy.settings import Effect, RequestClass, Settings

CUSTOMER_ID_LIMIT = 1 << 33  # ids are below it
MAX_CALL_TERMS_BYTES = 96  # longer ones would also fill the cache
CALL_TERMS_CACHE_SIZE = 256  # entries
MAX_QUERY_FIELDS = 32
MILLISECONDS_PER_SECOND = 1e3
MICROSECONDS_PER_SECOND = 1e6
UNIQUE_HEADERS = frozenset(
    {
        wire_names.CALL_TERMS,
        wire_names.CLIENT_RETRY,
        wire_names.CONTENT_LENGTH,
        wire_names.HOST,
        wire_names.IDEMPOTENCY_KEY,
        wire_names.PLAN,
        wire_names.REQUEST_CLASS,
        wire_names.REQUEST_ID,
        wire_names.TIMEOUT,
    }
)
TARGET_PATTERN = re.compile(rb"(/[!-\"$->@-~]*)(?:\?([!-\"$-~]*))?")  # no spaces, controls or fragment
TIMEOUT_PATTERN = re.compile(rb"(\d{1,12})(?:\.(\d{1,6}))?([mu])")  # in milliseconds or microseconds
CUSTOMER_QUERY_PATTERN = re.compile(rb"customer=([0-9a-fA-F]{16})")
CUSTOMER_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
REQUEST_ID_PATTERN = re.compile(rb"[0-9a-zA-Z_.-]{1,64}")
IDEMPOTENCY_KEY_PATTERN = re.compile(rb"[!-~]{1,128}")
UNITS_PATTERN = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)
GATEWAY_NUMBER_PATTERN = re.compile(r"\d{1,9}", re.ASCII)


@dataclass(slots=True, frozen=True)
class RequestMetadata:
    """The metadata that a request's target and headers carry.

    Attributes:
        request_id: The client's id for the request.
        class_index: Index of the request class in the settings.
        plan_index: Index of the customer's plan in the settings.
        customer: The customer's id.
        timeout: Seconds from the start of the request that the client waits.
        units: Units that the request consumes from a rate quota.
        gateway_set_size: How many gateways the customer's requests come through.
        first_gateway: Index of the first of these gateways.
        is_retry: Whether the client has sent the request before.
    """

    request_id: bytes
    class_index: int
    plan_index: int
    customer: int
    timeout: float
    units: float
    gateway_set_size: int
    first_gateway: int
    is_retry: bool


@dataclass(slots=True, frozen=True)
class CallTerms:
    """The fields of the X-Call-Terms header, as in `RequestMetadata`."""

    units: float
    gateway_set_size: int
    first_gateway: int


@functools.lru_cache(maxsize=CALL_TERMS_CACHE_SIZE)
def parse_call_terms(text: bytes) -> CallTerms:
    """Parse the X-Call-Terms header.

    Raises:
        BadRequestError: The header is malformed.
    """
    values = _split_call_terms(text)
    try:
        units = values[wire_names.UNITS]
        gateway_set_size = values[wire_names.GATEWAY_SET_SIZE]
        first_gateway = values[wire_names.FIRST_GATEWAY]
    except KeyError:
        raise BadRequestError("malformed X-Call-Terms") from None
    is_valid = (
        UNITS_PATTERN.fullmatch(units)
        and GATEWAY_NUMBER_PATTERN.fullmatch(gateway_set_size)
        and GATEWAY_NUMBER_PATTERN.fullmatch(first_gateway)
    )
    if not is_valid:
        raise BadRequestError("malformed X-Call-Terms")
    return CallTerms(float(units), int(gateway_set_size), int(first_gateway))


def _split_call_terms(text: bytes) -> dict[str, str]:
    """Return the fields of the X-Call-Terms header by name."""
    try:
        parts = text.decode("ascii").replace(" ", "").split(",")
    except UnicodeDecodeError:
        raise BadRequestError("malformed X-Call-Terms") from None
    values: dict[str, str] = {}
    for part in parts:
        name, separator, value = part.partition("=")
        if not separator or name in values:
            raise BadRequestError("malformed X-Call-Terms")
        values[name] = value
    return values


def parse_timeout(text: bytes) -> float:
    """Return the seconds that the Request-Timeout header names.

    Raises:
        BadRequestError: The header is malformed.
    """
    match = TIMEOUT_PATTERN.fullmatch(text)
    if match is None:
        raise BadRequestError("malformed Request-Timeout")
    whole, fraction, unit = match.groups()
    number = float(whole + b"." + (fraction or b"0"))
    return number / (MILLISECONDS_PER_SECOND if unit == b"m" else MICROSECONDS_PER_SECOND)


def parse_customer(query: bytes) -> int:
    """Return the customer's id.

    A query with two customers, also with an escaped name, could be read differently here and at an endpoint.
    The usual query, with nothing else in it, does not need the general parser, which is slower.

    Raises:
        BadRequestError: The query is malformed, or does not name exactly one customer.
    """
    match = CUSTOMER_QUERY_PATTERN.fullmatch(query)
    if match is not None:
        return check_customer(int(match[1], 16))
    try:
        fields = parse_qsl(query.decode("ascii"), keep_blank_values=True, max_num_fields=MAX_QUERY_FIELDS)
    except ValueError:
        raise BadRequestError("malformed query") from None
    customers = [value for name, value in fields if name == wire_names.CUSTOMER]
    if len(customers) != 1 or not CUSTOMER_PATTERN.fullmatch(customers[0]):
        raise BadRequestError("malformed customer")
    return check_customer(int(customers[0], 16))


def check_customer(customer: int) -> int:
    """Return a customer's id if it is in range.

    Raises:
        BadRequestError: The id is out of range.
    """
    if customer >= CUSTOMER_ID_LIMIT:
        raise BadRequestError("malformed customer")
    return customer


def split_target(target: bytes) -> tuple[bytes, bytes]:
    """Return the first segment of the path, which names the request class, and the query.

    Raises:
        BadRequestError: The target is malformed, or its path has a dot segment.
    """
    match = TARGET_PATTERN.fullmatch(target)
    if match is None:
        raise BadRequestError("malformed target")
    path, query = match.groups()
    if b"/." in path and {b".", b".."} & set(path.split(b"/")):
        raise BadRequestError("malformed target")
    first_segment, _, _ = path[1:].partition(b"/")
    return first_segment, query or b""


def check_effect(method: bytes, key: bytes, request_class: RequestClass) -> None:
    """Check that the method and the Idempotency-Key are those of a class with its effect.

    Raises:
        BadRequestError: They are not.
    """
    if method == b"GET":
        effect = Effect.IDEMPOTENT
    else:
        effect = Effect.IDEMPOTENT_WITH_KEY if key else Effect.NON_IDEMPOTENT
    is_valid = method in (b"GET", b"POST") and effect is request_class.effect
    if not is_valid or (key and not IDEMPOTENCY_KEY_PATTERN.fullmatch(key)):
        raise BadRequestError("the method or Idempotency-Key is not that of the class")


def reject_repeated_headers(fields: list[tuple[bytes, bytes]]) -> None:
    """Check that no header that is read here is repeated.

    It could be read differently here and at an endpoint.

    Raises:
        BadRequestError: One is repeated.
    """
    seen = set()
    for name, _ in fields:
        if name in seen and name in UNIQUE_HEADERS:
            raise BadRequestError("a header stands twice")
        seen.add(name)


class RequestMetadataParser:
    """Reads the metadata of requests by the settings of one site."""

    def __init__(self, settings: Settings, max_units: float) -> None:
        """Prepare the parser.

        Args:
            settings: The request classes, the plans and the number of gateways.
            max_units: The most units that a request may consume.
        """
        self._max_units = max_units
        self._gateway_count = settings.gateway_count
        self._classes = {
            request_class.name.encode(): (index, request_class)
            for index, request_class in enumerate(settings.classes)
        }
        self._plans = {plan.name.encode(): index for index, plan in enumerate(settings.plans)}

    def parse(self, method: bytes, target: bytes, fields: list[tuple[bytes, bytes]]) -> RequestMetadata:
        """Return a request's metadata; the names of the header fields are in lower case.

        Raises:
            FrontendError: The request is invalid; the first check that fails decides the response.
        """
        headers = dict(fields)
        if len(headers) != len(fields):
            reject_repeated_headers(fields)
        class_name, query = split_target(target)
        if class_name not in self._classes:
            raise UnknownRequestClassError("no such class")
        class_index, request_class = self._classes[class_name]
        if headers.get(wire_names.REQUEST_CLASS) != class_name:
            raise BadRequestError("Request-Class is not the path's")
        plan_index = self._plans.get(headers.get(wire_names.PLAN, b""))
        if plan_index is None:
            raise BadRequestError("no such X-Tier")
        check_effect(method, headers.get(wire_names.IDEMPOTENCY_KEY, b""), request_class)
        request_id = headers.get(wire_names.REQUEST_ID, b"")
        if not REQUEST_ID_PATTERN.fullmatch(request_id):
            raise BadRequestError("malformed Request-Id")
        # A client waits for all its attempts no longer than the deadline of the class.
        timeout = min(request_class.deadline, parse_timeout(headers.get(wire_names.TIMEOUT, b"")))
        terms = self._check_call_terms(headers.get(wire_names.CALL_TERMS, b""))
        return RequestMetadata(
            request_id=request_id,
            class_index=class_index,
            plan_index=plan_index,
            customer=parse_customer(query),
            timeout=timeout,
            units=terms.units,
            gateway_set_size=terms.gateway_set_size,
            first_gateway=terms.first_gateway,
            is_retry=headers.get(wire_names.CLIENT_RETRY) == b"1",
        )

    def _check_call_terms(self, text: bytes) -> CallTerms:
        """Parse the X-Call-Terms header, and check its fields against the settings."""
        if len(text) > MAX_CALL_TERMS_BYTES:
            raise BadRequestError("malformed X-Call-Terms")
        terms = parse_call_terms(text)
        is_in_range = (
            0 < terms.units <= self._max_units
            and 0 < terms.gateway_set_size <= self._gateway_count
            and terms.first_gateway < self._gateway_count
        )
        if not is_in_range:
            raise BadRequestError("X-Call-Terms out of range")
        return terms
