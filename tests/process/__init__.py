"""Tests of a whole gateway process on loopback sockets."""
