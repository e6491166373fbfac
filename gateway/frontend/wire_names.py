"""The names that clients' requests have on the wire, beside the terms that the code uses for them."""

from __future__ import annotations

# Headers, in lower case.
CALL_TERMS = b"x-call-terms"  # `CallTerms`
CLIENT_RETRY = b"client-retry"  # `RequestMetadata.is_retry`
IDEMPOTENCY_KEY = b"idempotency-key"  # the key of a class whose effect is `Effect.IDEMPOTENT_WITH_KEY`
PLAN = b"x-tier"  # `RequestMetadata.plan_index`
REQUEST_CLASS = b"request-class"  # `RequestMetadata.class_index`
REQUEST_ID = b"request-id"  # `RequestMetadata.request_id`
TIMEOUT = b"request-timeout"  # `RequestMetadata.timeout`

# Headers of HTTP itself.
CONTENT_LENGTH = b"content-length"
EXPECT = b"expect"
HOST = b"host"

# Fields of the X-Call-Terms header.
UNITS = "units"  # `CallTerms.units`
GATEWAY_SET_SIZE = "spread"  # `CallTerms.gateway_set_size`
FIRST_GATEWAY = "first"  # `CallTerms.first_gateway`

# Fields of the query.
CUSTOMER = "customer"  # `RequestMetadata.customer`
