"""Real processes on loopback under a series of faults, with checks of what callers see."""
