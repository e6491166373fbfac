"""Tests of the upstream client."""
