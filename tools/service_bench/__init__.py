"""Fakes around the real scheduling decisions, on a simulated clock."""
