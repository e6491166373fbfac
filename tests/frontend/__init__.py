"""Tests of gateway.frontend."""
