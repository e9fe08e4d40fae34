"""A limit on the total size of many buffers of a process."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass


@dataclass
class ByteBudget:
    """Count buffered bytes against one limit, so that no peer can exhaust the memory.

    :param limit_bytes: the total of bytes that may be buffered at a time.
    :param held: bytes that are buffered now.
    """

    limit_bytes: int
    held: int = 0

    @contextmanager
    def open_claim(self) -> Iterator[ByteClaim]:
        """Open the claim of one buffer; its bytes are released when the context exits."""
        claim = ByteClaim(self)
        try:
            yield claim
        finally:
            self.held -= claim.size


@dataclass
class ByteClaim:
    """The bytes of a budget that one buffer holds."""

    budget: ByteBudget
    size: int = 0

    def shrink(self, size: int) -> None:
        """Release a part of the bytes."""
        self.budget.held -= size
        self.size -= size

    def try_grow(self, size: int) -> bool:
        """Claim more bytes if they fit into the budget; return whether they did."""
        if self.budget.held + size > self.budget.limit_bytes:
            return False
        self.budget.held += size
        self.size += size
        return True
