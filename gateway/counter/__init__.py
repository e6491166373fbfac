"""Client of the central counter service, which speaks RESP2."""
