"""The load and health of one endpoint as one entry sees them."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import ceil

from bergamotchute_model.attempt_messages import EndpointLoad
from bergamotchute_policy.work import RequestSize, Work

SPEED_SAMPLE_WEIGHT = 0.1
MAX_EJECTION_DOUBLINGS = 5


@dataclass(frozen=True, slots=True)
class InFlightAttempt:
    """An attempt that this entry sent and that has not ended.

    :param sent_at: time of the dispatch on the runtime's clock, in seconds.
    """

    work: Work
    sent_at: float


@dataclass(slots=True)
class EndpointRecord:
    """The load and health of an endpoint, as far as this entry can tell.

    The entry knows its own attempts exactly. It learns of other entries' attempts from load
    reports, which arrive late; the entry's own attempts are subtracted from each report.

    Times are in seconds on the runtime's clock.

    :param slots: attempts that the engine runs concurrently.
    :param slow_start_at: when this incarnation was first seen, or when its last ejection ends.
    :param speed_tokens_per_s: tokens per second of one attempt; 0 while unknown.
    :param other_attempts: attempts of other entries, from the last load report.
    :param other_long_attempts: the long ones among the attempts of other entries.
    :param expected_other_attempts: estimate of the attempts of other entries at present.
    :param entries: entries that share the endpoint, from the last load report.
    :param reported_at: when the last load report arrived.
    :param consecutive_failures: failed attempts since the last completed one or the last ejection.
    :param consecutive_ejections: ejections without a completed attempt in between.
    :param ejected_until: when the current ejection ends; the endpoint gets no work before.
    """

    endpoint: str
    incarnation: str
    availability_zone: str
    slots: int
    slow_start_at: float
    draining: bool = False
    in_flight: dict[str, InFlightAttempt] = field(default_factory=dict)
    long_in_flight: int = 0
    speed_tokens_per_s: float = 0.0
    other_attempts: int = 0
    other_long_attempts: int = 0
    expected_other_attempts: float = 0.0
    entries: int = 1
    reported_at: float = float("-inf")
    report_sequence: int = -1
    announcement_sequence: int = -1
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until: float = float("-inf")

    def busy(self) -> float:
        """Return the expected number of attempts at the endpoint, from all entries."""
        return len(self.in_flight) + self.expected_other_attempts

    def guaranteed_slots(self) -> int:
        """Return the slots that this entry may fill regardless of other entries, at least one.

        Without this guarantee, an entry that refills each freed slot at once would starve an entry
        that learns of free slots late.
        """
        return max(1, self.slots // max(1, self.entries))

    def attempt_limit(self, now: float, slow_start_s: float) -> int:
        """Return the maximum number of attempts: the slots, or fewer during slow start."""
        age = now - self.slow_start_at
        if age >= slow_start_s:
            return self.slots
        return max(1, ceil(self.slots * age / slow_start_s))

    def add_attempt(self, work: Work, now: float) -> None:
        """Count an attempt that is being dispatched."""
        self.in_flight[work.request_id] = InFlightAttempt(work, now)
        if work.size is RequestSize.LONG:
            self.long_in_flight += 1

    def remove_attempt(self, request_id: str) -> InFlightAttempt | None:
        """Stop counting an attempt and return it; ``None`` if it is unknown."""
        attempt = self.in_flight.pop(request_id, None)
        if attempt is not None and attempt.work.size is RequestSize.LONG:
            self.long_in_flight -= 1
        return attempt

    def record_speed(self, tokens: float, elapsed_s: float) -> None:
        """Update the moving average of the speed with a complete answer."""
        if tokens <= 0 or elapsed_s <= 0:
            return
        sample = tokens / elapsed_s
        if self.speed_tokens_per_s == 0.0:
            self.speed_tokens_per_s = sample
        else:
            self.speed_tokens_per_s += SPEED_SAMPLE_WEIGHT * (sample - self.speed_tokens_per_s)

    def apply_load_report(self, load: EndpointLoad, now: float) -> None:
        """Update the load caused by other entries from a load report."""
        total = load.running + load.waiting
        own = load.yours if load.yours >= 0 else min(total, len(self.in_flight))
        own_long = load.yours_long if load.yours >= 0 else min(load.long, self.long_in_flight)
        self.other_attempts = max(0, total - own)
        self.other_long_attempts = max(0, load.long - own_long)
        self.entries = max(1, load.entries)
        self.slots = max(1, load.slots)
        self.draining = self.draining or load.draining
        self.report_sequence = load.sequence
        self.reported_at = now

    def clear_other_attempts(self) -> None:
        """Reset the load caused by other entries once the last report is stale."""
        self.other_attempts = 0
        self.other_long_attempts = 0
        self.expected_other_attempts = 0.0

    def eject(self, now: float, ejection_s: float) -> None:
        """Exclude the endpoint for a time that doubles with each ejection; then slow start."""
        doublings = min(self.consecutive_ejections, MAX_EJECTION_DOUBLINGS)
        self.consecutive_ejections += 1
        self.consecutive_failures = 0
        self.ejected_until = now + ejection_s * 2**doublings
        self.slow_start_at = self.ejected_until
