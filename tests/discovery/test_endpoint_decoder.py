"""Decoding of endpoint lists and deltas, and endpoint ids derived from host names."""

from __future__ import annotations

import json
import math
import reprlib
from typing import Any

import pytest

from gateway.address import Address
from gateway.discovery import endpoint_decoder
from gateway.discovery.endpoint_decoder import (
    MAX_LOGGED_ENDPOINTS,
    MAX_SHORT_ENDPOINTS,
    EndpointDecoder,
    derive_endpoint_id,
)
from gateway.discovery.errors import DiscoveryError, MalformedEndpointError, MalformedUpdateError
from testbed.fake_discovery import host_entry
from tests.support.discovery import FIRST_ENDPOINT, FIRST_ENDPOINT_ID, make_decoder


@pytest.fixture
def decoder() -> EndpointDecoder:
    return make_decoder()


def test_endpoint_ids_depend_on_the_host_name_alone() -> None:
    assert derive_endpoint_id("s-5be2a07c") == 0x5BE2A07C
    assert derive_endpoint_id("worker-7") == derive_endpoint_id("worker-7")
    assert derive_endpoint_id("worker-7") != derive_endpoint_id("worker-8")
    assert 0 <= derive_endpoint_id("s-5BE2A07C") < 1 << 32


def test_a_list_of_malformed_endpoints_does_not_remove_all_endpoints(decoder: EndpointDecoder) -> None:
    decoder.decode_update({"seq": 1, "whole": True, "hosts": [FIRST_ENDPOINT]})
    with pytest.raises(MalformedUpdateError, match="no valid endpoint among 1"):
        decoder.decode_update({"seq": 2, "whole": True, "hosts": [{"host": "s-00000007"}]})
    assert decoder.host_names == {FIRST_ENDPOINT_ID: "s-00000007"}


# Guards against unbounded memory: restarted endpoints get new host names.
def test_host_names_of_gone_endpoints_are_removed(decoder: EndpointDecoder) -> None:
    for number in range(50):
        entry = host_entry(f"s-{number:08x}", "127.0.0.1:81")
        decoder.decode_update({"seq": 2 * number, "whole": False, "hosts": [entry]})
        decoder.decode_update({"seq": 2 * number + 1, "whole": False, "hosts": [entry | {"health": "Gone"}]})
    assert decoder.host_names == {}


# Guards against unbounded memory while an agent sends endpoints that cannot be read.
def test_host_names_of_malformed_endpoints_are_not_kept(decoder: EndpointDecoder) -> None:
    for number in range(50):
        entry = host_entry(f"s-{number:08x}", "127.0.0.1")
        decoder.decode_update({"seq": number, "whole": False, "hosts": [entry]})
    assert decoder.host_names == {}


def test_a_host_name_with_the_id_of_another_is_skipped(
    decoder: EndpointDecoder, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(endpoint_decoder, "derive_endpoint_id", lambda _: 7)
    hosts = [host_entry("one", "127.0.0.1:81"), host_entry("two", "127.0.0.1:82")]
    update, addresses = decoder.decode_update({"seq": 1, "whole": True, "hosts": hosts})
    assert len(update.records) == 1
    assert addresses == {7: Address("127.0.0.1", 81)}


# Guards against one record that makes the gateway drop an update with all its endpoints.
@pytest.mark.parametrize(
    "malformed",
    [
        pytest.param({"block": math.inf}, id="infinite cell"),
        pytest.param({"host": "s-\ud800"}, id="name that cannot be encoded"),
    ],
)
def test_a_malformed_endpoint_is_skipped_alone(malformed: dict[str, Any], decoder: EndpointDecoder) -> None:
    hosts = [FIRST_ENDPOINT, host_entry("s-00000008", "127.0.0.1:82") | malformed]
    document = json.dumps({"seq": 1, "whole": True, "hosts": hosts}).encode()
    update, _ = decoder.decode_document(document)
    assert [record.endpoint_id for record in update.records] == [FIRST_ENDPOINT_ID]


def test_an_infinite_version_is_malformed(decoder: EndpointDecoder) -> None:
    with pytest.raises(MalformedUpdateError, match="seq is not a version number: inf"):
        decoder.decode_update({"seq": math.inf, "whole": True, "hosts": [FIRST_ENDPOINT]})


@pytest.mark.parametrize(
    ("field", "value"),
    [
        pytest.param("health", "Unknown", id="state"),
        pytest.param("site", "z", id="zone"),
        pytest.param("class", "m9", id="machine type"),
        pytest.param("born_ms", "soon", id="start"),
        pytest.param("block", None, id="cell"),
        pytest.param("share", [], id="weight"),
        pytest.param("dial", "127.0.0.1", id="address"),
        pytest.param("block", math.inf, id="infinite cell"),
        pytest.param("share", math.inf, id="infinite weight"),
        pytest.param("share", 10**400, id="huge weight"),
        pytest.param("born_ms", math.nan, id="start that is not a number"),
    ],
)
def test_errors_name_the_malformed_field_and_its_value(
    field: str, value: Any, decoder: EndpointDecoder
) -> None:
    with pytest.raises(MalformedEndpointError) as raised:
        decoder.decode_record(FIRST_ENDPOINT | {field: value})
    assert str(raised.value) == f"host 's-00000007' has an invalid {field}: {reprlib.repr(value)}"
    assert isinstance(raised.value, DiscoveryError)


# Guards against an update that holds up the event loop for seconds, as its endpoints are skipped one by one.
@pytest.mark.parametrize("endpoint", [pytest.param(b"0", id="number"), pytest.param(b"{}", id="object")])
def test_an_update_of_very_many_short_endpoints_is_malformed(
    decoder: EndpointDecoder, endpoint: bytes
) -> None:
    document = b'{"seq":1,"whole":false,"hosts":[%s]}' % b",".join([endpoint] * (MAX_SHORT_ENDPOINTS + 1))
    with pytest.raises(MalformedUpdateError, match=f"{MAX_SHORT_ENDPOINTS + 1} endpoints in"):
        decoder.decode_document(document)


def test_short_endpoints_of_a_small_update_are_skipped(decoder: EndpointDecoder) -> None:
    document = b'{"seq":1,"whole":false,"hosts":[%s]}' % b",".join([b"{}"] * MAX_SHORT_ENDPOINTS)
    assert decoder.decode_document(document).update.records == ()


# Guards against the time and the rate limit of the log, which one update used up for all others.
def test_few_malformed_endpoints_of_an_update_are_logged(
    decoder: EndpointDecoder, caplog: pytest.LogCaptureFixture
) -> None:
    decoder.decode_update({"seq": 1, "whole": False, "hosts": [{}] * (MAX_LOGGED_ENDPOINTS + 2)})
    assert len(caplog.records) == MAX_LOGGED_ENDPOINTS + 1
    assert caplog.records[-1].getMessage() == "discovery: endpoints skipped: 10 in all"
