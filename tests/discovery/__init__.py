"""Tests of the discovery client."""
