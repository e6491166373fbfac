"""Clients over HTTP/1.1."""
