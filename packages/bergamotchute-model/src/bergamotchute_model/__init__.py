"""Immutable data types shared by all bergamotchute processes; this package does no I/O."""
