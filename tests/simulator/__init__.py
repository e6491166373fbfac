"""Tests of the simulator's codec and adapter."""
