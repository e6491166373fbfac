"""Connections to endpoints and the attempts on them."""
