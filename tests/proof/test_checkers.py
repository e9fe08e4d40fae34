"""Each checker passes a sound history and catches its own mutant of it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest
from tools.proof.checkers import IN_FORCE_S, LEAVING_S, PROMISES, check
from tools.proof.history import (
    CallEnded,
    CallSent,
    ChangeAccepted,
    Ending,
    EndpointLeaving,
    ExecutionEnded,
    ExecutionStarted,
    FaultBrought,
    History,
    HistoryEvent,
    ProcessEnded,
    RankStepped,
    StopPlanned,
    ViewDropped,
    ViewUsed,
)

SOUND: tuple[HistoryEvent, ...] = (
    ViewUsed(0.0, "entry-1", 3),
    ViewUsed(0.0, "entry-2", 3),
    CallSent(1.0, "draft", 1, "entry-1", "", "in the order of ", 10.0),
    CallSent(1.0, "order", 1, "entry-1", "k-1", "", 10.0),
    CallSent(1.0, "late", 1, "entry-1", "", "", 10.0),
    ExecutionStarted(1.1, "drafts-1", 1, "draft"),
    ExecutionStarted(1.1, "orders-1", 2, "order"),
    CallEnded(1.2, "late", 1, Ending.REFUSED, "not_run", "", "overloaded"),
    EndpointLeaving(2.0, "drafts-1"),
    ExecutionEnded(2.5, "orders-1", 2, True),
    CallEnded(2.6, "order", 1, Ending.CUT, "", ""),
    CallSent(3.0, "order", 2, "entry-2", "k-1", "", 12.0),
    CallEnded(3.1, "order", 2, Ending.ANSWERED, "completed", "P-1"),
    ChangeAccepted(3.2, 4, "teams", 2, "aa"),
    ViewUsed(4.0, "entry-2", 4),
    ViewDropped(5.0, "entry-1"),
    ExecutionEnded(8.0, "drafts-1", 1, True),
    CallEnded(8.1, "draft", 1, Ending.ANSWERED, "completed", "in the order of "),
    StopPlanned(8.2, "entry-1"),
    ProcessEnded(9.0, "entry-1", True),
    RankStepped(9.0, "group-1", 0, 1, "m1"),
    RankStepped(9.1, "group-1", 1, 1, "m1"),
    RankStepped(9.2, "group-1", 0, 2, "m2"),
    RankStepped(9.3, "group-1", 1, 2, "m2"),
    ViewUsed(40.0, "entry-2", 4),
)


def history_of(events: tuple[HistoryEvent, ...]) -> History:
    history = History()
    for event in events:
        history.add(event)
    return history


def edit(
    kind: type, where: Callable[[HistoryEvent], bool], **changes: object
) -> tuple[HistoryEvent, ...]:
    """Return the sound history with the matching events changed."""
    return tuple(
        replace(e, **changes) if isinstance(e, kind) and where(e) else e for e in SOUND  # type: ignore[arg-type]
    )


def insert(*events: HistoryEvent) -> tuple[HistoryEvent, ...]:
    """Return the sound history with events put in at their times."""
    return tuple(sorted((*SOUND, *events), key=lambda event: event.at_s))


def named(call: str) -> Callable[[HistoryEvent], bool]:
    return lambda event: getattr(event, "call", "") == call


MUTANTS: list[tuple[str, tuple[HistoryEvent, ...]]] = [
    ("one_map_a_step", edit(RankStepped, lambda e: e == SOUND[-2], expert_map="m1")),
    ("whole_own_answer", edit(CallEnded, named("draft"), answer="in the order ")),
    ("whole_own_answer", edit(CallEnded, named("draft"), answer="of one other here")),
    ("whole_own_answer", edit(CallEnded, named("draft"), answer="in in the order of ")),
    ("not_run_is_true", insert(ExecutionStarted(1.5, "drafts-2", 9, "late"))),
    ("not_run_is_true", insert(ExecutionStarted(39.0, "drafts-2", 9, "late"))),
    ("not_run_is_true", edit(CallEnded, lambda e: e == SOUND[10], verdict="not_run")),
    ("at_most_once", insert(ExecutionStarted(3.05, "orders-2", 9, "order"))),
    ("leaving_gets_no_work", insert(ExecutionStarted(2.1 + LEAVING_S, "drafts-1", 9, "draft"))),
    ("planned_stop_cuts_nothing", edit(ExecutionEnded, lambda e: e == SOUND[16], completed=False)),
    (
        "planned_stop_cuts_nothing",
        edit(CallEnded, named("draft"), at_s=9.5, ending=Ending.CUT, answer="in the "),
    ),
    ("change_stays_in_force", insert(ViewUsed(6.0, "entry-2", 3), ViewUsed(6.1, "entry-2", 4))),
    ("change_stays_in_force", edit(ViewUsed, lambda e: e.at_s == 4.0, at_s=4.0 + IN_FORCE_S)),
    ("change_stays_in_force", insert(ViewUsed(35.0, "entry-3", 3))),
    ("change_stays_in_force", insert(ChangeAccepted(3.3, 5, "teams", 2, "bb"))[:-1]),
    ("every_call_ends", tuple(e for e in SOUND if e != SOUND[17])),
    ("every_call_ends", edit(CallEnded, named("draft"), at_s=11.5)),
]


def test_a_sound_history_passes() -> None:
    assert check(history_of(SOUND)) == []


@pytest.mark.parametrize(("promise", "events"), MUTANTS)
def test_mutant_is_caught(promise: str, events: tuple[HistoryEvent, ...]) -> None:
    assert promise in {violation.promise for violation in check(history_of(events))}


def test_a_cut_is_excused_only_by_the_death_of_its_own_entry() -> None:
    broken = edit(CallEnded, named("draft"), ending=Ending.CUT, answer="in the ")
    cut = tuple(replace(e, completed=False) if e == SOUND[16] else e for e in broken)
    for dead, red in (("entry-2", True), ("entry-1", False)):
        struck = (FaultBrought(2.1, dead, "crash"), ProcessEnded(2.1, dead, False))
        events = tuple(sorted((*cut, *struck), key=lambda event: event.at_s))
        found = {violation.promise for violation in check(history_of(events))}
        assert ("planned_stop_cuts_nothing" in found) is red


def test_every_promise_has_a_mutant() -> None:
    assert {checker.__name__ for checker in PROMISES} == {promise for promise, _ in MUTANTS}
