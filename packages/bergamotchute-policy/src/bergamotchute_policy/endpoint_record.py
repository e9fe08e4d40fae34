"""What one entry knows of one endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import ceil

from bergamotchute_model.attempt_messages import EndpointLoad
from bergamotchute_policy.work import Size, Work

SPEED_WEIGHT = 0.1
EJECTION_DOUBLINGS = 5


@dataclass(frozen=True, slots=True)
class InFlight:
    """An attempt that this entry sent and did not yet see end.

    :param sent_at: when, on the runtime's clock.
    """

    work: Work
    sent_at: float


@dataclass(slots=True)
class EndpointRecord:
    """The load and the health of an endpoint, as far as this entry can tell.

    The entry knows its own attempts exactly. What other entries sent it learns from load reports,
    which come late; the part of a report that the entry itself caused is taken out of it.

    :param slots: attempts that the engine runs side by side.
    :param since: when this incarnation was first seen, or came back from an ejection.
    :param speed: tokens a second of one attempt; 0 while unknown.
    :param others: attempts of other entries, by the last report.
    :param others_long: those among them that are long.
    :param others_now: how many of other entries it is expected to hold by now.
    :param entries: entries that share the endpoint, by the last report.
    :param reported_at: when the last report came.
    :param failures: failures in a row.
    :param ejections: ejections in a row.
    """

    endpoint: str
    incarnation: str
    availability_zone: str
    slots: int
    since: float
    draining: bool = False
    in_flight: dict[str, InFlight] = field(default_factory=dict)
    long_in_flight: int = 0
    speed: float = 0.0
    others: int = 0
    others_long: int = 0
    others_now: float = 0.0
    entries: int = 1
    reported_at: float = float("-inf")
    report_sequence: int = -1
    announcement_sequence: int = -1
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")

    def busy(self) -> float:
        """Return the attempts that it is expected to hold, of this entry and of others."""
        return len(self.in_flight) + self.others_now

    def share(self) -> int:
        """Return the slots that this entry may fill whatever the others do, at least one.

        Without it an entry that always fills a freed slot at once would keep out one that learns
        of free slots late.
        """
        return max(1, self.slots // max(1, self.entries))

    def limit(self, now: float, slow_start_s: float) -> int:
        """Return the attempts that it may hold: its slots, fewer for a while after a start."""
        age = now - self.since
        if age >= slow_start_s:
            return self.slots
        return max(1, ceil(self.slots * age / slow_start_s))

    def add(self, work: Work, now: float) -> None:
        """Count an attempt that is being sent."""
        self.in_flight[work.request_id] = InFlight(work, now)
        if work.size is Size.LONG:
            self.long_in_flight += 1

    def remove(self, request_id: str) -> InFlight | None:
        """Stop to count an attempt; ``None`` when it is not known here."""
        attempt = self.in_flight.pop(request_id, None)
        if attempt is not None and attempt.work.size is Size.LONG:
            self.long_in_flight -= 1
        return attempt

    def learn_speed(self, tokens: float, elapsed_s: float) -> None:
        """Take the tokens and the duration of a whole answer into the speed."""
        if tokens <= 0 or elapsed_s <= 0:
            return
        sample = tokens / elapsed_s
        if self.speed == 0.0:
            self.speed = sample
        else:
            self.speed += SPEED_WEIGHT * (sample - self.speed)

    def read_report(self, load: EndpointLoad, now: float) -> None:
        """Take what other entries sent from a load report."""
        total = load.running + load.waiting
        own = load.yours if load.yours >= 0 else min(total, len(self.in_flight))
        own_long = load.yours_long if load.yours >= 0 else min(load.long, self.long_in_flight)
        self.others = max(0, total - own)
        self.others_long = max(0, load.long - own_long)
        self.entries = max(1, load.entries)
        self.slots = max(1, load.slots)
        self.draining = self.draining or load.draining
        self.report_sequence = load.sequence
        self.reported_at = now

    def forget_others(self) -> None:
        """Drop what a report said of other entries; it is too old to mean anything."""
        self.others = 0
        self.others_long = 0
        self.others_now = 0.0

    def eject(self, now: float, ejection_s: float) -> None:
        """Set the endpoint aside, longer each time; it then comes back by slow start."""
        doublings = min(self.ejections, EJECTION_DOUBLINGS)
        self.ejections += 1
        self.failures = 0
        self.ejected_until = now + ejection_s * 2**doublings
        self.since = self.ejected_until
