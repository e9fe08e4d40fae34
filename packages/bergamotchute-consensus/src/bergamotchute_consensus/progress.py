"""What a leader knows of another replica."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass
class Progress:
    """What a leader knows of another replica.

    :param next_index: the next entry to send.
    :param match_index: the last entry known to be durable there.
    :param probing: where its log ends is not known yet; one message goes at a time.
    :param probe_sent: that one message is on its way.
    :param in_flight: last index of each message with entries that is unanswered.
    :param last_reply_at: when its last reply came.
    :param acknowledged_round: the newest quorum round it has answered.
    :param snapshot_index: the snapshot being sent; 0 for none.
    :param snapshot_offset: the next byte of it to send.
    """

    next_index: int
    match_index: int = 0
    probing: bool = True
    probe_sent: bool = False
    in_flight: deque[int] = field(default_factory=deque)
    last_reply_at: float = 0.0
    acknowledged_round: int = 0
    snapshot_index: int = 0
    snapshot_offset: int = 0

    def probe_from(self, index: int) -> None:
        """Go back to one message at a time, beginning at ``index``."""
        self.next_index = max(index, self.match_index + 1)
        self.probing = True
        self.probe_sent = False
        self.in_flight.clear()
        self.snapshot_index = 0

    def advance(self, match: int) -> None:
        """Note that entries up to ``match`` are durable there."""
        self.match_index = max(self.match_index, match)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False
        self.probe_sent = False
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()

    def note_answer(self, number: int, now: float) -> None:
        """Note that it answered a message of the quorum round ``number``."""
        self.last_reply_at = now
        self.acknowledged_round = max(self.acknowledged_round, number)
