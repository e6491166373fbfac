"""Stand-ins for the services round a gateway, for tests and soaks: endpoints, discovery, the counter."""
