"""Tests of parsing load reports, and of responses with a malformed load report."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from gateway.policy.events import AttemptFinished
from gateway.upstream.load_report import LoadReportParser
from testbed.fake_endpoint import FakeEndpoint
from tests.support.event_loop import async_test
from tests.support.gateway import gateway_with_client

if TYPE_CHECKING:
    from testbed.http_messages import Message

MALFORMED = [
    pytest.param("TEXT util=none", id="word as value"),
    pytest.param("TEXT queue=1_0, util=0.5, latency_ms=3", id="number with underscore"),
    pytest.param("=,=,", id="only separators"),
    pytest.param("TEXT \xff\xfe", id="bytes outside ASCII"),
    pytest.param("nan", id="nan"),
]
EARLY_RESPONSES = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


@pytest.fixture
def parser() -> LoadReportParser:
    return LoadReportParser(("latency_ms", "util", "queue"))


@pytest.mark.parametrize(
    "text",
    [
        pytest.param(b"TEXT latency_ms=3.25, util=0.5, queue=4", id="in order"),
        pytest.param(b"queue=4,util=0.5,latency_ms=3.25", id="another order, no prefix"),
        pytest.param(
            b"TEXT util = 0.5 , queue= 4, other=9, latency_ms=3.25, mark", id="spaces and unknown fields"
        ),
    ],
)
def test_values_are_returned_in_the_order_of_the_settings(parser: LoadReportParser, text: bytes) -> None:
    assert parser.parse(text) == (3.25, 0.5, 4.0)


@pytest.mark.parametrize(
    "text",
    [
        pytest.param("", id="empty"),
        pytest.param("latency_ms=3, util=0.5", id="column missing"),
        pytest.param("latency_ms=-3, util=1, queue=4", id="negative number"),
        *MALFORMED,
    ],
)
def test_a_report_that_is_malformed_or_lacks_a_column_yields_no_values(
    parser: LoadReportParser, text: str
) -> None:
    assert parser.parse(text.encode("latin-1")) == ()


@pytest.mark.parametrize("load", MALFORMED)
@async_test
async def test_a_malformed_report_does_not_fail_its_response(load: str) -> None:
    def respond(_message: Message) -> bytes:
        head = f"HTTP/1.1 200 OK\r\nServer-Load: {load}\r\nContent-Length: 4\r\n\r\n"
        return EARLY_RESPONSES + head.encode("latin-1") + b"done"

    endpoint = FakeEndpoint(respond)
    async with gateway_with_client(endpoint) as gateway:
        for _ in range(2):
            response = await gateway.client.send_request()
            assert response.status == 200
            assert response.body == b"done"
        finished = gateway.policy.events_of_type(AttemptFinished)
        assert [event.load_report for event in finished] == [(), ()]
        assert endpoint.accepted_connections == 1  # the connection is reused
