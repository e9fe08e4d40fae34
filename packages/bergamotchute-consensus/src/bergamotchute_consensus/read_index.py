"""Reads that wait until a quorum confirms the leader."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class ReadQueue:
    """Reads of one leader; at most one quorum round for reads is under way.

    A read joins the round that begins after it came, never one that began before.

    :param waiting: reads whose round hasn't begun.
    :param confirming: reads whose round is under way.
    :param round: the number of that round.
    """

    waiting: list[str] = field(default_factory=list)
    confirming: list[str] = field(default_factory=list)
    round: int = 0

    def begin(self, number: int) -> None:
        """Let all waiting reads join the round ``number`` that begins now."""
        self.confirming = self.waiting
        self.waiting = []
        self.round = number

    def take_confirmed(self) -> list[str]:
        """Return the reads of the finished round."""
        confirmed = self.confirming
        self.confirming = []
        return confirmed

    def take_all(self) -> list[str]:
        """Return all reads, because the leader ceases to lead."""
        reads = self.confirming + self.waiting
        self.confirming = []
        self.waiting = []
        return reads
