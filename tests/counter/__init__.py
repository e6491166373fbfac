"""Tests of the counter's client."""
