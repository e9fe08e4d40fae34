"""The operator and caller command."""
