"""A simulated request and what became of it."""

from __future__ import annotations

from dataclasses import dataclass, field

from tools.group_bench.group_file import RequestKind


@dataclass(slots=True)
class SimulatedRequest:
    """One request of a caller, over all its attempts.

    :param first_asked_at: when the caller sent it first.
    :param asked_at: when the caller sent the present attempt.
    :param size: its size over the mean of its kind.
    :param first_event_at: when the caller got the first event; ``None`` before.
    :param last_event_at: when the caller got the newest event.
    :param longest_pause_s: the longest time between two events.
    :param refusals: how often it was refused.
    :param refusal_waits_s: how long it had waited for a slot at each refusal.
    :param started_at: when it got a slot.
    :param outcome: what became of it: empty while it runs or waits.
    """

    number: int
    kind: RequestKind
    first_asked_at: float
    asked_at: float
    prompt_left: float
    events_left: int
    size: float
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_pause_s: float = 0.0
    refusals: int = 0
    outcome: str = ""
    started_at: float = 0.0
    refusal_waits_s: list[float] = field(default_factory=list)

    @property
    def is_late_to_begin(self) -> bool:
        """Return whether the response came whole and its first event was late."""
        return (
            self.outcome == "done"
            and self.first_event_at is not None
            and self.first_event_at - self.first_asked_at > self.kind.objective_s
        )

    @property
    def has_long_pause(self) -> bool:
        """Return whether the response came whole and a pause in it was too long."""
        return self.outcome == "done" and self.longest_pause_s > self.kind.pause_s

    @property
    def is_in_time(self) -> bool:
        """Return whether the whole response met both objectives."""
        is_done = self.outcome == "done"
        return is_done and not self.is_late_to_begin and not self.has_long_pause

    @property
    def owed(self) -> float:
        """The value of the response when it is in time."""
        return self.kind.worth * (0.3 + 0.7 * min(4.0, self.size))

    @property
    def earned(self) -> float:
        """The value of the response as it came."""
        if self.outcome != "done":
            return 0.0
        return self.owed * (1.0 if self.is_in_time else self.kind.late_worth)
