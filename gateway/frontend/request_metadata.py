"""Reads a request's target and headers, and rejects what the protocol or the settings rule out."""

from __future__ import annotations

import functools
import re
from dataclasses import dataclass
from urllib.parse import parse_qsl

from gateway.frontend.errors import BadRequestError, UnknownRequestClassError
from gateway.policy.settings import Effect, RequestClass, Settings

CUSTOMER_ID_LIMIT = 1 << 33  # ids are below it
MAX_CALL_TERMS_BYTES = 96  # longer ones would also fill the cache
MAX_QUERY_FIELDS = 32
UNIQUE_HEADERS = frozenset(
    b"request-id request-class x-tier request-timeout idempotency-key x-call-terms content-length host"
    b" client-retry".split()
)
TARGET = re.compile(rb"(/[!-\"$->@-~]*)(?:\?([!-\"$-~]*))?")  # no spaces, controls or fragment
TIMEOUT = re.compile(rb"(\d{1,12})(?:\.(\d{1,6}))?([mu])")  # in milliseconds or microseconds
CUSTOMER_QUERY = re.compile(rb"customer=([0-9a-fA-F]{16})")
CUSTOMER = re.compile(r"[0-9a-fA-F]{16}")
REQUEST_ID = re.compile(rb"[0-9a-zA-Z_.-]{1,64}")
IDEMPOTENCY_KEY = re.compile(rb"[!-~]{1,128}")
UNITS = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)
GATEWAY_NUMBER = re.compile(r"\d{1,9}", re.ASCII)


@dataclass(slots=True, frozen=True)
class RequestMetadata:
    """What a request's target and headers tell; `timeout` is in seconds."""

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
    """The fields of X-Call-Terms."""

    units: float
    gateway_set_size: int
    first_gateway: int


@functools.lru_cache(maxsize=256)  # few distinct ones come
def parse_call_terms(text: bytes) -> CallTerms:
    """Parse X-Call-Terms."""
    try:
        pairs = [part.split("=", 1) for part in text.decode("ascii").replace(" ", "").split(",")]
        values = {key: value for key, value in pairs}  # noqa: C416  # a part without "=" is a ValueError
        units, spread, first = values["units"], values["spread"], values["first"]
    except (KeyError, ValueError):
        raise BadRequestError("malformed X-Call-Terms") from None
    if len(values) != len(pairs) or not (
        UNITS.fullmatch(units) and GATEWAY_NUMBER.fullmatch(spread) and GATEWAY_NUMBER.fullmatch(first)
    ):
        raise BadRequestError("malformed X-Call-Terms")
    return CallTerms(float(units), int(spread), int(first))


def parse_timeout(text: bytes) -> float:
    """Return Request-Timeout in seconds."""
    match = TIMEOUT.fullmatch(text)
    if match is None:
        raise BadRequestError("malformed Request-Timeout")
    number = float(match[1] + b"." + (match[2] or b"0"))
    return number / (1e3 if match[3] == b"m" else 1e6)


def parse_customer(query: bytes) -> int:
    """Return the customer's id.

    A second one, also one with an escaped name, could be read differently here and at an endpoint.  The usual
    query, with nothing else in it, does without the general parser, which takes several times as long.
    """
    if (match := CUSTOMER_QUERY.fullmatch(query)) is not None:
        return check_customer(int(match[1], 16))
    try:
        fields = parse_qsl(query.decode("ascii"), True, max_num_fields=MAX_QUERY_FIELDS)
    except ValueError:
        raise BadRequestError("malformed query") from None
    found = [value for key, value in fields if key == "customer"]
    if len(found) != 1 or not CUSTOMER.fullmatch(found[0]):
        raise BadRequestError("malformed customer")
    return check_customer(int(found[0], 16))


def check_customer(customer: int) -> int:
    """Check the range of a customer's id."""
    if customer >= CUSTOMER_ID_LIMIT:
        raise BadRequestError("malformed customer")
    return customer


