"""HTTP client for the endpoints: attempts, connections, and a connection pool for each endpoint."""
