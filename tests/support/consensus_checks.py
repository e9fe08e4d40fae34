"""Promises of the replicated log, checked from outside of the replicas."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamotchute_consensus.log_entry import LogEntry
from bergamotchute_consensus.replica_state import ReplicaState


class InvariantViolation(AssertionError):
    """A promise of the replicated log doesn't hold."""


@dataclass
class ConsensusChecks:
    """What has been seen of all replicas, over crashes and wipes."""

    leaders: dict[int, str] = field(default_factory=dict)
    appended: dict[tuple[int, int], tuple[LogEntry, int]] = field(default_factory=dict)
    committed: dict[int, LogEntry] = field(default_factory=dict)
    acknowledged: set[str] = field(default_factory=set)
    committed_at_read: dict[str, int] = field(default_factory=dict)
    allowed_read_count: int = 0

    @property
    def committed_index(self) -> int:
        return max(self.committed, default=0)

    def on_leader_elected(self, replica: str, state: ReplicaState) -> None:
        """Election safety and leader completeness."""
        other = self.leaders.setdefault(state.term, replica)
        if other != replica:
            raise InvariantViolation(
                f"election safety: term {state.term} has {other} and {replica}"
            )
        for index, entry in self.committed.items():
            if index <= state.log.base_index:
                continue
            if state.log.term_at(index) != entry.term:
                raise InvariantViolation(
                    f"leader completeness: {replica} leads term {state.term} without {index}"
                )

    def on_append(self, state: ReplicaState, entries: tuple[LogEntry, ...]) -> None:
        """Log matching: one index and term is one entry after one predecessor."""
        for entry in entries:
            previous = state.log.term_at(entry.index - 1)
            if previous is None:
                continue
            seen = self.appended.setdefault((entry.index, entry.term), (entry, previous))
            if seen != (entry, previous):
                raise InvariantViolation(f"log matching: {seen} and {(entry, previous)}")

    def on_apply(self, entry: LogEntry, applied_before: int) -> None:
        """State machine safety: everybody applies the same entries, in order, each once."""
        if entry.index != applied_before + 1:
            raise InvariantViolation(f"applied {entry.index} after {applied_before}")
        if self.committed.setdefault(entry.index, entry) != entry:
            raise InvariantViolation(f"two entries are committed at {entry.index}")

    def on_restore(self, index: int, applied_before: int, data: bytes, expected: bytes) -> None:
        """A snapshot never takes a state back, and is what the entries amount to."""
        if index < applied_before:
            raise InvariantViolation(f"reverted from {applied_before} to {index}")
        if data != expected:
            raise InvariantViolation(f"the snapshot at {index} differs from the entries")

    def on_read_requested(self, token: str) -> None:
        self.committed_at_read[token] = self.committed_index

    def on_read_allowed(self, token: str, applied: int) -> None:
        """Linearizable reads: all that was committed when the read came is in the answer."""
        self.allowed_read_count += 1
        if applied < self.committed_at_read[token]:
            raise InvariantViolation(
                f"read {token} saw {applied}, committed was {self.committed_at_read[token]}"
            )
