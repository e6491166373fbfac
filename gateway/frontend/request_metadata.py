"""Parses a request's target and headers, and rejects requests that violate the protocol or the settings."""

from __future__ import annotations

import functools
import re
from dataclasses import dataclass
from urllib.parse import parse_qsl

from gateway.frontend import request_headers as headers
from gateway.frontend.errors import BadRequestError, UnknownRequestClassError
from gateway.policy.settings import Effect, RequestClass, Settings

CUSTOMER_ID_LIMIT = 1 << 33  # all customer ids are below it
MAX_CALL_TERMS_BYTES = 96  # also bounds the size of the entries of the cache
CALL_TERMS_CACHE_SIZE = 256  # entries; clients send few distinct values
MAX_QUERY_FIELDS = 32
MILLISECONDS_PER_SECOND = 1e3
MICROSECONDS_PER_SECOND = 1e6

TARGET = re.compile(rb"(/[!-\"$->@-~]*)(?:\?([!-\"$-~]*))?")  # no spaces, control characters or fragment
TIMEOUT = re.compile(rb"(\d{1,12})(?:\.(\d{1,6}))?([mu])")  # in milliseconds or microseconds
CUSTOMER_QUERY = re.compile(rb"customer=([0-9a-fA-F]{16})")  # the usual query, with this parameter alone
CUSTOMER = re.compile(r"[0-9a-fA-F]{16}")
REQUEST_ID = re.compile(rb"[0-9a-zA-Z_.-]{1,64}")
IDEMPOTENCY_KEY = re.compile(rb"[!-~]{1,128}")
UNITS = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)
GATEWAY_NUMBER = re.compile(r"\d{1,9}", re.ASCII)


