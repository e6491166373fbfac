"""Endpoint lists and changes out of parsed JSON, and endpoint ids out of host names."""

from __future__ import annotations

from typing import Any

import pytest

from gateway.address import Address
from gateway.discovery import endpoint_decoder
from gateway.discovery.endpoint_decoder import EndpointDecoder, derive_endpoint_id
from gateway.discovery.errors import DiscoveryError, MalformedEndpointError, MalformedUpdateError
from tests.support.discovery import FIRST_ENDPOINT, FIRST_ENDPOINT_ID, make_decoder
from tests.support.fake_discovery import host_entry


@pytest.fixture
def decoder() -> EndpointDecoder:
    return make_decoder()


def test_host_names_map_to_the_same_ids_on_every_gateway() -> None:
    assert derive_endpoint_id("s-5be2a07c") == 0x5BE2A07C
    assert derive_endpoint_id("worker-7") == derive_endpoint_id("worker-7")
    assert derive_endpoint_id("worker-7") != derive_endpoint_id("worker-8")
    assert 0 <= derive_endpoint_id("s-5BE2A07C") < 1 << 32


def test_an_unreadable_list_does_not_remove_all_endpoints(decoder: EndpointDecoder) -> None:
    decoder.decode_update({"seq": 1, "whole": True, "hosts": [FIRST_ENDPOINT]})
    with pytest.raises(MalformedUpdateError, match="no endpoint of 1"):
        decoder.decode_update({"seq": 2, "whole": True, "hosts": [{"host": "s-00000007"}]})
    assert decoder.host_names == {FIRST_ENDPOINT_ID: "s-00000007"}


# Guards against growth: endpoints are replaced all day by ones of ever new names.
def test_host_names_of_gone_endpoints_are_forgotten(decoder: EndpointDecoder) -> None:
    for number in range(50):
        line = host_entry(f"s-{number:08x}", "127.0.0.1:81")
        decoder.decode_update({"seq": 2 * number, "whole": False, "hosts": [line]})
        decoder.decode_update({"seq": 2 * number + 1, "whole": False, "hosts": [line | {"health": "Gone"}]})
    assert decoder.host_names == {}


def test_two_host_names_with_one_id_are_not_taken_for_one_endpoint(
    decoder: EndpointDecoder, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(endpoint_decoder, "derive_endpoint_id", lambda _: 7)
    hosts = [host_entry("one", "127.0.0.1:81"), host_entry("two", "127.0.0.1:82")]
    update, addresses = decoder.decode_update({"seq": 1, "whole": True, "hosts": hosts})
    assert len(update.records) == 1
    assert addresses == {7: Address("127.0.0.1", 81)}


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
    ],
)
def test_an_error_names_the_malformed_field_and_its_value(
    field: str, value: Any, decoder: EndpointDecoder
) -> None:
    with pytest.raises(MalformedEndpointError) as raised:
        decoder.decode_record(FIRST_ENDPOINT | {field: value})
    assert str(raised.value) == f"host 's-00000007' has an unusable {field}: {value!r}"
    assert isinstance(raised.value, DiscoveryError)
