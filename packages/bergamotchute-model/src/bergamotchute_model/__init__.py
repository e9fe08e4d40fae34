"""Frozen data that every bergamotchute process shares; it does no input or output."""
