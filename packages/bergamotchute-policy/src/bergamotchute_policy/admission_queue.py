"""The bounded admission queue of requests that wait for an endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from itertools import count

from bergamotchute_model.problem import Problem, ProblemCode
from bergamotchute_policy.fair_share import FairShare
from bergamotchute_policy.scheduling_settings import SchedulingSettings
from bergamotchute_policy.work import RequestSize, Shed, Work

MIN_RETRY_AFTER_S = 0.25


@dataclass(frozen=True, slots=True, order=True)
class QueuedRequest:
    """A request in the queue of its team, ordered by deadline and then by arrival."""

    deadline: float
    arrival: int
    work: Work


@dataclass(slots=True)
class TeamQueue:
    """The waiting requests of one team and size.

    :param heap: ordered by deadline; may still contain removed requests.
    :param tokens: expected work of the waiting requests.
    :param request_count: number of waiting requests.
    """

    heap: list[QueuedRequest]
    tokens: float = 0.0
    request_count: int = 0


class AdmissionQueue:
    """Holds requests until an endpoint has room, and refuses early those that can't be served.

    There is one queue for each size and team. Within a queue the nearest deadline goes first;
    fair shares decide among teams. Short work goes before long work, which earns credit for its
    next turn from the tokens of short work that overtake it. A request that can't meet its deadline
    is refused at once, with a delay after which a retry is useful. Each request leaves the queue in
    exactly one way: taken, refused or removed.

    :param weights: fair-share weight of each team; other teams have weight 1.
    """

    def __init__(
        self, settings: SchedulingSettings, weights: dict[str, float] | None = None
    ) -> None:
        self.settings = settings
        self.shares = {size: FairShare(weights) for size in RequestSize}
        self.lines: dict[RequestSize, dict[str, TeamQueue]] = {size: {} for size in RequestSize}
        self.waiting: dict[str, QueuedRequest] = {}
        self.queued_bytes = 0
        self.queued_tokens = dict.fromkeys(RequestSize, 0.0)
        self.long_credit = 0.0
        self.arrival_numbers = count()
        self.latest_starts: list[tuple[float, int, QueuedRequest]] = []

    def __len__(self) -> int:
        return len(self.waiting)

    def has_waiting(self, size: RequestSize) -> bool:
        """Return whether a request of this size waits."""
        return bool(self.lines[size])

    def has_backlog(self, work: Work) -> bool:
        """Return whether other requests of the same team and size wait."""
        line = self.lines[work.size].get(work.team)
        return line is not None and line.request_count > 1

    def offer(
        self, work: Work, drain_tokens_per_s: float, attempt_tokens_per_s: float, now: float
    ) -> list[Shed]:
        """Queue a request; return the refusals that follow, possibly of the request itself.

        :param drain_tokens_per_s: rate at which work of this size leaves the queue.
        :param attempt_tokens_per_s: generation speed of a single attempt.
        :raises ValueError: when the request is already queued.
        """
        if work.request_id in self.waiting:
            raise ValueError(f"request {work.request_id} is already queued")
        wait_s = self.expected_wait_s(work, drain_tokens_per_s)
        if now + wait_s + work.expected_tokens / attempt_tokens_per_s > work.deadline:
            return [self._shed_unreachable(work, wait_s)]
        self._enqueue(work, work.deadline - work.expected_tokens / attempt_tokens_per_s)
        return self._shed_overflow(wait_s)

    def expected_wait_s(self, work: Work, drain_tokens_per_s: float) -> float:
        """Return the expected wait of a new request in seconds, by its team's fair share."""
        lines = self.lines[work.size]
        total = self.queued_tokens[work.size]
        if not total:
            return 0.0
        if drain_tokens_per_s <= 0:
            return float("inf")
        own_tokens = lines[work.team].tokens if work.team in lines else 0.0
        share = self.shares[work.size].share_of(work.team, lines)
        return min(total, own_tokens / share) / drain_tokens_per_s

    def next_size(self, blocked: set[RequestSize]) -> RequestSize | None:
        """Return the size that is served next, except blocked ones; ``None`` when there is none."""
        short = self.has_waiting(RequestSize.SHORT) and RequestSize.SHORT not in blocked
        long = self.has_waiting(RequestSize.LONG) and RequestSize.LONG not in blocked
        if long and (not short or self.long_credit >= self.peek(RequestSize.LONG).expected_tokens):
            return RequestSize.LONG
        return RequestSize.SHORT if short else None

    def peek(self, size: RequestSize) -> Work:
        """Return the next request of this size without removing it.

        :raises ValueError: when no request of this size waits.
        """
        lines = self.lines[size]
        line = lines[self.shares[size].next_team(lines)]
        while not self._still_waits(line.heap[0]):
            heappop(line.heap)
        return line.heap[0].work

    def take(self, work: Work) -> None:
        """Remove a request from the queue for dispatch, and charge its team."""
        self.remove(work.request_id)
        self.charge(work)

    def charge(self, work: Work) -> None:
        """Count dispatched work, queued or not, in the shares and the credit of long work."""
        self.shares[work.size].charge(work.team, work.expected_tokens)
        if work.size is RequestSize.LONG:
            self.long_credit = max(0.0, self.long_credit - work.expected_tokens)
        elif self.has_waiting(RequestSize.LONG):
            self.long_credit += work.expected_tokens * self.settings.long_floor
        else:
            self.long_credit = 0.0

    def remove(self, request_id: str) -> Work | None:
        """Remove and return a request; return ``None`` if it isn't queued."""
        waiting = self.waiting.pop(request_id, None)
        if waiting is None:
            return None
        work = waiting.work
        lines = self.lines[work.size]
        line = lines[work.team]
        line.request_count -= 1
        line.tokens -= work.expected_tokens
        self.queued_bytes -= work.body_bytes
        self.queued_tokens[work.size] -= work.expected_tokens
        if not line.request_count:
            del lines[work.team]
        if not lines:
            self.queued_tokens[work.size] = 0.0
        self._compact_heaps(line)
        return work

    def expire(self, now: float) -> list[Shed]:
        """Refuse the requests that would miss their deadline even if they were dispatched now."""
        expired = []
        while self.latest_starts and self.latest_starts[0][0] <= now:
            waiting = heappop(self.latest_starts)[-1]
            if self._still_waits(waiting):
                self.remove(waiting.work.request_id)
                expired.append(self._shed_unreachable(waiting.work, MIN_RETRY_AFTER_S))
        return expired

    def next_deadline(self) -> float | None:
        """Return when :meth:`expire` is due next; ``None`` when the queue is empty."""
        while self.latest_starts and not self._still_waits(self.latest_starts[0][-1]):
            heappop(self.latest_starts)
        return self.latest_starts[0][0] if self.latest_starts else None

    def clear(self, code: ProblemCode, detail: str) -> list[Shed]:
        """Refuse all waiting requests, as when the entry drains or no endpoint is left."""
        works = [waiting.work for waiting in self.waiting.values()]
        for work in works:
            self.remove(work.request_id)
        return [Shed(work, _not_run_problem(code, detail, MIN_RETRY_AFTER_S)) for work in works]

    def _enqueue(self, work: Work, latest_start: float) -> None:
        """Add a request to the queue of its size and team."""
        waiting = QueuedRequest(work.deadline, next(self.arrival_numbers), work)
        self.waiting[work.request_id] = waiting
        line = self.lines[work.size].setdefault(work.team, TeamQueue([]))
        heappush(line.heap, waiting)
        heappush(self.latest_starts, (latest_start, waiting.arrival, waiting))
        line.request_count += 1
        line.tokens += work.expected_tokens
        self.queued_bytes += work.body_bytes
        self.queued_tokens[work.size] += work.expected_tokens

    def _shed_overflow(self, wait_s: float) -> list[Shed]:
        """Refuse requests until the queue is within its bounds."""
        shed = []
        while (
            len(self.waiting) > self.settings.queue_count
            or self.queued_bytes > self.settings.queue_bytes
        ):
            work = self._select_request_to_shed()
            self.remove(work.request_id)
            detail = "The queue of the service is full."
            shed.append(Shed(work, _not_run_problem(ProblemCode.OVERLOADED, detail, wait_s)))
        return shed

    def _select_request_to_shed(self) -> Work:
        """Return the last-due request of the team with the most queued work per weight."""
        tokens: dict[str, float] = {}
        for lines in self.lines.values():
            for team, line in lines.items():
                tokens[team] = tokens.get(team, 0.0) + line.tokens
        weight = self.shares[RequestSize.SHORT].weight
        team = max(tokens, key=lambda name: tokens[name] / weight(name))
        return max(waiting for waiting in self.waiting.values() if waiting.work.team == team).work

    def _shed_unreachable(self, work: Work, wait_s: float) -> Shed:
        """Return the refusal of a request that would miss its deadline."""
        detail = "The request can't be completed before its deadline."
        return Shed(work, _not_run_problem(ProblemCode.DEADLINE_UNREACHABLE, detail, wait_s))

    def _still_waits(self, waiting: QueuedRequest) -> bool:
        """Return whether this queue item is still current: it was neither removed nor replaced."""
        return self.waiting.get(waiting.work.request_id) is waiting

    def _compact_heaps(self, line: TeamQueue) -> None:
        """Drop removed requests from the heaps once they are the majority."""
        if len(line.heap) > 2 * line.request_count + 16:
            line.heap = [waiting for waiting in line.heap if self._still_waits(waiting)]
            heapify(line.heap)
        if len(self.latest_starts) > 2 * len(self.waiting) + 64:
            self.latest_starts = [
                item for item in self.latest_starts if self._still_waits(item[-1])
            ]
            heapify(self.latest_starts)


def _not_run_problem(code: ProblemCode, detail: str, retry_after_s: float) -> Problem:
    """Return a refusal which states that the request did not run."""
    bounded_retry_after_s = max(MIN_RETRY_AFTER_S, min(retry_after_s, 60.0))
    return Problem(503, code, detail, retry=True, retry_after_s=bounded_retry_after_s)
