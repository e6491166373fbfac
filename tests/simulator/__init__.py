"""Tests of the simulator codec and its adapter."""
