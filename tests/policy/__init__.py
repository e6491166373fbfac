"""Tests of the policy, in fake time."""
