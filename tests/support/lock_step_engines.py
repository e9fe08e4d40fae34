"""Engines that run passes together, before which requests wait in the product's own lines.

A pass takes longer the more requests run and the worse the experts' map fits. A request begins with
the pass after it got its slot; its first event comes with the end of that pass, the next ones with
each further pass.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from bergamotchute_model.node_messages import EnginePace, SlotState
from bergamotchute_policy.slot_ledger import SlotLedger
from bergamotchute_policy.slot_queue import WaitingRequest

SLOTS = 6
EMPTY_PASS_S = 0.04
ADDED_S = 0.005
"""What a request adds to a pass where the map fits; times the skew where it doesn't."""

FIRST_SKEW = 3.5
DRAFT_PASSES = 20
PAUSE_S = 0.12
IN_TIME_S = 0.4
BEGIN_S = 0.25
PATIENCE_S = 1.75
QUEUE = 5
ASKS = 4
REPORT_PASSES = 3
"""An agent reads its engine's passes about every 0.2 s."""


@dataclass
class Draft:
    """One request on its way.

    :param asked_at: when its caller first asked, which may be before it came.
    :param place: the engine that runs it.
    """

    number: int
    asked_at: float
    came_at: float
    place: int | None = None
    passes_left: int = DRAFT_PASSES
    first_s: float | None = None
    longest_pause_s: float = 0.0

    @property
    def in_time(self) -> bool:
        if self.first_s is None or self.passes_left:
            return False
        return self.first_s <= IN_TIME_S and self.longest_pause_s <= PAUSE_S


@dataclass
class LockStepEngines:
    """A group of engines and the agents' ledgers beside them.

    :param skews: the skew from a time on, in order.
    :param is_limited: whether agents know how their engines work.
    """

    engines: int = 12
    skews: tuple[tuple[float, float], ...] = ((0.0, 1.2),)
    is_limited: bool = True
    random: Random = field(default_factory=lambda: Random(1))
    now: float = 0.0
    step: int = 0
    ledgers: list[SlotLedger] = field(default_factory=list)
    drafts: dict[int, Draft] = field(default_factory=dict)
    waits: dict[int, tuple[int, ...]] = field(default_factory=dict)
    refused: list[Draft] = field(default_factory=list)

    def __post_init__(self) -> None:
        pace = EnginePace(SLOTS, EMPTY_PASS_S, ADDED_S * FIRST_SKEW, PAUSE_S)
        for _ in range(self.engines):
            ledger = SlotLedger()
            ledger.concurrency_limit.pace = pace if self.is_limited else None
            self.ledgers.append(ledger)

    def play(self, asked: Iterable[tuple[float, float]], until: float) -> list[Draft]:
        """Let requests come, given when each came and first asked; return all of them."""
        to_come = [Draft(number, first, came) for number, (came, first) in enumerate(sorted(asked))]
        all_drafts = list(to_come)
        while self.now < until:
            pass_s = self._pass_s()
            ends_at = self.now + pass_s
            running = [draft for draft in self.drafts.values() if draft.place is not None]
            while to_come and to_come[0].came_at < ends_at:
                self._place(to_come.pop(0))
            self.now = ends_at
            self.step += 1
            for draft in running:
                self._end_pass(draft, pass_s)
            for place, ledger in enumerate(self.ledgers):
                if self.step % REPORT_PASSES == 0:
                    ledger.concurrency_limit.observe(1, self.step, ledger.requests, self.now)
                self._serve(place)
        return all_drafts

    def _pass_s(self) -> float:
        skew = [skew for since, skew in self.skews if since <= self.now][-1]
        fullest = max(ledger.requests for ledger in self.ledgers)
        return EMPTY_PASS_S + min(fullest, SLOTS) * ADDED_S * skew

    def _end_pass(self, draft: Draft, pass_s: float) -> None:
        if draft.first_s is None:
            draft.first_s = self.now - draft.asked_at
        else:
            draft.longest_pause_s = max(draft.longest_pause_s, pass_s)
        draft.passes_left -= 1
        if not draft.passes_left:
            assert draft.place is not None
            self.ledgers[draft.place].release_slot("entry", draft.number)
            del self.drafts[draft.number]

    def _place(self, draft: Draft) -> None:
        """Ask a few agents, then wait beside some."""
        now = draft.came_at
        order = sorted(range(self.engines), key=lambda _: self.random.random())
        order.sort(key=self._load)
        self.drafts[draft.number] = draft
        for place in order[:ASKS]:
            request = self._request(draft, SLOTS - 1)
            if self.ledgers[place].reserve_slot(request, 0, now) is SlotState.RESERVED:
                draft.place = place
                return
        waits = []
        for place in order[:1]:
            state = self.ledgers[place].reserve_slot(self._request(draft, SLOTS - 1), QUEUE, now)
            if state is SlotState.RESERVED:
                self._leave(draft.number, waits)
                draft.place = place
                return
            if state is SlotState.WAITING:
                waits.append(place)
        self.waits[draft.number] = tuple(waits)
        if not waits:
            self._refuse(draft.number)

    def _load(self, place: int) -> int:
        return self.ledgers[place].requests + len(self.ledgers[place].line)

    def _request(self, draft: Draft, most: int) -> WaitingRequest:
        due_at = draft.asked_at + IN_TIME_S - BEGIN_S
        leaves_at = draft.came_at + PATIENCE_S
        return WaitingRequest("entry", draft.number, most, due_at, 0, leaves_at)

    def _serve(self, place: int) -> None:
        ledger = self.ledgers[place]
        while (served := ledger.reserve_for_next(self.now)) is not None:
            self._leave(
                served.number, [each for each in self.waits[served.number] if each != place]
            )
            self.drafts[served.number].place = place
        for away in ledger.take_rejected(self.now):
            left = tuple(each for each in self.waits[away.number] if each != place)
            self.waits[away.number] = left
            if not left:
                self._refuse(away.number)

    def _leave(self, number: int, places: Iterable[int]) -> None:
        for place in places:
            self.ledgers[place].line.remove("entry", number)

    def _refuse(self, number: int) -> None:
        self.refused.append(self.drafts.pop(number))
