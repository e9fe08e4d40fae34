"""A fake model runner: slots, a queue by priority, late load reports."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from bergamotchute_model.attempt_messages import EndpointLoad
from tools.service_bench.clock import EventClock
from tools.service_bench.workload import TOKENS_S, Request

CACHED_PREFIXES = 16


@dataclass(slots=True)
class Execution:
    """An attempt at a runner.

    :param on_end: called once, with whether the answer is whole.
    """

    request: Request
    entry: int
    long: bool
    on_end: Callable[[bool], None]
    started: float | None = None
    ended: bool = False


@dataclass
class FakeRunner:
    """Runs attempts in its slots, each at the runner's speed whatever the others do.

    :param speed: 1 is the common speed.
    :param failing: refuses or breaks off every attempt.
    """

    name: str
    zone: str
    clock: EventClock
    slots: int
    speed: float = 1.0
    failing: bool = False
    gone: bool = False
    running: list[Execution] = field(default_factory=list)
    waiting: list[tuple[int, int, Execution]] = field(default_factory=list)
    arrivals: int = 0
    sequence: int = 0
    cached: OrderedDict[int, None] = field(default_factory=OrderedDict)
    last_sent: dict[int, float] = field(default_factory=dict)

    def start(self, execution: Execution, priority: int) -> None:
        """Take an attempt in."""
        if self.failing or self.gone:
            self._end(execution, whole=False)
            return
        self.arrivals += 1
        self.last_sent[execution.entry] = self.clock.now
        heappush(self.waiting, (priority, self.arrivals, execution))
        self._fill()

    def cancel(self, execution: Execution) -> None:
        """Stop an attempt, begun or not."""
        if execution.ended:
            return
        if execution in self.running:
            self.running.remove(execution)
        else:
            self.waiting = [entry for entry in self.waiting if entry[2] is not execution]
            heapify(self.waiting)
        self._end(execution, whole=False)
        self._fill()

    def fail(self) -> None:
        """Break off all attempts."""
        self.gone = True
        held = [*self.running, *(entry[2] for entry in self.waiting)]
        self.running, self.waiting = [], []
        for execution in held:
            self._end(execution, whole=False)

    def free(self) -> int:
        """Return the slots that nothing holds or waits for."""
        return self.slots - len(self.running) - len(self.waiting)

    def report(self, entry: int) -> EndpointLoad:
        """Return the load as the agent tells it to one entry."""
        self.sequence += 1
        held = [*self.running, *(waiting[2] for waiting in self.waiting)]
        yours = [execution for execution in held if execution.entry == entry]
        recent = sum(1 for sent in self.last_sent.values() if sent > self.clock.now - 5.0)
        left = sum(self._tokens_left(execution) for execution in held)
        return EndpointLoad(
            self.name,
            "1",
            self.sequence,
            len(self.running),
            len(self.waiting),
            int(left),
            self.slots,
            long=sum(execution.long for execution in held),
            yours=len(yours),
            yours_long=sum(execution.long for execution in yours),
            entries=max(1, recent),
        )

    def _tokens_left(self, execution: Execution) -> float:
        """Return the tokens that an attempt still has to generate."""
        if execution.started is None:
            return execution.request.tokens
        done = (self.clock.now - execution.started) * TOKENS_S * self.speed
        return max(0.0, execution.request.tokens - done)

    def _fill(self) -> None:
        """Begin waiting attempts while slots are free."""
        while self.waiting and len(self.running) < self.slots:
            execution = heappop(self.waiting)[2]
            execution.started = self.clock.now
            if execution.request.started is None:
                execution.request.started = self.clock.now
            self.running.append(execution)
            duration = execution.request.tokens / (TOKENS_S * self.speed)
            duration += self._reading_s(execution.request)
            self.clock.after(duration, lambda execution=execution: self._complete(execution))

    def _reading_s(self, request: Request) -> float:
        """Return the time to read a prompt, a tenth when its beginning is cached; cache it."""
        known = request.prefix in self.cached
        self.cached[request.prefix] = None
        self.cached.move_to_end(request.prefix)
        if len(self.cached) > CACHED_PREFIXES:
            self.cached.popitem(last=False)
        return request.reading_s * (0.1 if known else 1.0)

    def _complete(self, execution: Execution) -> None:
        """End an attempt whose tokens are all generated."""
        if execution.ended:
            return
        self.running.remove(execution)
        self._end(execution, whole=True)
        self._fill()

    def _end(self, execution: Execution, whole: bool) -> None:
        """Tell the entry once."""
        execution.ended = True
        execution.on_end(whole)
