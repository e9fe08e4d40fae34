"""Invariants of the replicated log, checked from outside of the replicas."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamotchute_consensus.log_entry import LogEntry
from bergamotchute_consensus.replica_state import ReplicaState


class InvariantViolation(AssertionError):
    """An invariant of the replicated log is violated."""


@dataclass
class ConsensusChecks:
    """Checks the observed behaviour of all replicas, across crashes and wiped disks.

    :param leaders: the leader of each term.
    :param appended: entry and term of its predecessor, by index and term.
    :param committed: committed entries by index.
    :param acknowledged: tokens of the commands whose commit was reported.
    :param committed_at_read: the committed index when each read was requested, by token.
    """

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
        """Check election safety and leader completeness."""
        other = self.leaders.setdefault(state.term, replica)
        if other != replica:
            raise InvariantViolation(
                f"election safety: term {state.term} has the leaders {other} and {replica}"
            )
        for index, entry in self.committed.items():
            if index <= state.log.base_index:
                continue
            if state.log.term_at(index) != entry.term:
                raise InvariantViolation(
                    f"leader completeness: {replica} leads term {state.term} without entry {index}"
                )

    def on_append(self, state: ReplicaState, entries: tuple[LogEntry, ...]) -> None:
        """Check log matching: an index and term determine the entry and its predecessor."""
        for entry in entries:
            previous = state.log.term_at(entry.index - 1)
            if previous is None:
                continue
            seen = self.appended.setdefault((entry.index, entry.term), (entry, previous))
            if seen != (entry, previous):
                raise InvariantViolation(f"log matching: {seen} differs from {(entry, previous)}")

    def on_apply(self, entry: LogEntry, applied_before: int) -> None:
        """Check state machine safety: all replicas apply the same entries, in order, once each."""
        if entry.index != applied_before + 1:
            raise InvariantViolation(
                f"entry {entry.index} was applied after entry {applied_before}"
            )
        if self.committed.setdefault(entry.index, entry) != entry:
            raise InvariantViolation(f"two different entries are committed at index {entry.index}")

    def on_restore(self, index: int, applied_before: int, data: bytes, expected: bytes) -> None:
        """Check that a snapshot never reverts the state and equals the result of the entries."""
        if index < applied_before:
            raise InvariantViolation(
                f"the state was reverted from index {applied_before} to {index}"
            )
        if data != expected:
            raise InvariantViolation(
                f"the snapshot at index {index} differs from the result of the entries"
            )

    def on_read_requested(self, token: str) -> None:
        self.committed_at_read[token] = self.committed_index

    def on_read_allowed(self, token: str, applied: int) -> None:
        """Check linearizable reads: a read sees all entries committed when it was requested."""
        self.allowed_read_count += 1
        if applied < self.committed_at_read[token]:
            raise InvariantViolation(
                f"read {token} saw index {applied}, committed was {self.committed_at_read[token]}"
            )
