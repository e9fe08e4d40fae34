"""Links between processes, and HTTP towards callers, operators and engines."""
