"""Decision logic without I/O: scheduling, limits, retries, address answers and map planning."""
