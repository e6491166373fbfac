"""Tests of the gateway and of the scale experiments."""
