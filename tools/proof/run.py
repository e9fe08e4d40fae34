"""Runs a scenario over the real tasks and judges it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field

import anyio
import trio
import trio.testing

from bergamotchute_model.event_record import EventRecord
from tools.proof.callers import Callers, Operators
from tools.proof.checkers import Violation, check
from tools.proof.faults import Faults
from tools.proof.files import BASE, OPERATIONS, base_file, operations_file, variant_file
from tools.proof.history import (
    CallEnded,
    CallSent,
    Ending,
    EndpointLeaving,
    EndpointReturned,
    ExecutionStarted,
    History,
)
from tools.proof.scenario import Call, Expectation, Fault, Operation, Scenario, Step
from tools.proof.world import World, with_events

SETTLE_S = 4.0
AFTER_S = 8.0
CHANGE_TRIES = 3


@dataclass
class Result:
    """What a run gave.

    :param violations: broken promises.
    :param failures: expectations of the scenario that did not hold.
    :param length_s: how long the run was, on the runtime clock.
    """

    scenario: Scenario
    seed: int
    history: History
    events: list[EventRecord]
    violations: list[Violation] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        """Return whether everything held."""
        return not self.violations and not self.failures


Injection = Callable[["Runner", EventRecord], None]


@dataclass
class Runner:
    """Carries out the steps of one scenario in one world.

    :param numbers: the number in force of each file, as operators know it.
    :param drained: endpoints that the operations file drains.
    :param began: whether the files are in force and the steps have begun.
    """

    world: World
    numbers: dict[str, int] = field(default_factory=dict)
    drained: set[str] = field(default_factory=set)
    began: bool = False

    def __post_init__(self) -> None:
        self.callers = Callers(self.world)
        self.operators = Operators(self.world)
        self.faults = Faults(self.world)
        self.applying = anyio.Lock()

    async def run(self) -> None:
        """Start the world, do every step, and wait until all calls have ended."""
        scenario = self.world.scenario
        await self.world.start()
        await anyio.sleep(SETTLE_S)
        await self.operators.apply(BASE, base_file(scenario))
        await anyio.sleep(SETTLE_S)
        self.began = True
        began_s = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for step in scenario.steps:
                await anyio.sleep_until(began_s + step.at_s)
                tasks.start_soon(self.act, step)
        await anyio.sleep(AFTER_S)
        self.world.history.ended_at_s = anyio.current_time()

    async def act(self, step: Step) -> None:
        """Do one step."""
        match step.action:
            case Call():
                await self.callers.send(step.action)
            case Operation():
                await self.operate(step.action)
            case Fault():
                await self.faults.bring(step.action)

    async def operate(self, operation: Operation) -> None:
        """Do what an operator does."""
        match operation.kind:
            case "drain" | "return":
                await self.drain(operation.target, operation.kind == "drain")
            case "stop":
                await self.world.stop(operation.target)
            case "change":
                await self.change(operation.target)
            case "apply":
                name, number = operation.target, operation.number
                text = variant_file(name, number, operation.variant, self.world.scenario)
                await self.operators.apply(name, text, operation.through)
                self.numbers[name] = max(self.numbers.get(name, 0), number)

    async def drain(self, endpoint: str, leave: bool) -> None:
        """Put the drain of an endpoint in force, or end it.

        A drain binds from when the operator is told of it; its end may be in force from when it
        is sent.
        """
        async with self.applying:
            if not leave:
                self.world.history.add(EndpointReturned(anyio.current_time(), endpoint))
            wanted = self.drained | {endpoint} if leave else self.drained - {endpoint}
            number = self.numbers.get(OPERATIONS, 0) + 1
            found = await self.operators.apply(OPERATIONS, operations_file(number, wanted))
            if found.get("outcome") not in ("accepted", "repeated"):
                return
            self.numbers[OPERATIONS], self.drained = number, wanted
        if leave:
            self.world.history.add(EndpointLeaving(anyio.current_time(), endpoint))

    async def change(self, name: str) -> None:
        """Apply the next number of a file."""
        async with self.applying:
            for _ in range(CHANGE_TRIES):
                number = self.numbers.get(name, 0) + 1
                text = variant_file(name, number, "", self.world.scenario)
                found = await self.operators.apply(name, text)
                if found:
                    self.numbers[name] = int(found["number"])
                if found.get("outcome") in ("accepted", "repeated"):
                    return


def run_scenario(scenario: Scenario, seed: int, inject: Injection | None = None) -> Result:
    """Run a scenario once under the paused clock.

    :param inject: told of each event as it happens; may bring about faults.
    """
    history = History()
    result = Result(scenario, seed, history, [])

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            world = World(scenario, seed, tasks, history, result.events)
            runner = Runner(world)
            if inject is not None:
                world.on_event = lambda event: inject(runner, event)
            await with_events(world, runner.run)
            result.failures.extend(_failures(runner))
            tasks.cancel_scope.cancel()

    _run_deterministically(main, seed)
    result.violations.extend(check(history))
    return result


def _run_deterministically(main: Callable[[], Awaitable[None]], seed: int) -> None:
    """Run ``main`` with trio's own choices made by the seed."""
    from trio._core import _run  # noqa: PLC0415 - no public switch exists.

    setattr(_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)  # noqa: B010 - it is named final.
    _run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)


