"""Tests of the HTTP front end."""
