"""The bounded queue of requests that wait for an endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from itertools import count

from bergamotchute_model.problem import Problem, ProblemCode
from bergamotchute_policy.fair_share import FairShare
from bergamotchute_policy.scheduling_settings import SchedulingSettings
from bergamotchute_policy.work import Shed, Size, Work

MIN_RETRY_AFTER_S = 0.25


@dataclass(frozen=True, slots=True, order=True)
class Waiting:
    """A request in a team's line, in the order of its deadline."""

    deadline: float
    arrival: int
    work: Work


@dataclass(slots=True)
class Line:
    """The requests of one team and size that wait.

    :param heap: by deadline; may still hold requests that were removed.
    :param tokens: the work of those that wait.
    :param count: how many wait.
    """

    heap: list[Waiting]
    tokens: float = 0.0
    count: int = 0


class AdmissionQueue:
    """Holds requests until an endpoint has room, and refuses early those that can't be served.

    Lines are by size and team. Within a line the nearest deadline goes first; among teams the fair
    share decides; short work goes before long work, which earns a turn for every so many tokens
    of short work that pass it. A request that can't meet its deadline is refused at once, with
    the time after which it is worth coming back. Each request leaves the queue in exactly one
    way: taken, refused or removed.
    """

    def __init__(
        self, settings: SchedulingSettings, weights: dict[str, float] | None = None
    ) -> None:
        self.settings = settings
        self.shares = {size: FairShare(weights) for size in Size}
        self.lines: dict[Size, dict[str, Line]] = {size: {} for size in Size}
        self.waiting: dict[str, Waiting] = {}
        self.bytes = 0
        self.tokens = dict.fromkeys(Size, 0.0)
        self.long_credit = 0.0
        self.arrivals = count()
        self.latest_starts: list[tuple[float, int, Waiting]] = []

    def __len__(self) -> int:
        return len(self.waiting)

    def waits(self, size: Size) -> bool:
        """Return whether a request of this size waits."""
        return bool(self.lines[size])

    def backlogged(self, work: Work) -> bool:
        """Return whether more of the team's work of this size waits than this request."""
        line = self.lines[work.size].get(work.team)
        return line is not None and line.count > 1

    def offer(self, work: Work, drain_rate: float, speed: float, now: float) -> list[Shed]:
        """Put a request into the queue; return those refused for it, which may be itself.

        :param drain_rate: tokens a second that leave the queue for this size.
        :param speed: tokens a second of one attempt.
        :raises ValueError: when the request waits already.
        """
        if work.request_id in self.waiting:
            raise ValueError(f"request {work.request_id} waits already")
        wait_s = self.expected_wait(work, drain_rate)
        if now + wait_s + work.tokens / speed > work.deadline:
            return [self._unreachable(work, wait_s)]
        self._add(work, work.deadline - work.tokens / speed)
        return self._shed_overflow(wait_s)

    def expected_wait(self, work: Work, drain_rate: float) -> float:
        """Return the seconds that a new request would wait, by its team's fair share."""
        lines = self.lines[work.size]
        total = self.tokens[work.size]
        if not total:
            return 0.0
        if drain_rate <= 0:
            return float("inf")
        own = lines[work.team].tokens if work.team in lines else 0.0
        share = self.shares[work.size].share_of(work.team, lines)
        return min(total, own / share) / drain_rate

    def next_size(self, blocked: set[Size]) -> Size | None:
        """Return the size whose turn it is, leaving out the blocked ones; ``None`` for none."""
        short = self.waits(Size.SHORT) and Size.SHORT not in blocked
        long = self.waits(Size.LONG) and Size.LONG not in blocked
        if long and (not short or self.long_credit >= self.peek(Size.LONG).tokens):
            return Size.LONG
        return Size.SHORT if short else None

    def peek(self, size: Size) -> Work:
        """Return the request of this size that goes next.

        :raises ValueError: when none waits.
        """
        lines = self.lines[size]
        line = lines[self.shares[size].next_team(lines)]
        while not self._still_waits(line.heap[0]):
            heappop(line.heap)
        return line.heap[0].work

    def take(self, work: Work) -> None:
        """Take a request out of the queue, to dispatch it."""
        self.remove(work.request_id)
        self.charge(work)

    def charge(self, work: Work) -> None:
        """Count dispatched work, queued before or not, in the shares and the turns of long work."""
        self.shares[work.size].charge(work.team, work.tokens)
        if work.size is Size.LONG:
            self.long_credit = max(0.0, self.long_credit - work.tokens)
        elif self.waits(Size.LONG):
            self.long_credit += work.tokens * self.settings.long_floor
        else:
            self.long_credit = 0.0

    def remove(self, request_id: str) -> Work | None:
        """Take out a request whose caller gave up; ``None`` when it doesn't wait."""
        waiting = self.waiting.pop(request_id, None)
        if waiting is None:
            return None
        work = waiting.work
        lines = self.lines[work.size]
        line = lines[work.team]
        line.count -= 1
        line.tokens -= work.tokens
        self.bytes -= work.body_bytes
        self.tokens[work.size] -= work.tokens
        if not line.count:
            del lines[work.team]
        if not lines:
            self.tokens[work.size] = 0.0
        self._compact(line)
        return work

    def expire(self, now: float) -> list[Shed]:
        """Refuse those that would end after their deadline even if they were dispatched now."""
        expired = []
        while self.latest_starts and self.latest_starts[0][0] <= now:
            waiting = heappop(self.latest_starts)[-1]
            if self._still_waits(waiting):
                self.remove(waiting.work.request_id)
                expired.append(self._unreachable(waiting.work, MIN_RETRY_AFTER_S))
        return expired

    def next_deadline(self) -> float | None:
        """Return when :meth:`expire` next has something to do; ``None`` when nothing waits."""
        while self.latest_starts and not self._still_waits(self.latest_starts[0][-1]):
            heappop(self.latest_starts)
        return self.latest_starts[0][0] if self.latest_starts else None

    def clear(self, code: ProblemCode, detail: str) -> list[Shed]:
        """Refuse all that wait, as at a drain or without endpoints."""
        works = [waiting.work for waiting in self.waiting.values()]
        for work in works:
            self.remove(work.request_id)
        return [Shed(work, _problem(code, detail, MIN_RETRY_AFTER_S)) for work in works]

    def _add(self, work: Work, latest_start: float) -> None:
        """Put a request into its line."""
        waiting = Waiting(work.deadline, next(self.arrivals), work)
        self.waiting[work.request_id] = waiting
        line = self.lines[work.size].setdefault(work.team, Line([]))
        heappush(line.heap, waiting)
        heappush(self.latest_starts, (latest_start, waiting.arrival, waiting))
        line.count += 1
        line.tokens += work.tokens
        self.bytes += work.body_bytes
        self.tokens[work.size] += work.tokens

    def _shed_overflow(self, wait_s: float) -> list[Shed]:
        """Refuse requests until the queue is within its bounds."""
        shed = []
        while (
            len(self.waiting) > self.settings.queue_count or self.bytes > self.settings.queue_bytes
        ):
            work = self._least_due()
            self.remove(work.request_id)
            detail = "The queue of the service is full."
            shed.append(Shed(work, _problem(ProblemCode.OVERLOADED, detail, wait_s)))
        return shed

    def _least_due(self) -> Work:
        """Return the latest deadline of the team that waits with most work for its weight."""
        tokens: dict[str, float] = {}
        for lines in self.lines.values():
            for team, line in lines.items():
                tokens[team] = tokens.get(team, 0.0) + line.tokens
        weight = self.shares[Size.SHORT].weight
        team = max(tokens, key=lambda name: tokens[name] / weight(name))
        return max(waiting for waiting in self.waiting.values() if waiting.work.team == team).work

    def _unreachable(self, work: Work, wait_s: float) -> Shed:
        """Return the refusal of a request that would come too late."""
        detail = "The request can't be completed before its deadline."
        return Shed(work, _problem(ProblemCode.DEADLINE_UNREACHABLE, detail, wait_s))

    def _still_waits(self, waiting: Waiting) -> bool:
        """Return whether this very entry of the queue still waits."""
        return self.waiting.get(waiting.work.request_id) is waiting

    def _compact(self, line: Line) -> None:
        """Drop removed requests from the heaps once they are the greater part."""
        if len(line.heap) > 2 * line.count + 16:
            line.heap = [waiting for waiting in line.heap if self._still_waits(waiting)]
            heapify(line.heap)
        if len(self.latest_starts) > 2 * len(self.waiting) + 64:
            self.latest_starts = [due for due in self.latest_starts if self._still_waits(due[-1])]
            heapify(self.latest_starts)


def _problem(code: ProblemCode, detail: str, retry_after_s: float) -> Problem:
    """Return a refusal that proves that the request did not run."""
    seconds = max(MIN_RETRY_AFTER_S, min(retry_after_s, 60.0))
    return Problem(503, code, detail, retry=True, retry_after_s=seconds)
