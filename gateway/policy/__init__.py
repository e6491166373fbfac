"""The decisions of an admission gateway: no I/O, no clock, standard library only."""
