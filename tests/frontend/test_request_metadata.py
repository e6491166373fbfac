"""What a request's headers and target have to be, and the exact text that answers one which is not so."""

from __future__ import annotations

import pytest

from gateway.frontend.errors import BadRequestError, FrontendError, UnknownRequestClassError
from gateway.frontend.request_metadata import RequestMetadata, RequestMetadataParser
from tests.support.event_loop import async_test
from tests.support.gateway import UNREACHABLE, gateway_with_client, make_config

TARGET = b"/class-0?customer=0000000000000005"
HEADERS = {
    b"host": b"origin.svc",
    b"request-id": b"one",
    b"request-class": b"class-0",
    b"x-tier": b"plan-1",
    b"request-timeout": b"1500m",
    b"x-call-terms": b"units=1.5,spread=3,first=2",
}


@pytest.fixture
def parser() -> RequestMetadataParser:
    return RequestMetadataParser(make_config([]).settings, max_units=2.0)


def test_metadata_of_a_valid_request(parser: RequestMetadataParser) -> None:
    found = parser.parse(b"GET", TARGET, list(HEADERS.items()))
    assert found == RequestMetadata(
        request_id=b"one",
        class_index=0,
        plan_index=1,
        customer=5,
        timeout=1.5,
        units=1.5,
        gateway_set_size=3,
        first_gateway=2,
        is_retry=False,
    )


@pytest.mark.parametrize(
    "query",
    [
        pytest.param(b"customer=00000001ffFFffFF", id="alone"),
        pytest.param(b"a=b&customer=00000001ffffffff", id="second"),
        pytest.param(b"%63ustomer=00000001ffffffff&customers=", id="escaped"),
    ],
)
def test_the_customer_may_stand_among_other_fields(parser: RequestMetadataParser, query: bytes) -> None:
    assert parser.parse(b"GET", b"/class-0?" + query, list(HEADERS.items())).customer == (1 << 33) - 1


def test_a_client_retry_is_marked_as_one(parser: RequestMetadataParser) -> None:
    assert parser.parse(b"GET", TARGET, [*HEADERS.items(), (b"client-retry", b"1")]).is_retry


def test_the_timeout_is_at_most_the_deadline_of_the_class(parser: RequestMetadataParser) -> None:
    headers = HEADERS | {b"request-timeout": b"60000m"}
    assert parser.parse(b"GET", TARGET, list(headers.items())).timeout == 4.0


# Guards the texts that clients get.
@pytest.mark.parametrize(
    ("header", "value", "text"),
    [
        pytest.param(b"x-call-terms", b"units=3,spread=3,first=0", "X-Call-Terms out of range", id="units"),
        pytest.param(b"x-call-terms", b"units=1,spread=4,first=0", "X-Call-Terms out of range", id="spread"),
        pytest.param(b"x-call-terms", b"units=1", "malformed X-Call-Terms", id="missing terms"),
        pytest.param(b"request-timeout", b"4", "malformed Request-Timeout", id="timeout"),
        pytest.param(b"request-class", b"class-1", "Request-Class does not match the path", id="class"),
        pytest.param(b"x-tier", b"gold", "unknown X-Tier", id="plan"),
        pytest.param(b"request-id", b"", "malformed Request-Id", id="request id"),
        pytest.param(
            b"idempotency-key",
            b"not a key",
            "the method or Idempotency-Key does not match the request class",
            id="idempotency key",
        ),
    ],
)
def test_the_text_of_an_error_names_the_header(
    parser: RequestMetadataParser, header: bytes, value: bytes, text: str
) -> None:
    headers = HEADERS | {header: value}
    with pytest.raises(BadRequestError) as error:
        parser.parse(b"GET", TARGET, list(headers.items()))
    assert str(error.value) == text


