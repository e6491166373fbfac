"""What a request's headers and target have to be, and the exact text that answers one which is not so."""

from __future__ import annotations

import pytest

from gateway.frontend.errors import BadRequestError, FrontendError, UnknownRequestClassError
from gateway.frontend.request_metadata import RequestMetadata, RequestMetadataParser
from tests.support.harness import UNREACHABLE, async_test, gateway_with_client
from tests.support.sockets import make_config

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
    return RequestMetadataParser(make_config([]).settings, 2.0)


def test_metadata_of_a_valid_request(parser: RequestMetadataParser) -> None:
    found = parser.parse(b"GET", TARGET, list(HEADERS.items()))
    assert found == RequestMetadata(b"one", 0, 1, 5, 1.5, 1.5, 3, 2, False)


@pytest.mark.parametrize(
    "query",
    [
        b"customer=00000001ffFFffFF",
        b"a=b&customer=00000001ffffffff",
        b"%63ustomer=00000001ffffffff&customers=",
    ],
    ids=range(3),
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
        (b"x-call-terms", b"units=3,spread=3,first=0", "X-Call-Terms out of range"),
        (b"x-call-terms", b"units=1,spread=4,first=0", "X-Call-Terms out of range"),
        (b"x-call-terms", b"units=1", "malformed X-Call-Terms"),
        (b"request-timeout", b"4", "malformed Request-Timeout"),
        (b"request-class", b"class-1", "Request-Class is not the path's"),
        (b"x-tier", b"gold", "no such X-Tier"),
        (b"request-id", b"", "malformed Request-Id"),
        (b"idempotency-key", b"not a key", "the method or Idempotency-Key is not that of the class"),
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
        (b"/class-0?customer=5", BadRequestError, "malformed customer"),
        (b"/class-0?customer=0000000200000000", BadRequestError, "malformed customer"),
        (b"/class-0?a=b&customer=0000000200000000", BadRequestError, "malformed customer"),
        (b"/class-0?" + b"&" * 32 + b"customer=0000000000000005", BadRequestError, "malformed query"),
        (b"/class-0?customer=0000000000000005#", BadRequestError, "malformed target"),
        (b"/class-9?customer=0000000000000005", UnknownRequestClassError, "no such class"),
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
    assert str(error.value) == "a header stands twice"


# Guards the policy and customers' quotas against terms that the protocol or the settings do not allow; the
# connection is closed, as its descriptor is of use to others.
@pytest.mark.parametrize(
    "terms",
    [
        "units=0,spread=3,first=0", "units=-1,spread=3,first=0", "units=3,spread=3,first=0",
        "units=1_0,spread=3,first=0", "units=inf,spread=3,first=0", "units=1e0,spread=3,first=0",
        "units=1,spread=0,first=0", "units=1,spread=4,first=0", "units=1,spread=1_0,first=0",
        "units=1,spread=+3,first=0", "units=1,spread=3,first=3", "units=1,spread=3,first=-1",
        "units=1,spread=3", "units=1,units=2,spread=3,first=0", "units,spread=3,first=0",
        "units=1,spread=3.0,first=0", "units=1,spread=3,first=0" + " " * 100, "",
    ],
)  # fmt: skip
@async_test
async def test_call_terms_out_of_range_are_rejected(terms: str) -> None:
    async with gateway_with_client(UNREACHABLE, extra__most_units="2") as gateway:
        assert (await gateway.client.ask(X_Call_Terms=terms)).status == 400
        assert await gateway.client.reader.read() == b""
        assert not gateway.policy.events
        assert not gateway.process.listener.budget.open_request_ids


@pytest.mark.parametrize(
    "target",
    [
        b"/class-0?customer=0000000200000000", b"/class-0?customer=5", b"/class-0", b"/class-0?customer=",
        b"/class-0?customer=0000000000000005&%63ustomer=0000000000000006",
        b"/class-0#?customer=0000000000000005",
        b"/class-0/../class-1?customer=0000000000000005", b"http://x/class-0?customer=0000000000000005",
        b"/class-9?customer=0000000000000005",
        b"/class-0?customer=0000000000000005&customer=0000000000000005",
    ],
    ids=range(10),
)  # fmt: skip
@async_test
async def test_targets_that_could_be_read_in_two_ways_are_rejected(target: bytes) -> None:
    async with gateway_with_client(UNREACHABLE) as gateway:
        good = gateway.client.request()
        bad = good.replace(b"/class-0?customer=0000000000000005", target)
        assert bad != good
        assert (await gateway.client.send(bad)).status in (400, 404)
        assert not gateway.policy.events
