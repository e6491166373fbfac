"""Tests of the counter client."""
