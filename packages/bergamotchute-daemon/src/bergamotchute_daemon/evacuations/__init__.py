"""Evacuations of availability zones, as ordered by operators and told to entries."""
