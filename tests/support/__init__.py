"""Fakes, settings and helpers that several test modules use."""
