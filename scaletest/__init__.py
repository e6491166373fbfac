"""Experiments on fleets of hollow front doors: the real decisions, with all around them emulated."""
