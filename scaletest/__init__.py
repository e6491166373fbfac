"""Scale experiments: measure the real policy with the endpoint lists and requests of a synthetic fleet."""
