"""Tests of the simulator's wire and its adapter."""
