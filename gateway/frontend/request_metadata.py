"""Reads a request's target and headers, and rejects what the protocol or the settings rule out."""

from __future__ import annotations

import functools
import re
from dataclasses import dataclass
from urllib.parse import parse_qsl

from gateway.frontend import request_headers as headers
from gateway.frontend.errors import BadRequestError, UnknownRequestClassError
from gateway.policy.settings import Effect, RequestClass, Settings

CUSTOMER_ID_LIMIT = 1 << 33  # ids are below it
MAX_CALL_TERMS_BYTES = 96  # longer ones would also fill the cache
CALL_TERMS_CACHE_SIZE = 256  # entries; few distinct ones come
MAX_QUERY_FIELDS = 32
MILLISECONDS_PER_SECOND = 1e3
MICROSECONDS_PER_SECOND = 1e6

TARGET = re.compile(rb"(/[!-\"$->@-~]*)(?:\?([!-\"$-~]*))?")  # no spaces, controls or fragment
TIMEOUT = re.compile(rb"(\d{1,12})(?:\.(\d{1,6}))?([mu])")  # in milliseconds or microseconds
CUSTOMER_QUERY = re.compile(rb"customer=([0-9a-fA-F]{16})")  # the usual query, with nothing else in it
CUSTOMER = re.compile(r"[0-9a-fA-F]{16}")
REQUEST_ID = re.compile(rb"[0-9a-zA-Z_.-]{1,64}")
IDEMPOTENCY_KEY = re.compile(rb"[!-~]{1,128}")
UNITS = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)
GATEWAY_NUMBER = re.compile(r"\d{1,9}", re.ASCII)


@dataclass(slots=True, frozen=True)
class RequestMetadata:
    """What a request's target and headers say.

    Attributes:
        request_id: The client's id for the request.
        class_index: Index into the classes of the settings.
        plan_index: Index into the plans of the settings.
        customer: The customer's id.
        timeout: Seconds that the client waits for the response, at most the deadline of the class.
        units: Units that the request consumes from the customer's quota.
        gateway_set_size: Number of gateways that this customer's requests come through.
        first_gateway: Index of the first of them.
        is_retry: Whether the client has attempted the request before.
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
    """The fields of X-Call-Terms, as in `RequestMetadata`."""

    units: float
    gateway_set_size: int
    first_gateway: int


@functools.lru_cache(maxsize=CALL_TERMS_CACHE_SIZE)
def parse_call_terms(text: bytes) -> CallTerms:
    """Parse X-Call-Terms.

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
        BadRequestError: The text is not a number of milliseconds or microseconds with its unit.
    """
    match = TIMEOUT.fullmatch(text)
    if match is None:
        raise BadRequestError("malformed Request-Timeout")
    fraction = match[2] or b"0"
    number = float(match[1] + b"." + fraction)
    parts_per_second = MILLISECONDS_PER_SECOND if match[3] == b"m" else MICROSECONDS_PER_SECOND
    return number / parts_per_second


def parse_customer(query: bytes) -> int:
    """Return the customer's id.

    A second one, also one with an escaped name, could be read differently here and at an endpoint.  The usual
    query does without the general parser, which takes several times as long.

    Raises:
        BadRequestError: The query is malformed, or does not have exactly one valid id.
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
    """Return a customer's id if it is in the range of ids.

    Raises:
        BadRequestError: It is not.
    """
    if customer >= CUSTOMER_ID_LIMIT:
        raise BadRequestError("malformed customer")
    return customer


def split_target(target: bytes) -> tuple[bytes, bytes]:
    """Return the first segment of the path, which names the request class, and the query.

    Raises:
        BadRequestError: The target is malformed, or has a relative segment.
    """
    match = TARGET.fullmatch(target)
    if match is None or has_relative_segment(match[1]):
        raise BadRequestError("malformed target")
    first_segment, _, _ = match[1][1:].partition(b"/")
    query = match[2] or b""
    return first_segment, query


def has_relative_segment(path: bytes) -> bool:
    """Return whether a segment of the path is `.` or `..`, which an endpoint may resolve to another path."""
    return b"/." in path and not {b".", b".."}.isdisjoint(path.split(b"/"))


def check_effect(method: bytes, key: bytes, request_class: RequestClass) -> None:
    """Check that the method and the Idempotency-Key are those of a class with its effect.

    Raises:
        BadRequestError: They are not, or the key is malformed.
    """
    if method == b"GET":
        effect = Effect.IDEMPOTENT
    else:
        effect = Effect.IDEMPOTENT_WITH_KEY if key else Effect.NON_IDEMPOTENT
    is_of_the_class = method in (b"GET", b"POST") and effect is request_class.effect
    is_key_malformed = key and not IDEMPOTENCY_KEY.fullmatch(key)
    if not is_of_the_class or is_key_malformed:
        raise BadRequestError("the method or Idempotency-Key is not that of the class")


def reject_repeated_headers(fields: list[tuple[bytes, bytes]]) -> None:
    """Check that no header is repeated that could then be read differently here and at an endpoint.

    Raises:
        BadRequestError: One is.
    """
    seen = set()
    for name, _ in fields:
        if name in seen and name in headers.UNIQUE:
            raise BadRequestError("a header stands twice")
        seen.add(name)


class RequestMetadataParser:
    """Reads the metadata of requests by the settings of one site.

    Attributes:
        max_units: Units that one request may ask for.
        gateway_count: Number of gateways of the site.
        classes: The index of each request class, and the class, by its name.
        plans: The index of each plan by its name.
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
        """Return a request's metadata; the names of the header fields are in lower case.

        Raises:
            FrontendError: The request is invalid; the first check that fails decides the response.
        """
        values = dict(fields)
        if len(values) != len(fields):
            reject_repeated_headers(fields)
        class_name, query = split_target(target)
        if class_name not in self.classes:
            raise UnknownRequestClassError("no such class")
        class_index, request_class = self.classes[class_name]
        if values.get(headers.REQUEST_CLASS) != class_name:
            raise BadRequestError("Request-Class is not the path's")
        plan_index = self.plans.get(values.get(headers.PLAN, b""))
        if plan_index is None:
            raise BadRequestError("no such X-Tier")
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
            # A client waits for its attempts no longer than the deadline of the class.
            timeout=min(request_class.deadline, timeout),
            units=terms.units,
            gateway_set_size=terms.gateway_set_size,
            first_gateway=terms.first_gateway,
            is_retry=values.get(headers.IS_RETRY) == headers.IS_RETRY_TRUE,
        )

    def check_call_terms(self, text: bytes) -> CallTerms:
        """Parse X-Call-Terms, and check them against the settings.

        Raises:
            BadRequestError: They are malformed or out of range.
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
