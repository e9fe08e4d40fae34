"""One simulated run: callers, entries, agents' ledgers, and a group that runs pass after pass."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from bergamotchute_daemon.ranks.rank_agent_process import STATUS_INTERVAL_S
from bergamotchute_daemon.ranks.rank_commander import PLAN_INTERVAL_S
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import SlotState
from bergamotchute_model.packed_map import ExpertPlacement
from bergamotchute_policy.direct_placement import DirectPlacement
from bergamotchute_policy.endpoint_subset import nested_subsets
from bergamotchute_policy.engine_model import engine_timing
from bergamotchute_policy.even_map_planner import initial_map
from bergamotchute_policy.rank_pace import SLOW_PACE, pace_weight
from bergamotchute_policy.slot_ledger import SlotLedger
from bergamotchute_policy.slot_queue import WaitingRequest
from bergamotchute_policy.slot_search import SlotSearch, patience_s
from bergamotchute_policy.stream_pace import StreamPace
from tools.group_bench.commander import SimulatedCommander
from tools.group_bench.expert_demand import ExpertDemand
from tools.group_bench.group_file import GroupFile, RequestKind
from tools.group_bench.ranks import COPY_SLOWDOWN, SimulatedRank, pass_duration_s, rank_fractions
from tools.group_bench.simulated_request import SimulatedRequest

CALLER_RETRIES = 1
RETURN_SPREAD_S = 1.2
"""Time over which the callers of an outage return."""

IDLE_PASS_S = 0.02
"""How long an idle group waits for work."""


@dataclass(frozen=True)
class PassRecord:
    """What one pass was like.

    :param skew: load of the most loaded rank over the mean, summed over the sets.
    :param requests: mean count of requests at a rank.
    :param requests_at_slow: mean count of requests at a slow rank.
    :param slow_load: share of the selections of all sets that slow ranks serve.
    """

    at: float
    duration_s: float
    skew: float
    requests: float
    requests_at_slow: float = 0.0
    slow_load: float = 0.0


@dataclass
class SimulatedEntry:
    """One entry: what it knows of the endpoints, and the part of them that it uses."""

    placement: DirectPlacement
    subsets: list[list[EndpointHeartbeat]]
    pace: StreamPace = field(default_factory=StreamPace)

    def endpoints(self, now: float) -> list[EndpointHeartbeat]:
        """Return the smallest subset with a free slot; the smallest one when all are full."""
        for subset in self.subsets:
            if self.placement.has_free_slot(subset, now):
                return subset
        return self.subsets[0]


class GroupSimulation:
    """A group file played with one seed.

    :param requests: all requests, in order of their first arrival.
    :param passes: all passes with work.
    :param free_at_refusals: share of the slots that were free at each refusal.
    """

    def __init__(self, file: GroupFile, seed: int) -> None:
        self.file = file
        self.engine = file.engine
        self.random = Random(seed)
        self.now = 0.0
        self.requests: list[SimulatedRequest] = []
        self.passes: list[PassRecord] = []
        self.free_at_refusals: list[float] = []
        self.demand = ExpertDemand(file.engine, file.demand, Random(seed + 1000))
        self.ranks = [SimulatedRank() for _ in range(file.group.ranks)]
        self.ledgers = [SlotLedger() for _ in self.ranks]
        self.endpoints = [self._endpoint(number) for number in range(len(self.ranks))]
        self.rank_numbers = {each.endpoint: number for number, each in enumerate(self.endpoints)}
        self.entries = [self._entry(number) for number in range(file.group.entries)]
        self.places: dict[int, tuple[int, SimulatedEntry]] = {}
        self.waiting: dict[int, SimulatedRequest] = {}
        self.returning: list[SimulatedRequest] = []
        self.is_out = False
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self.commander = self._commander()
        self.fractions = rank_fractions(self.commander.experts, self.demand.popularity)

    def _endpoint(self, number: int) -> EndpointHeartbeat:
        zone = f"zone-{number % self.file.group.zones}"
        address = Address(f"10.0.{number // 250}.{number % 250}", 80)
        return EndpointHeartbeat(
            f"rank-{number}", 1, 1, "engine", address, zone, self.engine.slots, EndpointPhase.READY
        )

    def _entry(self, number: int) -> SimulatedEntry:
        zone = f"zone-{number % self.file.group.zones}"
        placement = DirectPlacement(zone, Random(self.random.random()))
        pause_s = min(kind.pause_s for kind in self.file.kinds)
        placement.engine_timings = {"engine": engine_timing(self.engine, pause_s)}
        for endpoint in self.endpoints:
            placement.on_group_state(endpoint.address, "group", True)
        return SimulatedEntry(placement, nested_subsets(f"entry-{number}", zone, self.endpoints))

    def _commander(self) -> SimulatedCommander:
        first = initial_map(self.engine.expert_sets, len(self.ranks), self.engine.experts)
        return SimulatedCommander(
            self.file.group, self.engine, first, self._call_at, self._put_in_force
        )

    def _call_at(self, at: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._order), call))

    def _put_in_force(self, experts: ExpertPlacement) -> None:
        self.fractions = rank_fractions(experts, self.demand.popularity)

    def run(self) -> None:
        """Play the whole time of the file."""
        self._schedule_events()
        while self.now < self.file.seconds:
            working = any(rank.requests for rank in self.ranks)
            duration_s = self._begin_pass() if working else IDLE_PASS_S
            ends_at = self.now + duration_s
            running = {
                request.number
                for rank in self.ranks
                for request in rank.requests[: self.engine.slots]
            }
            while self._queue and self._queue[0][0] < ends_at:
                at, _, call = heapq.heappop(self._queue)
                self.now = max(self.now, at)
                call()
            self.now = ends_at
            if working:
                self._end_pass(running)

    def _schedule_events(self) -> None:
        file = self.file
        for kind in file.kinds:
            self._call_at(0.0, lambda kind=kind: self._arrive(kind))  # type: ignore[misc]
        self._call_at(STATUS_INTERVAL_S, self._report)
        self._call_at(PLAN_INTERVAL_S, self._plan)
        if file.demand.shift_every_s:
            self._call_at(file.demand.shift_every_s, self._shift_demand)
        for slow in file.slow:
            chosen = self.random.sample(range(len(self.ranks)), slow.count)
            for number in chosen:
                self._call_at(slow.at, lambda n=number, x=slow.factor: self._set_pace(n, x))  # type: ignore[misc]
                self._call_at(slow.at + slow.for_s, lambda n=number: self._set_pace(n, 1.0))  # type: ignore[misc]
        for outage in file.outages:
            self._call_at(outage.at, self._begin_outage)
            self._call_at(outage.at + outage.for_s, self._end_outage)

    def _set_pace(self, number: int, pace: float) -> None:
        self.ranks[number].pace = pace

    def _shift_demand(self) -> None:
        self.demand.shift()
        self.fractions = rank_fractions(self.commander.experts, self.demand.popularity)
        self._call_at(self.now + self.file.demand.shift_every_s, self._shift_demand)

    def _plan(self) -> None:
        self.commander.consider_change(self.ranks, self.now)
        self._call_at(self.now + PLAN_INTERVAL_S, self._plan)

    # Callers.

    def _arrive(self, kind: RequestKind) -> None:
        rate = kind.per_s
        for crest in self.file.crests:
            if crest.at <= self.now < crest.at + crest.for_s and crest.kind in ("", kind.name):
                rate *= crest.factor
        size = self.random.lognormvariate(-(kind.spread**2) / 2, kind.spread)
        events = self.random.lognormvariate(-(kind.spread**2) / 2, kind.spread) * kind.events
        request = SimulatedRequest(
            len(self.requests),
            kind,
            self.now,
            self.now,
            min(3.0, size) * kind.prompt,
            max(1, round(min(2.5 * kind.events, events))),
            size,
        )
        self.requests.append(request)
        self._call_at(request.first_asked_at + kind.deadline_s, lambda: self._leave(request))
        if self.is_out:
            self.returning.append(request)
        else:
            self._ask(request)
        self._call_at(self.now + self.random.expovariate(rate), lambda: self._arrive(kind))

    def _ask(self, request: SimulatedRequest) -> None:
        if request.outcome:
            return
        request.asked_at = self.now
        kind = request.kind
        patience = patience_s(kind.objective_s, kind.pause_s)
        self._call_at(self.now + patience, lambda: self._leave_without_event(request))
        entry = self.random.choice(self.entries)
        has_priorities = len({each.priority for each in self.file.kinds}) > 1
        search = SlotSearch(entry.placement, (), self.engine, has_priorities=has_priorities)
        due_at = request.first_asked_at + kind.objective_s - entry.pace.first_event_s
        gives_up_at = min(request.first_asked_at + kind.deadline_s, self.now + patience)
        wait_until = gives_up_at - entry.pace.first_event_s
        while True:
            target = search.next_slot_request(entry.endpoints(self.now), self.now)
            if target is None:
                self._refuse(request, entry)
                return
            number = self.rank_numbers[target.candidate.heartbeat.endpoint]
            ledger = self.ledgers[number]
            others = ledger.requests + len(ledger.line)
            wanted = WaitingRequest(
                "entries", request.number, target.most, due_at, kind.priority, wait_until
            )
            state = ledger.reserve_slot(wanted, target.queue, self.now)
            self._tell_rejected(number)
            entry.placement.on_load_reported(target.candidate.heartbeat, others, self.now)
            if state is SlotState.RESERVED:
                self._start(request, number, entry)
                return
            if state is SlotState.WAITING:
                if request.outcome:
                    return
                self.places[request.number] = (number, entry)
                self.waiting[request.number] = request
                self._call_at(wait_until, lambda: self._stop_waiting(request))
                return
            if target.queue:
                self._refuse(request, entry)
                return
            search.on_refused(target)

    def _start(self, request: SimulatedRequest, number: int, entry: SimulatedEntry) -> None:
        entry.placement.on_request_sent(self.endpoints[number])
        self.places[request.number] = (number, entry)
        request.started_at = self.now
        self.ranks[number].requests.append(request)

    def _refuse(self, request: SimulatedRequest, entry: SimulatedEntry) -> None:
        request.refusals += 1
        request.refusal_waits_s.append(self.now - request.asked_at)
        self.free_at_refusals.append(self._free_share())
        if request.refusals > CALLER_RETRIES:
            request.outcome = "refused"
            return
        left_s = request.first_asked_at + request.kind.deadline_s - self.now
        delay_s = min(entry.placement.random_retry_delay_s(self.engine), left_s / 3)
        self._call_at(self.now + delay_s, lambda: self._ask(request))

    def _free_share(self) -> float:
        """Return the share of the slots that no request has."""
        taken = sum(min(self.engine.slots, ledger.requests) for ledger in self.ledgers)
        return 1.0 - taken / (self.engine.slots * len(self.ledgers))

    def _stop_waiting(self, request: SimulatedRequest) -> None:
        if self.waiting.pop(request.number, None) is not None:
            number, entry = self.places.pop(request.number)
            self.ledgers[number].release_slot("entries", request.number)
            self._refuse(request, entry)

    def _leave_without_event(self, request: SimulatedRequest) -> None:
        if request.first_event_at is None and self.now - request.asked_at > 1.0:
            self._leave(request)

    def _leave(self, request: SimulatedRequest) -> None:
        if not request.outcome:
            self._end(request, "left")

    def _end(self, request: SimulatedRequest, outcome: str) -> None:
        request.outcome = outcome
        self.waiting.pop(request.number, None)
        place = self.places.pop(request.number, None)
        if place is None:
            return
        number, entry = place
        if outcome == "done" and request.first_event_at is not None:
            entry.pace.on_first_event(request.first_event_at - request.started_at)
        if request in self.ranks[number].requests:
            self.ranks[number].requests.remove(request)
            entry.placement.on_request_ended(self.endpoints[number])
        self.ledgers[number].release_slot("entries", request.number)
        self._serve_queue(number)

    # Agents.

    def _serve_queue(self, number: int) -> None:
        ledger = self.ledgers[number]
        while (served := ledger.reserve_for_next(self.now)) is not None:
            request = self.waiting.pop(served.number)
            handover_s = self.file.group.handover_s
            if not handover_s:
                self._hand_over(request, number)
                continue
            self._call_at(self.now + handover_s, partial(self._hand_over, request, number))
        self._tell_rejected(number)

    def _hand_over(self, request: SimulatedRequest, number: int) -> None:
        if not request.outcome:
            self._start(request, number, self.places[request.number][1])

    def _tell_rejected(self, number: int) -> None:
        for rejected in self.ledgers[number].take_rejected(self.now):
            request = self.waiting.pop(rejected.number, None)
            if request is not None:
                _, entry = self.places.pop(request.number)
                self._refuse(request, entry)

    def _report(self) -> None:
        """Let agents read their ranks, and entries and the commander hear of it."""
        for number, rank in enumerate(self.ranks):
            self._serve_queue(number)
            endpoint = self.endpoints[number]
            for entry in self.entries:
                if endpoint.endpoint in entry.placement.loads:
                    entry.placement.on_load_reported(endpoint, len(rank.requests), self.now)
                    entry.placement.on_pace_reported(endpoint, pace_weight(rank.pace), self.now)
        self.commander.report_counts(self.ranks, self.demand.popularity, self.now)
        self._call_at(self.now + STATUS_INTERVAL_S, self._report)

    # The group.

    def _begin_pass(self) -> float:
        work = [rank.plan_pass(self.engine) for rank in self.ranks]
        duration_s = pass_duration_s(self.engine, self.ranks, work, self.fractions)
        if self.commander.is_copying(self.now):
            duration_s *= COPY_SLOWDOWN
        skew = float(self.fractions.max(axis=1).mean() * len(self.ranks))
        requests = sum(len(rank.requests) for rank in self.ranks) / len(self.ranks)
        slow = [number for number, rank in enumerate(self.ranks) if rank.pace >= SLOW_PACE]
        at_slow = sum(len(self.ranks[number].requests) for number in slow) / max(1, len(slow))
        slow_load = float(self.fractions[:, slow].sum(axis=1).mean())
        self.passes.append(PassRecord(self.now, duration_s, skew, requests, at_slow, slow_load))
        return duration_s

    def _end_pass(self, running: set[int]) -> None:
        for rank in self.ranks:
            for request in [each for each in rank.requests if each.number in running]:
                if request.prompt_left:
                    continue
                if request.first_event_at is None:
                    request.first_event_at = self.now + self.file.group.first_event_s
                else:
                    pause_s = self.now - request.last_event_at
                    request.longest_pause_s = max(request.longest_pause_s, pause_s)
                    number, entry = self.places[request.number]
                    entry.placement.on_stream_pause(self.endpoints[number], pause_s, self.now)
                request.last_event_at = self.now
                request.events_left -= 1
                if not request.events_left:
                    self._end(request, "done")

    # An outage.

    def _begin_outage(self) -> None:
        self.is_out = True
        for request in self.requests:
            if not request.outcome:
                self._end(request, "lost")

    def _end_outage(self) -> None:
        self.is_out = False
        self.commander = self._commander()
        self._put_in_force(self.commander.experts)
        for entry in self.entries:
            entry.placement.on_group_state(self.endpoints[0].address, "group", False)
            entry.placement.on_group_state(self.endpoints[0].address, "group", True)
        for request in self.returning:
            delay_s = self.random.random() * RETURN_SPREAD_S
            self._call_at(self.now + delay_s, lambda request=request: self._ask(request))  # type: ignore[misc]
        self.returning = []
