"""Tests of gateway.upstream."""
