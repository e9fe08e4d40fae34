"""The log entries that a replica keeps in memory."""

from __future__ import annotations

from collections.abc import Sequence

from bergamotchute_consensus.log_entry import LogEntry


class ReplicaLog:
    """Log entries after a base index; a snapshot covers the base and all before it.

    :param base_index: the index before the first retained entry.
    :param base_term: the term at ``base_index``.
    """

    def __init__(
        self, base_index: int = 0, base_term: int = 0, entries: Sequence[LogEntry] = ()
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.entries = list(entries)

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term at ``index``, or ``None`` outside of the retained log."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry(self, index: int) -> LogEntry:
        """Return the entry at ``index``, which must be retained."""
        return self.entries[index - self.base_index - 1]

    def batch(self, start: int, limit_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from ``start`` on, up to ``limit_bytes``.

        The first entry is included even if it exceeds the limit.
        """
        size = 0
        first = start - self.base_index - 1
        end = first
        while end < len(self.entries):
            size += len(self.entries[end].data)
            if size > limit_bytes and end > first:
                break
            end += 1
        return tuple(self.entries[first:end])

    def index_before(self, index: int, limit_bytes: int) -> int:
        """Return the index before the longest run of entries to ``index`` within a size limit."""
        size = 0
        while index > self.base_index:
            size += len(self.entry(index).data)
            if size > limit_bytes:
                break
            index -= 1
        return index

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries that follow the last index."""
        self.entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Remove the entries from ``index`` on."""
        del self.entries[index - self.base_index - 1 :]

    def drop_through(self, index: int) -> None:
        """Remove the entries up to and including ``index``, which becomes the base."""
        term = self.term_at(index)
        if term is None:
            raise ValueError(f"index {index} is outside of the retained log")
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Remove all entries and set the base to ``index``."""
        self.entries.clear()
        self.base_index = index
        self.base_term = term

    def first_index_of_term(self, index: int) -> int:
        """Return the lowest retained index with the same term as ``index``."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index
