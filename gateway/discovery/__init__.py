"""Endpoint discovery: watches a discovery agent, and decodes its endpoint list into typed updates."""
