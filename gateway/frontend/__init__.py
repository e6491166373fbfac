"""The HTTP/1.1 server: client connections, requests and responses."""
