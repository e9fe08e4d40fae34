"""Pure decisions: scheduling, limits, retries, address answers, map planning."""
