"""The application of endpoint updates to the upstream connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gateway.policy.events import EndpointRecord, EndpointState, EndpointUpdate, UpdateKind

if TYPE_CHECKING:
    from gateway.address import Address
    from gateway.upstream.client import UpstreamClient


def apply_to_connections(
    upstream: UpstreamClient, update: EndpointUpdate, addresses: dict[int, Address]
) -> None:
    """Add, move and remove the endpoints of an update at the upstream client.

    Args:
        upstream: The connections to all endpoints.
        update: The snapshot or delta of the endpoint list.
        addresses: Address of each endpoint of the update that is not gone, by endpoint id.
    """
    if update.kind is not UpdateKind.DELTA:
        for endpoint_id in [known for known in upstream.pools if known not in addresses]:
            upstream.remove_endpoint(endpoint_id)
    for record in update.records:
        _apply_record(upstream, record, addresses)


def _apply_record(upstream: UpstreamClient, record: EndpointRecord, addresses: dict[int, Address]) -> None:
    endpoint_id = record.endpoint_id
    if record.state is EndpointState.GONE:
        upstream.remove_endpoint(endpoint_id)
    else:
        upstream.set_endpoint(endpoint_id, addresses[endpoint_id], record.started_at)
    if record.state is EndpointState.DRAINING:
        upstream.cancel_waiting_attempts(endpoint_id)
