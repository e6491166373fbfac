"""The client side: attempts on endpoints, their connections and the pools that keep these."""
