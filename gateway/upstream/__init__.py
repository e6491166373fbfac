"""The client side: attempts on endpoints, their connections, and a pool of connections to each endpoint."""
