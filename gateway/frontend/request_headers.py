"""Names of headers, header fields and query parameters of requests on the wire.

Most constants are named after the field of `RequestMetadata` or `CallTerms` that is parsed from the value.
Header names are in lower case, as in `ReceivedRequest`.
"""

from __future__ import annotations

REQUEST_ID = b"request-id"
REQUEST_CLASS = b"request-class"  # its value has to equal the first segment of the path
PLAN = b"x-tier"  # name of the plan
TIMEOUT = b"request-timeout"
IDEMPOTENCY_KEY = b"idempotency-key"
CALL_TERMS = b"x-call-terms"  # see CallTerms; its keys are below
IS_RETRY = b"client-retry"
IS_RETRY_TRUE = b"1"  # value of Client-Retry for a retry
CONTENT_LENGTH = b"content-length"
HOST = b"host"

# Keys in X-Call-Terms, each for a field of CallTerms.
UNITS = "units"
GATEWAY_SET_SIZE = "spread"
FIRST_GATEWAY = "first"

# Query parameter of the target.
CUSTOMER = "customer"

# Headers that may occur only once: the gateway and an endpoint could use different values of a repeated one.
SINGLETON_HEADERS = frozenset(
    {
        REQUEST_ID,
        REQUEST_CLASS,
        PLAN,
        TIMEOUT,
        IDEMPOTENCY_KEY,
        CALL_TERMS,
        CONTENT_LENGTH,
        HOST,
        IS_RETRY,
    }
)
