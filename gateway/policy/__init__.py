"""The decisions of an admission gateway, without I/O or a clock, and with the standard library only."""
