"""How many requests may run at an engine so that its streams keep their pace.

Load pattern: demand for experts turned, or the ranks of a group came back with their first map, and a
pass takes twice as long as usual. With all slots taken, each stream has pauses longer than its caller
bears, so all of them are late. With some slots left free, passes are short enough, and nearly as many
drafts end a second.
"""

from __future__ import annotations

from dataclasses import dataclass

from bergamotchute_model.node_messages import EnginePace

TIMED_S = 0.15
"""Passes are timed over at least this long, as pass numbers are told a few times a second."""

LONGEST_PASS_S = 0.25
"""A longer one stood still for another reason, such as a change of map."""

PACE_PART = 0.92
"""Part of the longest pause that a pass may take; the rest is for the way to the caller."""

LIMITED_PART = 0.8
"""Part of it from which requests are limited: short passes say little of how full an engine may be."""

LEAST_PART = 0.5
"""Part of the slots that may always be taken: work must end, also at the pace of a slow rank."""


@dataclass
class PassLimit:
    """The limit of one engine, from the passes that it made.

    :param pace: what entries told of the engine; ``None`` while none did.
    :param epoch: the life of the group in which passes are timed.
    :param step: the newest pass at the last reading.
    :param requests: at the engine then.
    :param at: when that was, on the runtime's clock.
    :param pass_s: the time of the last passes in this epoch, in seconds; ``None`` while unknown.
    :param pass_requests: requests that ran meanwhile.
    """

    pace: EnginePace | None = None
    epoch: int = 0
    step: int = 0
    requests: int = 0
    at: float = 0.0
    pass_s: float | None = None
    pass_requests: float = 0.0

    def observe(self, epoch: int, step: int, requests: int, now: float) -> None:
        """Take a reading of the engine's newest pass and its requests."""
        if epoch != self.epoch:
            self.epoch, self.pass_s = epoch, None
        elif now - self.at < TIMED_S:
            return
        elif step > self.step and self.requests and requests:
            pass_s = (now - self.at) / (step - self.step)
            if pass_s <= LONGEST_PASS_S:
                self.pass_s = pass_s
                self.pass_requests = (self.requests + requests) / 2
        self.step, self.requests, self.at = step, requests, now

    def most_requests(self) -> int | None:
        """Return how many requests may run; ``None`` for no limit but the slots."""
        pace = self.pace
        if pace is None:
            return None
        longest_s = PACE_PART * pace.pause_s
        added_s = pace.added_s
        if self.pass_s is not None:
            if self.pass_s < LIMITED_PART * longest_s:
                return None
            added_s = max(0.0, self.pass_s - pace.empty_pass_s) / self.pass_requests
        if added_s <= 0.0:
            return None
        most = int((longest_s - pace.empty_pass_s) / added_s)
        return max(round(LEAST_PART * pace.slots), most)
