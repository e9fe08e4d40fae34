"""Scenarios, checkers of the promises, and the fault matrix over the real tasks."""
