"""The client of the shared counter service, over RESP2."""
