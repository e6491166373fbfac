"""Endpoint discovery: watches on the discovery agent, and its endpoint list as typed updates."""
