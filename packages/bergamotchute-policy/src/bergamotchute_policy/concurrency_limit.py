"""Limit of the requests at the ranks of a group that keeps pauses between events within the objective.

Load pattern: demand moves to other experts every few seconds, or a restarted group uses its initial
expert map. Until the map is adapted, a forward pass takes up to twice as long as usual. A stream
lives for many passes, so with all slots taken nearly every stream meets such a pass and misses its
objective. With some slots left free, even these passes are short enough, and almost as many
requests complete per second.

The limit is therefore based on the time that a request added to the slowest recent passes. A limit
based on the present pass would fill all slots again before the next shift.

All ranks of a group share the duration of their passes, to which the requests of all of them add.
The time that a request adds is therefore counted for the mean number of requests at a rank. If it
were counted for the requests of each rank alone, a rank with few requests would seem to be full
whenever passes are long.

An entry times passes by the pauses between the events of its streams. Pass numbers, which agents
read a few times a second, are too coarse for passes of a tenth of a second.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median

from bergamotchute_policy.engine_model import EngineTiming
from bergamotchute_policy.rank_pace import is_notable_change

WINDOW_S = 0.2
"""Time over which the median of the pauses counts as the duration of a pass; about two passes."""

MIN_WINDOW_PAUSES = 4
"""Fewest pauses in a window; with fewer, one delayed packet would count as a slow pass."""

STALL_PAUSE_RATIO = 2.5
"""A pause longer than this multiple of the longest one within the objective is a stall, which no
limit prevents."""

PASS_TO_PAUSE_RATIO = 0.95
"""Share of the longest pause that a pass may take; the rest is for delivery to the caller."""

MIN_SLOT_RATIO = 0.5
"""Share of the slots below which no limit is set. Where fewer requests would still miss their
objective, as with a slow rank, a limit only delays more of them."""

MEMORY_S = 5.0
"""Time for which a slow pass limits the requests; demand moves to other experts about as often."""

INITIAL_MAP_S = 2.0
"""Time for which a group that opens is limited as by its initial map; the first changes of the map
take about as long."""

LIMITING_REQUEST_RATIO = 0.3
"""Share of the slots in use from which a pass tells how much a request adds to it."""


@dataclass(frozen=True)
class GroupLoad:
    """The present load of a rank group, as far as an entry knows it.

    :param mean_requests: mean number of requests at a rank; ``None`` if too few are known.
    :param slowest_pace: how many times longer than usual the slowest rank's part of a pass takes.
    """

    mean_requests: float | None
    slowest_pace: float = 1.0


@dataclass
class ConcurrencyLimit:
    """The limit of the requests at each rank of one group, computed from its recent passes.

    :param timing: figures of the engine.
    :param began_at: when the group was first used, on the runtime's clock; for a while after it the
        group may use its initial map.
    :param window_began_at: start of the current window.
    :param window_pauses_s: pauses in the current window, in seconds.
    :param slowest_pace: pace of the slowest rank of the group, at the end of the last window.
    :param added_s: ends of windows, and the time that a request added to a pass then, in seconds.
        Only those that no later one exceeds are kept.
    """

    timing: EngineTiming
    began_at: float
    window_began_at: float = 0.0
    window_pauses_s: list[float] = field(default_factory=list)
    slowest_pace: float = 1.0
    added_s: deque[tuple[float, float]] = field(default_factory=deque)

    def on_pause(self, pause_s: float, now: float, group_load: Callable[[], GroupLoad]) -> None:
        """Record a pause between two events of a stream.

        :param group_load: returns the present load of the group.
        """
        if now - self.window_began_at < WINDOW_S:
            self.window_pauses_s.append(pause_s)
            return
        if len(self.window_pauses_s) >= MIN_WINDOW_PAUSES:
            self._record_pass(median(self.window_pauses_s), group_load(), now)
        self.window_began_at = now
        self.window_pauses_s = [pause_s]

    def _record_pass(self, pass_s: float, load: GroupLoad, now: float) -> None:
        timing, requests = self.timing, load.mean_requests
        if is_notable_change(self.slowest_pace, load.slowest_pace):
            # Passes before the change tell nothing about those after it.
            self.slowest_pace = load.slowest_pace
            self.added_s.clear()
            return
        if requests is None or requests < LIMITING_REQUEST_RATIO * timing.slots:
            return
        if pass_s > STALL_PAUSE_RATIO * timing.pause_s:
            return
        added_s = max(0.0, pass_s - self._empty_pass_s()) / requests
        while self.added_s and self.added_s[-1][1] <= added_s:
            self.added_s.pop()
        self.added_s.append((now, added_s))

    def _empty_pass_s(self) -> float:
        return self.timing.empty_pass_s + (self.slowest_pace - 1.0) * self.timing.steps_s

    def max_requests(self, now: float) -> float | None:
        """Return the mean number of requests that may run at a rank; ``None`` for no limit."""
        timing = self.timing
        while self.added_s and self.added_s[0][0] < now - MEMORY_S:
            self.added_s.popleft()
        added_s = self.added_s[0][1] if self.added_s else 0.0
        if now - self.began_at < INITIAL_MAP_S:
            added_s = max(added_s, timing.added_s)
        if added_s <= 0.0:
            return None
        limit = (PASS_TO_PAUSE_RATIO * timing.pause_s - self._empty_pass_s()) / added_s
        return limit if MIN_SLOT_RATIO * timing.slots <= limit < timing.slots else None
