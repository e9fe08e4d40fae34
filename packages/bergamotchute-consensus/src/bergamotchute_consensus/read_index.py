"""Queue of reads that wait until a quorum confirms the leader."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class ReadQueue:
    """Reads of one leader; only one quorum round for reads runs at a time.

    A read joins a round that starts after the read arrived, never an earlier one, because only a
    later round proves that this replica still led when the read arrived.

    :param waiting: reads whose round has not started.
    :param confirming: reads whose round is running.
    :param round: number of the running round.
    """

    waiting: list[str] = field(default_factory=list)
    confirming: list[str] = field(default_factory=list)
    round: int = 0

    def begin_round(self, number: int) -> None:
        """Move all waiting reads to the round ``number``, which starts now."""
        self.confirming = self.waiting
        self.waiting = []
        self.round = number

    def take_confirmed(self) -> list[str]:
        """Remove and return the reads of the confirmed round."""
        confirmed = self.confirming
        self.confirming = []
        return confirmed

    def take_all(self) -> list[str]:
        """Remove and return all reads, because the leader steps down."""
        reads = self.confirming + self.waiting
        self.confirming = []
        self.waiting = []
        return reads
