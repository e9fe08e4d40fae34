"""An entry that sends requests to endpoints directly: filters, placement, attempts, responses."""
