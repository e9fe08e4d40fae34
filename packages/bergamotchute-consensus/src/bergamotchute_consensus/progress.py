"""A leader's view of the log of another replica."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass
class Progress:
    """A leader's view of the log of another replica.

    :param next_index: index of the next entry to send.
    :param match_index: index of the last entry known to be durable on the replica.
    :param probing: the last matching index is unknown; one message is sent at a time.
    :param probe_sent: a probe is in flight.
    :param in_flight: last index and size in bytes of each message with entries that awaits a
        reply.
    :param last_reply_at: time of the last reply, in seconds on the runtime's clock.
    :param acknowledged_round: the newest quorum round that the replica replied to.
    :param snapshot_index: index of the snapshot being sent; 0 for none.
    :param snapshot_offset: offset of the next snapshot chunk, in bytes.
    """

    next_index: int
    match_index: int = 0
    probing: bool = True
    probe_sent: bool = False
    in_flight: deque[tuple[int, int]] = field(default_factory=deque)
    in_flight_bytes: int = 0
    last_reply_at: float = 0.0
    acknowledged_round: int = 0
    snapshot_index: int = 0
    snapshot_offset: int = 0

    def record_sent(self, last_index: int, size_bytes: int) -> None:
        """Record a message with entries up to ``last_index``, which awaits a reply."""
        self.next_index = last_index + 1
        self.in_flight.append((last_index, size_bytes))
        self.in_flight_bytes += size_bytes

    def probe_from(self, index: int) -> None:
        """Start probing at ``index``, with one message at a time."""
        self.next_index = max(index, self.match_index + 1)
        self.probing = True
        self.probe_sent = False
        self.in_flight.clear()
        self.in_flight_bytes = 0
        self.snapshot_index = 0

    def advance_match_index(self, match: int) -> None:
        """Record that the replica holds the entries up to ``match`` durably."""
        self.match_index = max(self.match_index, match)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False
        self.probe_sent = False
        while self.in_flight and self.in_flight[0][0] <= self.match_index:
            self.in_flight_bytes -= self.in_flight.popleft()[1]

    def record_reply(self, number: int, now: float) -> None:
        """Record a reply to a message of the quorum round ``number``."""
        self.last_reply_at = now
        self.acknowledged_round = max(self.acknowledged_round, number)
