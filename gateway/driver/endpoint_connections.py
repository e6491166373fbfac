"""Applies updates of the endpoint list to the upstream connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gateway.policy.events import EndpointRecord, EndpointState, EndpointUpdate, UpdateKind

if TYPE_CHECKING:
    from gateway.address import Address
    from gateway.upstream.client import UpstreamClient


def apply_to_connections(
    upstream: UpstreamClient, update: EndpointUpdate, addresses: dict[int, Address]
) -> None:
    """Add, update and remove the endpoints of an update in the upstream client.

    Args:
        upstream: Has a connection pool for each endpoint.
        update: The snapshot or delta of the endpoint list.
        addresses: Addresses by endpoint id, of all endpoints in the update that are not gone.
    """
    if update.kind is not UpdateKind.DELTA:
        for endpoint_id in [pooled for pooled in upstream.pools if pooled not in addresses]:
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
