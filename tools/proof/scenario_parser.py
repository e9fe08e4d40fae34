"""Reads the scenario language; errors carry line and column."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

from lark import Lark, Token, Tree, UnexpectedInput

from tools.proof.scenario import (
    Action,
    Call,
    Expectation,
    Fault,
    Operation,
    RankGroup,
    RunnerGroup,
    Scenario,
    Step,
)

UNITS_S = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
MAX_STEPS = 20_000
MAX_PROCESSES = 200
LEADER = "leader"
PARSER = Lark(
    Path(__file__).with_name("scenario.lark").read_text(encoding="utf-8"),
    parser="lalr",
    propagate_positions=True,
)
WORDS = {
    "_NL": "a new line",
    "TIME": "a time such as 2s or 150ms",
    "NAME": "a name",
    "INT": "a number",
    "STRING": "a text in quotes",
    "KIND": "draft, order or check",
    "DIRECTION": "inward or outward",
    "OUTCOME": "answered, refused, unknown, ended, accepted, conflict or repeated",
}


class ScenarioError(Exception):
    """A scenario that can't be read.

    :param line: counted from 1.
    :param column: counted from 1.
    """

    def __init__(self, line: int, column: int, text: str) -> None:
        super().__init__(f"line {line}, column {column}: {text}")
        self.line = line
        self.column = column


def parse_scenario(text: str) -> Scenario:
    """Read a scenario.

    :raises ScenarioError: with the line and the column of the first fault.
    """
    try:
        tree = PARSER.parse(text + "\n")
    except UnexpectedInput as error:
        raise _syntax_error(error, text) from None
    scenario = _setup(tree.children)
    steps = sorted(_steps(tree.children, scenario), key=lambda step: step.at_s)
    if len(steps) > MAX_STEPS:
        raise ScenarioError(1, 1, f"{len(steps)} steps; at most {MAX_STEPS} are allowed")
    scenario = replace(scenario, steps=tuple(steps))
    return replace(scenario, expectations=tuple(_expectations(tree.children, scenario)))


def _syntax_error(error: UnexpectedInput, text: str) -> ScenarioError:
    lines = text.splitlines()
    line = min(max(error.line, 1), len(lines) + 1)
    column = max(error.column, 1)
    rest = lines[line - 1][column - 1 :] if line <= len(lines) else ""
    found = f"found {rest.split()[0]!r}" if rest.split() else "found the end of the line"
    allowed = getattr(error, "accepts", None) or getattr(error, "expected", None) or ()
    names = sorted(WORDS.get(name, name.lower()) for name in allowed if name != "$END")
    return ScenarioError(line, column, f"{found}, expected {' or '.join(names) or 'the end'}")


def _error(place: Any, text: str) -> ScenarioError:
    """Return an error at a token or a tree."""
    where = place.meta if isinstance(place, Tree) else place
    return ScenarioError(where.line, where.column, text)


def _seconds(token: Any) -> float:
    number = token.rstrip("abcdefghijklmnopqrstuvwxyz")
    return float(number) * UNITS_S[token[len(number) :]]


def _options(trees: list[Any]) -> dict[str, Any]:
    """Return options by name: times in seconds, numbers as int, names as str, bare ones True."""
    return {str(tree.data): _value(tree.children) for tree in trees}


def _value(children: list[Any]) -> Any:
    if not children:
        return True
    token = children[0]
    readers: dict[str, Callable[[Any], Any]] = {"TIME": _seconds, "INT": int}
    return readers.get(token.type, str)(token)


def _setup(lines: Any) -> Scenario:
    """Return the scenario without its steps."""
    scenario = Scenario(title="")
    for tree in lines:
        if not isinstance(tree, Tree):
            continue
        items: list[Any] = tree.children
        match tree.data:
            case "title":
                scenario = replace(scenario, title=str(items[0][1:-1]))
            case "zones":
                scenario = replace(scenario, zones=tuple(str(name) for name in items))
            case "entries":
                scenario = replace(scenario, entries=int(items[0]), voters=int(items[1]))
            case "runners":
                options = _options(items[2:])
                if "work" in options:
                    options["work_s"] = options.pop("work")
                group = RunnerGroup(str(items[1]), int(items[0]), **options)
                scenario = replace(scenario, runners=(*scenario.runners, group))
            case "group":
                ranks = RankGroup(str(items[0]), int(items[1]), int(items[2]))
                scenario = replace(scenario, groups=(*scenario.groups, ranks))
        _check_size(tree, scenario)
    return scenario


def _check_size(tree: Any, scenario: Scenario) -> None:
    if scenario.voters > scenario.entries:
        raise _error(tree, f"{scenario.voters} voters need as many entries")
    if len(scenario.names) > MAX_PROCESSES:
        raise _error(tree, f"{len(scenario.names)} processes; at most {MAX_PROCESSES}")
    if len(set(scenario.names)) < len(scenario.names):
        raise _error(tree, "two processes have one name")


def _steps(lines: Any, scenario: Scenario) -> Iterator[Step]:
    for tree in lines:
        if not isinstance(tree, Tree):
            continue
        items: list[Any] = tree.children
        if tree.data == "timed":
            yield Step(_seconds(items[0]), _action(items[1], scenario), tree.meta.line)
        if tree.data == "repeated":
            start_s, end_s, every_s = (_seconds(item) for item in items[:3])
            if every_s <= 0 or end_s < start_s or (end_s - start_s) / every_s > MAX_STEPS:
                raise _error(tree, "the times give no bounded row of steps")
            yield from _row(start_s, end_s, every_s, _action(items[3], scenario), tree.meta.line)


def _row(start_s: float, end_s: float, every_s: float, action: Action, line: int) -> Iterator[Step]:
    """Yield a step at each moment; calls get numbered names."""
    for index in range(int((end_s - start_s) / every_s + 1e-9) + 1):
        numbered = action
        if isinstance(action, Call):
            numbered = replace(action, name=f"{action.name}-{index + 1}")
        yield Step(round(start_s + index * every_s, 9), numbered, line)


OPERATIONS = ("drain", "return", "stop", "rebalance", "apply", "change")


def _action(tree: Any, scenario: Scenario) -> Action:
    kind = str(tree.data).rstrip("_")
    if kind == "call":
        return _call(tree, scenario)
    if kind in OPERATIONS:
        return _operation(kind, tree.children, scenario)
    return _fault(kind, tree.children, scenario)


def _operation(kind: str, items: list[Any], scenario: Scenario) -> Operation:
    if kind == "apply":
        return Operation(kind, str(items[0]), int(items[1]), **_options(items[2:]))
    if kind == "change":
        return Operation(kind, str(items[0]))
    return Operation(kind, _target(items[0], scenario))


def _call(tree: Any, scenario: Scenario) -> Call:
    options = _options(tree.children[2:])
    if "within" in options:
        options["within_s"] = options.pop("within")
    if "through" in options and options["through"] not in scenario.entry_names:
        names = _list(scenario.entry_names)
        raise _error(tree, f"no entry {options['through']}; entries are {names}")
    if "to" in options:
        options["service"] = options.pop("to")
    call = Call(str(tree.children[0]), str(tree.children[1]), **options)
    fitting = [g.service for g in scenario.runners if g.plain != (call.kind == "draft")]
    if not fitting:
        raise _error(tree, f"no runners for a {call.kind}")
    service = call.service or fitting[0]
    if service not in fitting:
        raise _error(tree, f"no service {service} for a {call.kind}; found {_list(fitting)}")
    return replace(call, service=service)


def _fault(kind: str, items: list[Any], scenario: Scenario) -> Fault:
    times = [_seconds(item) for item in items if _is(item, "TIME")]
    if kind == "lose_zone":
        if items[0] not in scenario.zones:
            raise _error(items[0], f"no zone {items[0]}; zones are {_list(scenario.zones)}")
        return Fault(kind, str(items[0]))
    if kind == "slow_store":
        return Fault(kind, "store", times=int(items[0]), for_s=times[0])
    directions = [str(item) for item in items if _is(item, "DIRECTION")]
    by_s = times.pop(0) if kind in ("delay", "jump") else 0.0
    return Fault(
        kind,
        _target(items[0], scenario),
        for_s=sum(times),
        by_s=by_s,
        direction="".join(directions),
        loses_unsynced=kind == "crash" and len(items) > 1,
    )


def _is(item: Any, terminal: str) -> bool:
    return isinstance(item, Token) and item.type == terminal


def _target(token: Any, scenario: Scenario) -> str:
    if token != LEADER and token not in scenario.names:
        raise _error(token, f"nothing is named {token}; names are {_list(scenario.names)}")
    return str(token)


def _list(names: Any) -> str:
    return ", ".join(names) or "none"


def _expectations(lines: Any, scenario: Scenario) -> Iterator[Expectation]:
    known = {step.action.name for step in scenario.steps if isinstance(step.action, Call)}
    known |= {step.action.target for step in scenario.steps if isinstance(step.action, Operation)}
    for tree in lines:
        if not isinstance(tree, Tree) or tree.data != "expectation":
            continue
        parts: dict[str, Any] = {str(p.data): p for p in tree.children if isinstance(p, Tree)}
        name = next(item for item in tree.children if _is(item, "NAME"))
        outcome, runs = "runs", 0
        if "runs" in parts:
            runs = int(parts["runs"].children[0])
        else:
            outcome = str(parts["ends"].children[0])
        expectation = Expectation(
            pattern=str(name),
            outcome=outcome,
            line=tree.meta.line,
            runs=runs,
            at_least=int(parts["quantity"].children[0]) if "quantity" in parts else 0,
            within_s=(
                _seconds(parts["within_option"].children[0]) if "within_option" in parts else 0.0
            ),
        )
        if not any(expectation.covers(known_name) for known_name in known):
            raise _error(name, f"no step is named {name}")
        yield expectation
