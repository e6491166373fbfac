"""Tests of the scale experiments."""
