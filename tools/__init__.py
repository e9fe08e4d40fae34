"""Checks that CI runs and programs that measure."""
