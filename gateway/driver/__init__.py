"""The policy driver: delivers events to the policy and executes the actions that the policy returns."""
