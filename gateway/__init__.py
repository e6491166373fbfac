"""An HTTP admission gateway and load balancer for a service whose customers have plans with quotas."""