def _failures(runner: Runner) -> Iterator[str]:
    for expectation in runner.world.scenario.expectations:
        yield from _judge(expectation, runner)


def _judge(expectation: Expectation, runner: Runner) -> Iterator[str]:
    """Yield why an expectation did not hold."""
    history = runner.world.history
    place = f"line {expectation.line}: {expectation.pattern}"
    if expectation.outcome in ("accepted", "conflict", "repeated"):
        found = [
            outcome
            for name, outcomes in runner.operators.outcomes.items()
            for outcome in outcomes
            if expectation.covers(name) and outcome == expectation.outcome
        ]
        if len(found) < max(1, expectation.at_least):
            yield f"{place}: {len(found)} {expectation.outcome}"
        return
    if expectation.outcome == "runs":
        for name in sorted({s.call for s in history.of(CallSent) if expectation.covers(s.call)}):
            runs = sum(started.call == name for started in history.of(ExecutionStarted))
            if runs != expectation.runs:
                yield f"{place}: {name} ran {runs} times, expected {expectation.runs}"
        return
    yield from _judge_endings(expectation, history, place)


def _judge_endings(expectation: Expectation, history: History, place: str) -> Iterator[str]:
    sent = {(s.call, s.number): s for s in history.of(CallSent) if expectation.covers(s.call)}
    ends = {(e.call, e.number): e for e in history.of(CallEnded)}
    missing = [
        f"{name} {_tell(ends.get((name, number)))}"
        for (name, number), sending in sent.items()
        if not _meets(expectation, sending, ends.get((name, number)))
    ]
    held = len(sent) - len(missing)
    if held < (expectation.at_least or len(sent)):
        wanted = f"{expectation.at_least or len(sent)} {expectation.outcome}"
        yield f"{place}: {held} of {len(sent)}, expected {wanted}; {', '.join(missing[:3])}"


def _meets(expectation: Expectation, sent: CallSent, end: CallEnded | None) -> bool:
    if end is None:
        return False
    if expectation.within_s and end.at_s - sent.at_s > expectation.within_s:
        return False
    match expectation.outcome:
        case "answered":
            return end.ending is Ending.ANSWERED
        case "refused":
            return end.ending is Ending.REFUSED and end.verdict == "not_run"
        case "unknown":
            return end.verdict == "may_have_run"
        case _:
            return end.ending is not Ending.LEFT


def _tell(end: CallEnded | None) -> str:
    return "never ended" if end is None else f"{end.ending} {end.code} {end.verdict}".strip()
