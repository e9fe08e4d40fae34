"""The replicated control state and the stores that it consists of."""