@pytest.mark.parametrize(
    ("target", "kind", "text"),
    [
        pytest.param(b"/class-0?customer=5", BadRequestError, "malformed customer", id="short customer"),
        pytest.param(
            b"/class-0?customer=0000000200000000",
            BadRequestError,
            "malformed customer",
            id="customer out of range",
        ),
        pytest.param(
            b"/class-0?a=b&customer=0000000200000000",
            BadRequestError,
            "malformed customer",
            id="second field out of range",
        ),
        pytest.param(
            b"/class-0?" + b"&" * 32 + b"customer=0000000000000005",
            BadRequestError,
            "malformed query",
            id="too many fields",
        ),
        pytest.param(
            b"/class-0?customer=0000000000000005#", BadRequestError, "malformed target", id="fragment"
        ),
        pytest.param(
            b"/class-9?customer=0000000000000005",
            UnknownRequestClassError,
            "unknown request class",
            id="class",
        ),
    ],
)
def test_the_text_of_an_error_names_the_part_of_the_target(
    parser: RequestMetadataParser, target: bytes, kind: type[FrontendError], text: str
) -> None:
    with pytest.raises(kind) as error:
        parser.parse(b"GET", target, list(HEADERS.items()))
    assert str(error.value) == text


def test_a_repeated_header_that_counts_is_rejected(parser: RequestMetadataParser) -> None:
    with pytest.raises(BadRequestError) as error:
        parser.parse(b"GET", TARGET, [*HEADERS.items(), (b"x-tier", b"plan-0")])
    assert str(error.value) == "repeated header that may occur only once"


# Guards the policy and customers' quotas against terms that the protocol or the settings do not allow; the
# connection is closed, as its descriptor is of use to others.
@pytest.mark.parametrize(
    "terms",
    [
        pytest.param("units=0,spread=3,first=0", id="no units"),
        pytest.param("units=-1,spread=3,first=0", id="negative units"),
        pytest.param("units=3,spread=3,first=0", id="too many units"),
        pytest.param("units=1_0,spread=3,first=0", id="underscore in units"),
        pytest.param("units=inf,spread=3,first=0", id="infinite units"),
        pytest.param("units=1e0,spread=3,first=0", id="exponent in units"),
        pytest.param("units=1,spread=0,first=0", id="no gateways"),
        pytest.param("units=1,spread=4,first=0", id="too many gateways"),
        pytest.param("units=1,spread=1_0,first=0", id="underscore in gateways"),
        pytest.param("units=1,spread=+3,first=0", id="sign of gateways"),
        pytest.param("units=1,spread=3,first=3", id="first out of range"),
        pytest.param("units=1,spread=3,first=-1", id="negative first"),
        pytest.param("units=1,spread=3", id="missing field"),
        pytest.param("units=1,units=2,spread=3,first=0", id="repeated field"),
        pytest.param("units,spread=3,first=0", id="field without a value"),
        pytest.param("units=1,spread=3.0,first=0", id="fraction of gateways"),
        pytest.param("units=1,spread=3,first=0" + " " * 100, id="too long"),
        pytest.param("", id="empty"),
    ],
)
@async_test
async def test_call_terms_out_of_range_are_rejected(terms: str) -> None:
    async with gateway_with_client(UNREACHABLE, extra__most_units="2") as gateway:
        assert (await gateway.client.send_request(X_Call_Terms=terms)).status == 400
        assert await gateway.client.reader.read() == b""
        assert not gateway.policy.events
        assert not gateway.process.listener.budget.open_request_ids


@pytest.mark.parametrize(
    "target",
    [
        pytest.param(b"/class-0?customer=0000000200000000", id="customer out of range"),
        pytest.param(b"/class-0?customer=5", id="short customer"),
        pytest.param(b"/class-0", id="no query"),
        pytest.param(b"/class-0?customer=", id="empty customer"),
        pytest.param(
            b"/class-0?customer=0000000000000005&%63ustomer=0000000000000006", id="escaped second customer"
        ),
        pytest.param(b"/class-0#?customer=0000000000000005", id="fragment"),
        pytest.param(b"/class-0/../class-1?customer=0000000000000005", id="dot segment"),
        pytest.param(b"http://x/class-0?customer=0000000000000005", id="absolute"),
        pytest.param(b"/class-9?customer=0000000000000005", id="unknown class"),
        pytest.param(b"/class-0?customer=0000000000000005&customer=0000000000000005", id="second customer"),
    ],
)
@async_test
async def test_targets_that_could_be_read_in_two_ways_are_rejected(target: bytes) -> None:
    async with gateway_with_client(UNREACHABLE) as gateway:
        good = gateway.client.encode_request()
        bad = good.replace(b"/class-0?customer=0000000000000005", target)
        assert bad != good
        assert (await gateway.client.send(bad)).status in (400, 404)
        assert not gateway.policy.events
