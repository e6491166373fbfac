"""An admission gateway and load balancer for a service sold by plan."""
