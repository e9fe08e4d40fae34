"""Simulated engines that run passes in lock step, behind the slot ledgers of the product.

A pass takes longer the more requests run and the more skewed the load of the expert map is: the
experts on the most loaded engine work for the requests of all engines. A
request begins with the pass after it got its slot. Its first event comes at the end of that pass,
and one further event at the end of each further pass.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from bergamotchute_model.node_messages import SlotState
from bergamotchute_policy.concurrency_limit import ConcurrencyLimit, GroupLoad
from bergamotchute_policy.engine_model import EngineTiming
from bergamotchute_policy.slot_ledger import SlotLedger
from bergamotchute_policy.slot_queue import WaitingRequest

SLOTS_PER_ENGINE = 6
EMPTY_PASS_S = 0.04
ADDED_PASS_S_PER_REQUEST = 0.005
"""Time that a request adds to a pass with a balanced map; multiplied by the skew of the map."""

EXPERT_SHARE = 0.85
"""Share of that time that experts take; the tokens of all engines add to it."""

INITIAL_SKEW = 3.5
PASSES_PER_REQUEST = 20
MAX_PAUSE_S = 0.12
FIRST_EVENT_OBJECTIVE_S = 0.4
START_ALLOWANCE_S = 0.25
MAX_WAIT_S = 1.75
MAX_QUEUE_LENGTH = 5
ASKED_AGENT_COUNT = 4
ENGINE_TIMING = EngineTiming(
    SLOTS_PER_ENGINE, EMPTY_PASS_S, ADDED_PASS_S_PER_REQUEST * INITIAL_SKEW, MAX_PAUSE_S
)


@dataclass
class SimulatedRequest:
    """One simulated request.

    :param first_asked_at: when its caller first sent the request, which may be earlier than this arrival.
    :param engine_index: the engine that runs the request; ``None`` while it has no slot.
    :param first_event_s: the time from the first sending to the first event.
    """

    number: int
    first_asked_at: float
    arrived_at: float
    engine_index: int | None = None
    passes_left: int = PASSES_PER_REQUEST
    first_event_s: float | None = None
    longest_pause_s: float = 0.0

    @property
    def is_in_time(self) -> bool:
        if self.first_event_s is None or self.passes_left:
            return False
        return self.first_event_s <= FIRST_EVENT_OBJECTIVE_S and self.longest_pause_s <= MAX_PAUSE_S


@dataclass
class LockStepEngines:
    """A group of engines and the slot ledgers of their agents.

    :param skews: pairs of a start time and the skew of the map from then on, in order of time.
    :param is_limited: whether requests are limited by the duration of passes.
    :param concurrency_limit: the limit for all engines.
    """

    engine_count: int = 12
    skews: tuple[tuple[float, float], ...] = ((0.0, 1.2),)
    is_limited: bool = True
    concurrency_limit: ConcurrencyLimit = field(
        default_factory=lambda: ConcurrencyLimit(ENGINE_TIMING, 0.0)
    )
    random: Random = field(default_factory=lambda: Random(1))
    now: float = 0.0
    step: int = 0
    slot_ledgers: list[SlotLedger] = field(default_factory=list)
    open_requests: dict[int, SimulatedRequest] = field(default_factory=dict)
    queued_engines: dict[int, tuple[int, ...]] = field(default_factory=dict)
    refused: list[SimulatedRequest] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.slot_ledgers = [SlotLedger() for _ in range(self.engine_count)]

    def simulate(
        self, arrival_and_asked_times: Iterable[tuple[float, float]], until_s: float
    ) -> list[SimulatedRequest]:
        """Simulate requests, given as pairs of arrival and first sending time, and return them."""
        arrivals = [
            SimulatedRequest(number, first_asked_at, arrived_at)
            for number, (arrived_at, first_asked_at) in enumerate(sorted(arrival_and_asked_times))
        ]
        all_requests = list(arrivals)
        while self.now < until_s:
            pass_s = self._pass_s()
            ends_at = self.now + pass_s
            running = [
                simulated
                for simulated in self.open_requests.values()
                if simulated.engine_index is not None
            ]
            while arrivals and arrivals[0].arrived_at < ends_at:
                self._place_request(arrivals.pop(0))
            self.now = ends_at
            self.step += 1
            for simulated in running:
                self._end_pass(simulated, pass_s)
            for engine_index in range(self.engine_count):
                self._serve_queue(engine_index)
        return all_requests

    def _pass_s(self) -> float:
        skew = [skew for since, skew in self.skews if since <= self.now][-1]
        counts = [min(ledger.requests, SLOTS_PER_ENGINE) for ledger in self.slot_ledgers]
        own_count = (1.0 - EXPERT_SHARE) * max(counts)
        expert_count = EXPERT_SHARE * skew * sum(counts) / len(counts)
        return EMPTY_PASS_S + ADDED_PASS_S_PER_REQUEST * (own_count + expert_count)

    def _group_load(self) -> GroupLoad:
        return GroupLoad(sum(each.requests for each in self.slot_ledgers) / self.engine_count)

    def _most(self, engine_index: int) -> int:
        """Return how many other requests may be at an engine for one more to run there."""
        limit = self.concurrency_limit.max_requests(self.now) if self.is_limited else None
        if limit is None:
            return SLOTS_PER_ENGINE - 1
        phase = engine_index / self.engine_count
        return max(1, min(SLOTS_PER_ENGINE, int(limit + phase))) - 1

    def _end_pass(self, simulated: SimulatedRequest, pass_s: float) -> None:
        if simulated.first_event_s is None:
            simulated.first_event_s = self.now - simulated.first_asked_at
        else:
            simulated.longest_pause_s = max(simulated.longest_pause_s, pass_s)
            self.concurrency_limit.on_pause(pass_s, self.now, self._group_load)
        simulated.passes_left -= 1
        if not simulated.passes_left:
            assert simulated.engine_index is not None
            self.slot_ledgers[simulated.engine_index].release_slot("entry", simulated.number)
            del self.open_requests[simulated.number]

    def _place_request(self, simulated: SimulatedRequest) -> None:
        """Ask a few agents for a slot, then queue at one of them."""
        now = simulated.arrived_at
        order = sorted(range(self.engine_count), key=lambda _: self.random.random())
        order.sort(key=self._load)
        self.open_requests[simulated.number] = simulated
        for engine_index in order[:ASKED_AGENT_COUNT]:
            request = self._request(simulated, self._most(engine_index))
            if self.slot_ledgers[engine_index].reserve_slot(request, 0, now) is SlotState.RESERVED:
                simulated.engine_index = engine_index
                return
        queued_at = []
        for engine_index in order[:1]:
            state = self.slot_ledgers[engine_index].reserve_slot(
                self._request(simulated, self._most(engine_index)), MAX_QUEUE_LENGTH, now
            )
            if state is SlotState.RESERVED:
                self._leave_queues(simulated.number, queued_at)
                simulated.engine_index = engine_index
                return
            if state is SlotState.WAITING:
                queued_at.append(engine_index)
        self.queued_engines[simulated.number] = tuple(queued_at)
        if not queued_at:
            self._reject(simulated.number)

    def _load(self, engine_index: int) -> int:
        return self.slot_ledgers[engine_index].requests + len(self.slot_ledgers[engine_index].line)

    def _request(self, simulated: SimulatedRequest, most: int) -> WaitingRequest:
        due_at = simulated.first_asked_at + FIRST_EVENT_OBJECTIVE_S - START_ALLOWANCE_S
        leaves_at = simulated.arrived_at + MAX_WAIT_S
        return WaitingRequest("entry", simulated.number, most, due_at, 0, leaves_at)

    def _serve_queue(self, engine_index: int) -> None:
        ledger = self.slot_ledgers[engine_index]
        while (served_request := ledger.reserve_for_next(self.now)) is not None:
            self._leave_queues(
                served_request.number,
                [
                    other_index
                    for other_index in self.queued_engines[served_request.number]
                    if other_index != engine_index
                ],
            )
            self.open_requests[served_request.number].engine_index = engine_index
        for rejected_request in ledger.take_rejected(self.now):
            remaining_engines = tuple(
                other_index
                for other_index in self.queued_engines[rejected_request.number]
                if other_index != engine_index
            )
            self.queued_engines[rejected_request.number] = remaining_engines
            if not remaining_engines:
                self._reject(rejected_request.number)

    def _leave_queues(self, number: int, places: Iterable[int]) -> None:
        for engine_index in places:
            self.slot_ledgers[engine_index].line.remove("entry", number)

    def _reject(self, number: int) -> None:
        self.refused.append(self.open_requests.pop(number))
