"""Tests of the process: requests through it, its start, reload and shutdown, and its configuration."""
