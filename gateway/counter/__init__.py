"""The counter service over RESP."""
