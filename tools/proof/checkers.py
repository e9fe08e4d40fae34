"""Checkers of the promises; each reads only the history of a run.

``check(history)`` gives every violation found. A checker knows nothing of the code under test.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from tools.proof.history import (
    CallEnded,
    CallSent,
    ChangeAccepted,
    Ending,
    EndpointLeaving,
    EndpointReturned,
    ExecutionEnded,
    ExecutionStarted,
    FaultBrought,
    History,
    ProcessEnded,
    RankStepped,
    StopPlanned,
    ViewDropped,
    ViewUsed,
)

LEAVING_S = 5.0
IN_FORCE_S = 17.0
ANSWER_SLACK_S = 1.0


@dataclass(frozen=True)
class Violation:
    """One promise that a run broke.

    :param promise: the checker's name.
    """

    promise: str
    at_s: float
    text: str


Found = Iterator[tuple[float, str]]
Checker = Callable[[History], Found]


def one_map_a_step(history: History) -> Found:
    """In every step, all ranks of a group use one and the same expert map."""
    seen: dict[tuple[str, int], RankStepped] = {}
    for step in history.of(RankStepped):
        first = seen.setdefault((step.group, step.step), step)
        if first.expert_map != step.expert_map:
            yield step.at_s, (
                f"group {step.group} step {step.step}: rank {first.rank} used map "
                f"{first.expert_map}, rank {step.rank} used {step.expert_map}"
            )


def whole_own_answer(history: History) -> Found:
    """A caller that is answered has the whole answer to its own request."""
    expected = {(sent.call, sent.number): sent.expected for sent in history.of(CallSent)}
    for ended in history.of(CallEnded):
        wanted = expected.get((ended.call, ended.number))
        if wanted is None:
            yield ended.at_s, f"call {ended.call} was answered and never sent"
        elif ended.ending is Ending.ANSWERED and wanted and ended.answer != wanted:
            yield ended.at_s, (
                f"call {ended.call} expected {len(wanted)} characters {wanted[:40]!r}, "
                f"got {len(ended.answer)} characters {ended.answer[:40]!r}"
            )
        elif ended.ending is Ending.CUT and not (wanted or "").startswith(ended.answer):
            yield ended.at_s, f"call {ended.call} got part of another answer before it was cut"


def not_run_is_true(history: History) -> Found:
    """Work that a caller was told was not run is executed by no endpoint, then or later."""
    verdicts = {(end.call, end.number): end.verdict for end in history.of(CallEnded)}
    sendings: dict[str, list[CallSent]] = defaultdict(list)
    for event in history.events:
        if isinstance(event, CallSent):
            sendings[event.call].append(event)
        if isinstance(event, ExecutionStarted):
            told = [verdicts.get((sent.call, sent.number)) for sent in sendings[event.call]]
            if all(verdict == "not_run" for verdict in told):
                yield event.at_s, f"call {event.call} ran at {event.endpoint}, told not run"


def at_most_once(history: History) -> Found:
    """A non-idempotent call is executed at most once, over all its resends."""
    keys = {sent.call: sent.key for sent in history.of(CallSent) if sent.key}
    first: dict[str, ExecutionStarted] = {}
    for started in history.of(ExecutionStarted):
        key = keys.get(started.call)
        if key is None:
            continue
        if key in first:
            yield started.at_s, (
                f"key {key} ran at {first[key].endpoint} and again at {started.endpoint}"
            )
        first.setdefault(key, started)


def leaving_gets_no_work(history: History) -> Found:
    """An endpoint that leaves starts nothing new after a few seconds."""
    left_at: dict[str, float] = {}
    for event in history.events:
        match event:
            case EndpointLeaving(at_s, endpoint):
                left_at.setdefault(endpoint, at_s)
            case EndpointReturned(_, endpoint):
                left_at.pop(endpoint, None)
            case ExecutionStarted(at_s, endpoint, _, call):
                since = at_s - left_at.get(endpoint, at_s)
                if since > LEAVING_S:
                    yield at_s, f"{endpoint} began {call} {since:.1f} s after it was to leave"


def planned_stop_cuts_nothing(history: History) -> Found:
    """A planned stop lets all that is in flight end whole.

    An execution at a leaving endpoint must run to its end. Once a fault has struck, it may also
    have been given up for another that gave its caller the whole answer, or because the entry
    that its caller was connected to died.
    """
    leaving: set[str] = set()
    gave_up = _calls_that_ended(history, Ending.LEFT)
    answered = _calls_that_ended(history, Ending.ANSWERED) | _calls_of_dead_entries(history)
    struck = False
    running: dict[int, ExecutionStarted] = {}
    for event in history.events:
        match event:
            case EndpointLeaving(_, name) | StopPlanned(_, name):
                leaving.add(name)
            case EndpointReturned(_, name):
                leaving.discard(name)
            case FaultBrought():
                struck = True
            case ExecutionStarted():
                running[event.execution] = event
            case ExecutionEnded(at_s, endpoint, execution, completed, crashed):
                started = running.pop(execution, None)
                cut = endpoint in leaving and not completed and not crashed
                excused = gave_up | answered if struck else gave_up
                if started and cut and started.call not in excused:
                    yield at_s, f"{endpoint} cut off {started.call} while it was to leave in order"
            case ProcessEnded(at_s, process, planned):
                open_calls = _open_calls(history, process, at_s) if planned else ()
                for call in open_calls:
                    yield at_s, f"{process} ended in order and left {call} without an answer"


def _calls_that_ended(history: History, ending: Ending) -> set[str]:
    return {ended.call for ended in history.of(CallEnded) if ended.ending is ending}


def _calls_of_dead_entries(history: History) -> set[str]:
    """Return calls whose connection broke because their entry died."""
    died = {ended.process for ended in history.of(ProcessEnded) if not ended.planned}
    cut = _calls_that_ended(history, Ending.CUT)
    return {sent.call for sent in history.of(CallSent) if sent.entry in died and sent.call in cut}


def _open_calls(history: History, entry: str, at_s: float) -> list[str]:
    """Return the calls sent to ``entry`` before ``at_s`` that ended cut off at or after it."""
    ends = {(ended.call, ended.number): ended for ended in history.of(CallEnded)}
    calls: list[str] = []
    for sent in history.of(CallSent):
        end = ends.get((sent.call, sent.number))
        late = end is None or (end.at_s >= at_s and end.ending is Ending.CUT)
        if sent.entry == entry and sent.at_s < at_s and late:
            calls.append(sent.call)
    return calls


def change_stays_in_force(history: History) -> Found:
    """An accepted change is in force everywhere within seconds and never reverts."""
    contents: dict[tuple[str, int], str] = {}
    newest: dict[str, int] = {}
    uses = list(_uses(history))
    for use in uses:
        before = newest.get(use.process, 0)
        if use.revision < before:
            yield use.from_s, f"{use.process} went back from {before} to {use.revision}"
        newest[use.process] = max(before, use.revision)
    for accepted in history.of(ChangeAccepted):
        first = contents.setdefault((accepted.file, accepted.number), accepted.digest)
        if first != accepted.digest:
            name = f"file {accepted.file} number {accepted.number}"
            yield accepted.at_s, f"{name} was accepted with two contents"
        due_s = accepted.at_s + IN_FORCE_S
        for use in uses:
            if use.revision < accepted.revision and use.to_s > due_s:
                late_s = max(use.from_s, due_s)
                yield late_s, f"{use.process} used {use.revision}, {accepted.revision} was due"


@dataclass(frozen=True)
class _Use:
    """A span of time in which a process took work under one revision."""

    process: str
    revision: int
    from_s: float
    to_s: float


def _uses(history: History) -> Iterator[_Use]:
    """Yield every span, in the order of their ends."""
    begun: dict[str, ViewUsed] = {}
    for event in history.events:
        if not isinstance(event, ViewUsed | ViewDropped | ProcessEnded):
            continue
        use = begun.pop(event.process, None)
        if use is not None:
            yield _Use(use.process, use.revision, use.at_s, event.at_s)
        if isinstance(event, ViewUsed):
            begun[event.process] = event
    for use in begun.values():
        yield _Use(use.process, use.revision, use.at_s, history.ended_at_s)


def every_call_ends(history: History) -> Found:
    """No work is silently lost: each call ends for its caller by its deadline."""
    ends = {(ended.call, ended.number): ended for ended in history.of(CallEnded)}
    for sent in history.of(CallSent):
        end = ends.get((sent.call, sent.number))
        if end is None:
            yield history.ended_at_s, f"call {sent.call} never ended"
        elif end.at_s > sent.deadline_s + ANSWER_SLACK_S:
            yield end.at_s, f"call {sent.call} ended {end.at_s - sent.deadline_s:.1f} s late"


PROMISES: tuple[Checker, ...] = (
    one_map_a_step,
    whole_own_answer,
    not_run_is_true,
    at_most_once,
    leaving_gets_no_work,
    planned_stop_cuts_nothing,
    change_stays_in_force,
    every_call_ends,
)


def check(history: History) -> list[Violation]:
    """Return every violation of every promise."""
    return [
        Violation(checker.__name__, at_s, text)
        for checker in PROMISES
        for at_s, text in checker(history)
    ]
