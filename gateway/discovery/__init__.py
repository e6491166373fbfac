"""Endpoint discovery: watches on the agent and the endpoint list."""
