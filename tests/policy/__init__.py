"""Tests of the policy, one file for each module."""
