"""Tests of the policy, in simulated time."""
