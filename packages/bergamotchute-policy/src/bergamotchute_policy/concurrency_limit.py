"""Concurrency limit of an engine that keeps pauses between stream events within the objective.

After a shift of expert demand, or while a restarted group uses its initial expert map, a forward
pass takes twice as long as usual. With all slots taken, every stream then has pauses beyond its
objective, so every request misses it. With some slots left free, passes are short enough, and
almost as many requests complete per second.
"""

from __future__ import annotations

from dataclasses import dataclass

from bergamotchute_model.node_messages import EngineTiming

MIN_TIMING_S = 0.15
"""Minimum time over which passes are timed, as pass numbers are reported a few times a second."""

MAX_PASS_S = 0.25
"""A longer pass has stalled for another reason, such as a change of the expert map."""

PASS_TO_PAUSE_RATIO = 0.92
"""Share of the longest pause that a pass may take; the rest is for delivery to the caller."""

LIMITING_PASS_RATIO = 0.8
"""Share of the longest allowed pass from which requests are limited: the time of short passes says
little about how many requests an engine can run."""

MIN_SLOT_RATIO = 0.5
"""Share of the slots that is always available, so that work completes even at a slow rank."""


@dataclass
class ConcurrencyLimit:
    """The concurrency limit of one engine, computed from its recent passes.

    :param pace: the engine's timing figures, as sent by entries; ``None`` before the first.
    :param epoch: the incarnation of the group whose passes are timed.
    :param step: number of the newest pass at the last observation.
    :param requests: requests at the engine at the last observation.
    :param at: time of the last observation, on the runtime's clock.
    :param pass_s: mean duration of the latest passes in this epoch; ``None`` while unknown.
    :param pass_requests: mean number of requests during these passes.
    """

    pace: EngineTiming | None = None
    epoch: int = 0
    step: int = 0
    requests: int = 0
    at: float = 0.0
    pass_s: float | None = None
    pass_requests: float = 0.0

    def observe(self, epoch: int, step: int, requests: int, now: float) -> None:
        """Record the number of the engine's newest pass and of its requests."""
        if epoch != self.epoch:
            self.epoch, self.pass_s = epoch, None
        elif now - self.at < MIN_TIMING_S:
            return
        elif step > self.step and self.requests and requests:
            pass_s = (now - self.at) / (step - self.step)
            if pass_s <= MAX_PASS_S:
                self.pass_s = pass_s
                self.pass_requests = (self.requests + requests) / 2
        self.step, self.requests, self.at = step, requests, now

    def max_requests(self) -> int | None:
        """Return the maximum number of running requests; ``None`` for no limit but the slots."""
        pace = self.pace
        if pace is None:
            return None
        max_pass_s = PASS_TO_PAUSE_RATIO * pace.pause_s
        added_s = pace.added_s
        if self.pass_s is not None:
            if self.pass_s < LIMITING_PASS_RATIO * max_pass_s:
                return None
            added_s = max(0.0, self.pass_s - pace.empty_pass_s) / self.pass_requests
        if added_s <= 0.0:
            return None
        most = int((max_pass_s - pace.empty_pass_s) / added_s)
        return max(round(MIN_SLOT_RATIO * pace.slots), most)
