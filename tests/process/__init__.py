"""Tests of the whole process: requests, start, reload, shutdown and configuration."""
