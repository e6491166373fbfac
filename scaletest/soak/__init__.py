"""A soak: real gateway processes between stand-ins that misbehave as a seed says, judged from outside."""
