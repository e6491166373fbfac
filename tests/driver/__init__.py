"""Tests of `gateway.driver`."""
