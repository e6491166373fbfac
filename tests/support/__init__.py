"""Fakes and settings that the tests share."""
