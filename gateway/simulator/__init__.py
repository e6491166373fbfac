"""The simulator's wire and the adapter that hosts the policy on it."""
