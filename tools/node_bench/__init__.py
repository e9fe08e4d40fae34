"""Measures what the processes of a deployment cost in processor time."""
