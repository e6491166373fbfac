"""The simulator's wire protocol, and an adapter that runs the policy in the simulator."""
