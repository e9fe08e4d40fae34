"""Simulated engines that run passes in lock step, behind the slot ledgers of the product.

A pass takes longer the more requests run and the more skewed the load of the expert map is. A
request begins with the pass after it got its slot. Its first event comes at the end of that pass,
and one further event at the end of each further pass.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from bergamotchute_model.node_messages import EngineTiming, SlotState
from bergamotchute_policy.slot_ledger import SlotLedger
from bergamotchute_policy.slot_queue import WaitingRequest

SLOTS_PER_ENGINE = 6
EMPTY_PASS_S = 0.04
ADDED_PASS_S_PER_REQUEST = 0.005
"""Time that a request adds to a pass with a balanced map; multiplied by the skew of the map."""

INITIAL_SKEW = 3.5
PASSES_PER_REQUEST = 20
MAX_PAUSE_S = 0.12
FIRST_EVENT_OBJECTIVE_S = 0.4
START_ALLOWANCE_S = 0.25
MAX_WAIT_S = 1.75
MAX_QUEUE_LENGTH = 5
ASKED_AGENT_COUNT = 4
PASSES_PER_REPORT = 3
"""An agent reads the passes of its engine about every 0.2 s."""


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
    :param is_limited: whether agents know the pace of their engines and limit concurrency by it.
    """

    engine_count: int = 12
    skews: tuple[tuple[float, float], ...] = ((0.0, 1.2),)
    is_limited: bool = True
    random: Random = field(default_factory=lambda: Random(1))
    now: float = 0.0
    step: int = 0
    slot_ledgers: list[SlotLedger] = field(default_factory=list)
    open_requests: dict[int, SimulatedRequest] = field(default_factory=dict)
    queued_engines: dict[int, tuple[int, ...]] = field(default_factory=dict)
    refused: list[SimulatedRequest] = field(default_factory=list)

    def __post_init__(self) -> None:
        pace = EngineTiming(
            SLOTS_PER_ENGINE, EMPTY_PASS_S, ADDED_PASS_S_PER_REQUEST * INITIAL_SKEW, MAX_PAUSE_S
        )
        for _ in range(self.engine_count):
            ledger = SlotLedger()
            ledger.concurrency_limit.pace = pace if self.is_limited else None
            self.slot_ledgers.append(ledger)

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
            for engine_index, ledger in enumerate(self.slot_ledgers):
                if self.step % PASSES_PER_REPORT == 0:
                    ledger.concurrency_limit.observe(1, self.step, ledger.requests, self.now)
                self._serve_queue(engine_index)
        return all_requests

    def _pass_s(self) -> float:
        skew = [skew for since, skew in self.skews if since <= self.now][-1]
        max_request_count = max(ledger.requests for ledger in self.slot_ledgers)
        return (
            EMPTY_PASS_S
            + min(max_request_count, SLOTS_PER_ENGINE) * ADDED_PASS_S_PER_REQUEST * skew
        )

    def _end_pass(self, simulated: SimulatedRequest, pass_s: float) -> None:
        if simulated.first_event_s is None:
            simulated.first_event_s = self.now - simulated.first_asked_at
        else:
            simulated.longest_pause_s = max(simulated.longest_pause_s, pass_s)
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
            request = self._request(simulated, SLOTS_PER_ENGINE - 1)
            if self.slot_ledgers[engine_index].reserve_slot(request, 0, now) is SlotState.RESERVED:
                simulated.engine_index = engine_index
                return
        queued_at = []
        for engine_index in order[:1]:
            state = self.slot_ledgers[engine_index].reserve_slot(
                self._request(simulated, SLOTS_PER_ENGINE - 1), MAX_QUEUE_LENGTH, now
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