@dataclass(slots=True, frozen=True)
class RequestMetadata:
    """The metadata in a request's target and headers.

    Attributes:
        request_id: The client's id for the request.
        class_index: Index into the request classes of the settings.
        plan_index: Index into the plans of the settings.
        customer: The customer's id.
        timeout: Seconds that the client waits for the response, at most the deadline of the request class.
        units: Units that the request consumes from the customer's quota.
        gateway_set_size: Number of gateways that receive this customer's requests.
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
    """The fields of X-Call-Terms; `RequestMetadata` describes them."""

    units: float
    gateway_set_size: int
    first_gateway: int


@functools.lru_cache(maxsize=CALL_TERMS_CACHE_SIZE)
def parse_call_terms(text: bytes) -> CallTerms:
    """Parse the value of X-Call-Terms.

    Raises:
        BadRequestError: A field is missing, malformed or repeated.
    """
    try:
        pairs = [part.split("=", 1) for part in text.decode("ascii").replace(" ", "").split(",")]
        values = {key: value for key, value in pairs}  # noqa: C416  # a part without "=" is a ValueError
        units = values[headers.UNITS]
        gateway_set_size = values[headers.GATEWAY_SET_SIZE]
        first_gateway = values[headers.FIRST_GATEWAY]
    except (KeyError, ValueError):
        raise BadRequestError("malformed X-Call-Terms") from None
    are_gateways_valid = GATEWAY_NUMBER.fullmatch(gateway_set_size) and GATEWAY_NUMBER.fullmatch(
        first_gateway
    )
    is_valid = UNITS.fullmatch(units) and are_gateways_valid
    has_repeated_field = len(values) != len(pairs)
    if has_repeated_field or not is_valid:
        raise BadRequestError("malformed X-Call-Terms")
    return CallTerms(float(units), int(gateway_set_size), int(first_gateway))


def parse_timeout(text: bytes) -> float:
    """Return Request-Timeout in seconds.

    Raises:
        BadRequestError: The text is not a number with the unit `m` (milliseconds) or `u` (microseconds).
    """
    match = TIMEOUT.fullmatch(text)
    if match is None:
        raise BadRequestError("malformed Request-Timeout")
    fraction = match[2] or b"0"
    number = float(match[1] + b"." + fraction)
    parts_per_second = MILLISECONDS_PER_SECOND if match[3] == b"m" else MICROSECONDS_PER_SECOND
    return number / parts_per_second


def parse_customer(query: bytes) -> int:
    """Return the customer's id from the query.

    A repeated parameter, also one with a percent-encoded name, is rejected because the gateway and an
    endpoint could use different values.  The usual query is matched by a regular expression, as the general
    parser takes several times as long.

    Raises:
        BadRequestError: The query is malformed, or does not contain exactly one valid id.
    """
    match = CUSTOMER_QUERY.fullmatch(query)
    if match is not None:
        return check_customer(int(match[1], 16))
    try:
        fields = parse_qsl(query.decode("ascii"), keep_blank_values=True, max_num_fields=MAX_QUERY_FIELDS)
    except ValueError:
        raise BadRequestError("malformed query") from None
    found = [value for name, value in fields if name == headers.CUSTOMER]
    if len(found) != 1 or not CUSTOMER.fullmatch(found[0]):
        raise BadRequestError("malformed customer")
    return check_customer(int(found[0], 16))


def check_customer(customer: int) -> int:
    """Return a customer's id after checking its range.

    Raises:
        BadRequestError: The id is out of range.
    """
    if customer >= CUSTOMER_ID_LIMIT:
        raise BadRequestError("malformed customer")
    return customer


def split_target(target: bytes) -> tuple[bytes, bytes]:
    """Return the first segment of the path, which names the request class, and the query.

    Raises:
        BadRequestError: The target is malformed or has a `.` or `..` segment.
    """
    match = TARGET.fullmatch(target)
    if match is None or has_relative_segment(match[1]):
        raise BadRequestError("malformed target")
    first_segment, _, _ = match[1][1:].partition(b"/")
    query = match[2] or b""
    return first_segment, query


def has_relative_segment(path: bytes) -> bool:
    """Return whether the path has a `.` or `..` segment, which an endpoint could resolve to another path."""
    return b"/." in path and not {b".", b".."}.isdisjoint(path.split(b"/"))


def check_effect(method: bytes, key: bytes, request_class: RequestClass) -> None:
    """Check that the method and the Idempotency-Key match the effect of the request class.

    Raises:
        BadRequestError: They do not match, or the key is malformed.
    """
    if method == b"GET":
        effect = Effect.IDEMPOTENT
    else:
        effect = Effect.IDEMPOTENT_WITH_KEY if key else Effect.NON_IDEMPOTENT
    matches_class = method in (b"GET", b"POST") and effect is request_class.effect
    is_key_malformed = key and not IDEMPOTENCY_KEY.fullmatch(key)
    if not matches_class or is_key_malformed:
        raise BadRequestError("the method or Idempotency-Key does not match the request class")


def reject_repeated_headers(fields: list[tuple[bytes, bytes]]) -> None:
    """Check that none of `SINGLETON_HEADERS` is repeated.

    Raises:
        BadRequestError: One of these headers is repeated.
    """
    seen = set()
    for name, _ in fields:
        if name in seen and name in headers.SINGLETON_HEADERS:
            raise BadRequestError("repeated header that may occur only once")
        seen.add(name)


class RequestMetadataParser:
    """Parses the metadata of requests and checks it against the settings.

    Attributes:
        max_units: Largest number of units that one request may consume.
        gateway_count: Number of gateways of the site.
        classes: Index and request class, by the name of the class.
        plans: Index of the plan, by the name of the plan.
    """

    def __init__(self, settings: Settings, max_units: float) -> None:
        self.max_units = max_units
        self.gateway_count = settings.gateway_count
        self.classes = {
            request_class.name.encode(): (index, request_class)
            for index, request_class in enumerate(settings.classes)
        }
        self.plans = {plan.name.encode(): index for index, plan in enumerate(settings.plans)}

    def parse(self, method: bytes, target: bytes, fields: list[tuple[bytes, bytes]]) -> RequestMetadata:
        """Return a request's metadata.

        Args:
            method: HTTP method.
            target: Path and query.
            fields: Header names, in lower case, and values.

        Raises:
            FrontendError: The request is invalid; the first check that fails decides the response.
        """
        values = dict(fields)
        if len(values) != len(fields):
            reject_repeated_headers(fields)
        class_name, query = split_target(target)
        if class_name not in self.classes:
            raise UnknownRequestClassError("unknown request class")
        class_index, request_class = self.classes[class_name]
        if values.get(headers.REQUEST_CLASS) != class_name:
            raise BadRequestError("Request-Class does not match the path")
        plan_index = self.plans.get(values.get(headers.PLAN, b""))
        if plan_index is None:
            raise BadRequestError("unknown X-Tier")
        check_effect(method, values.get(headers.IDEMPOTENCY_KEY, b""), request_class)
        request_id = values.get(headers.REQUEST_ID, b"")
        if not REQUEST_ID.fullmatch(request_id):
            raise BadRequestError("malformed Request-Id")
        timeout = parse_timeout(values.get(headers.TIMEOUT, b""))
        terms = self.check_call_terms(values.get(headers.CALL_TERMS, b""))
        customer = parse_customer(query)
        return RequestMetadata(
            request_id=request_id,
            class_index=class_index,
            plan_index=plan_index,
            customer=customer,
            # Clients wait for a response no longer than the deadline of the request class.
            timeout=min(request_class.deadline, timeout),
            units=terms.units,
            gateway_set_size=terms.gateway_set_size,
            first_gateway=terms.first_gateway,
            is_retry=values.get(headers.IS_RETRY) == headers.IS_RETRY_TRUE,
        )

    def check_call_terms(self, text: bytes) -> CallTerms:
        """Parse the value of X-Call-Terms and check it against the settings.

        Raises:
            BadRequestError: The value is malformed or out of range.
        """
        if len(text) > MAX_CALL_TERMS_BYTES:
            raise BadRequestError("malformed X-Call-Terms")
        terms = parse_call_terms(text)
        are_units_valid = 0 < terms.units <= self.max_units
        is_set_size_valid = 0 < terms.gateway_set_size <= self.gateway_count
        is_first_valid = terms.first_gateway < self.gateway_count
        if not (are_units_valid and is_set_size_valid and is_first_valid):
            raise BadRequestError("X-Call-Terms out of range")
        return terms
