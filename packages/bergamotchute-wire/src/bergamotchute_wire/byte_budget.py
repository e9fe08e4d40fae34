"""A bound on the bytes that many buffers of a process hold together."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass


@dataclass
class ByteBudget:
    """Counts what is held against one limit, so that no peer can fill the memory.

    :param limit: bytes that may be held at a time.
    """

    limit: int
    held: int = 0

    @contextmanager
    def claim(self) -> Iterator[ByteClaim]:
        """Open the claim of one buffer; what it took is given back at the end."""
        claim = ByteClaim(self)
        try:
            yield claim
        finally:
            self.held -= claim.size


@dataclass
class ByteClaim:
    """What one buffer holds of a budget."""

    budget: ByteBudget
    size: int = 0

    def grow(self, size: int) -> bool:
        """Take more bytes; return whether they fit into the budget."""
        if self.budget.held + size > self.budget.limit:
            return False
        self.budget.held += size
        self.size += size
        return True
