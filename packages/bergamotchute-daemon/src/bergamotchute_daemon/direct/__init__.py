"""An entry that calls endpoints itself: filters, placement, attempts, answers."""
