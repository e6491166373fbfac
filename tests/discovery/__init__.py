"""Tests of endpoint discovery."""
