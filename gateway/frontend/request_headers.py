"""The names that a request has on the wire, mapped here to the names of the code.

Each constant is named as the field of `RequestMetadata` or `CallTerms` that it becomes.  Header names are in
lower case, as the reader of requests gives them.
"""

from __future__ import annotations

REQUEST_ID = b"request-id"
REQUEST_CLASS = b"request-class"  # class_index; it repeats the first segment of the path
PLAN = b"x-tier"  # plan_index
TIMEOUT = b"request-timeout"
IDEMPOTENCY_KEY = b"idempotency-key"
CALL_TERMS = b"x-call-terms"  # CallTerms, by the keys below
IS_RETRY = b"client-retry"
IS_RETRY_TRUE = b"1"  # the value of a retry
CONTENT_LENGTH = b"content-length"
HOST = b"host"

# Keys of X-Call-Terms, each a field of CallTerms.
UNITS = "units"
GATEWAY_SET_SIZE = "spread"
FIRST_GATEWAY = "first"

# Fields of the target's query.
CUSTOMER = "customer"

# Headers of which a second one could be read differently here and at an endpoint.
UNIQUE = frozenset(
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