def split_target(target: bytes) -> tuple[bytes, bytes]:
    """Return the first segment of the path, which names the request class, and the query."""
    match = TARGET.fullmatch(target)
    if match is None or (b"/." in match[1] and {b".", b".."} & set(match[1].split(b"/"))):
        raise BadRequestError("malformed target")
    return match[1][1:].partition(b"/")[0], match[2] or b""


def check_effect(method: bytes, key: bytes, request_class: RequestClass) -> None:
    """Check that the method and Idempotency-Key are those of a class with its effect."""
    if method == b"GET":
        effect = Effect.IDEMPOTENT
    else:
        effect = Effect.IDEMPOTENT_WITH_KEY if key else Effect.NON_IDEMPOTENT
    is_valid = method in (b"GET", b"POST") and effect is request_class.effect
    if not is_valid or (key and not IDEMPOTENCY_KEY.fullmatch(key)):
        raise BadRequestError("the method or Idempotency-Key is not that of the class")


def reject_repeated_headers(fields: list[tuple[bytes, bytes]]) -> None:
    """Raise an error if a header that counts is repeated.

    It could be read differently here and at an endpoint.
    """
    seen = set()
    for name, _ in fields:
        if name in seen and name in UNIQUE_HEADERS:
            raise BadRequestError("a header stands twice")
        seen.add(name)


class RequestMetadataParser:
    """Reads the metadata of requests by the settings of one site."""

    def __init__(self, settings: Settings, max_units: float) -> None:
        self.max_units, self.gateway_count = max_units, settings.gateway_count
        self.classes = {c.name.encode(): (n, c) for n, c in enumerate(settings.classes)}
        self.plans = {p.name.encode(): n for n, p in enumerate(settings.plans)}

    def parse(self, method: bytes, target: bytes, fields: list[tuple[bytes, bytes]]) -> RequestMetadata:
        """Return a request's metadata; the names of the header fields are in lower case.

        Raises:
            FrontendError: The request is invalid; the first check that fails decides the response.
        """
        headers = dict(fields)
        if len(headers) != len(fields):
            reject_repeated_headers(fields)
        class_name, query = split_target(target)
        if class_name not in self.classes:
            raise UnknownRequestClassError("no such class")
        class_index, request_class = self.classes[class_name]
        if headers.get(b"request-class") != class_name:
            raise BadRequestError("Request-Class is not the path's")
        plan_index = self.plans.get(headers.get(b"x-tier", b""))
        if plan_index is None:
            raise BadRequestError("no such X-Tier")
        check_effect(method, headers.get(b"idempotency-key", b""), request_class)
        request_id = headers.get(b"request-id", b"")
        if not REQUEST_ID.fullmatch(request_id):
            raise BadRequestError("malformed Request-Id")
        # A client waits for all its attempts no longer than the deadline of the class: none is kept longer.
        timeout = min(request_class.deadline, parse_timeout(headers.get(b"request-timeout", b"")))
        terms = self.check_call_terms(headers.get(b"x-call-terms", b""))
        customer = parse_customer(query)
        is_retry = headers.get(b"client-retry") == b"1"
        return RequestMetadata(
            request_id, class_index, plan_index, customer, timeout,
            terms.units, terms.gateway_set_size, terms.first_gateway, is_retry,
        )  # fmt: skip

    def check_call_terms(self, text: bytes) -> CallTerms:
        """Parse X-Call-Terms, and check them against the settings."""
        if len(text) > MAX_CALL_TERMS_BYTES:
            raise BadRequestError("malformed X-Call-Terms")
        terms = parse_call_terms(text)
        if not (
            0 < terms.units <= self.max_units
            and 0 < terms.gateway_set_size <= self.gateway_count
            and terms.first_gateway < self.gateway_count
        ):
            raise BadRequestError("X-Call-Terms out of range")
        return terms
