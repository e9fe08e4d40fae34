"""The scenario language gives typed steps, or an error that names line and column."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tools.proof.scenario import Call, Fault
from tools.proof.scenario_parser import ScenarioError, parse_scenario

BASE = """scenario "x"  # a comment
entries 3 voters 3
runners 2 for drafts slots 4 speed 30
runners 1 for orders plain work 50ms
"""
WORDS = [
    "scenario",
    "entries",
    "voters",
    "at",
    "from",
    "to",
    "every",
    "draft",
    "order",
    "crash",
    "for",
    "1s",
    "2",
    "x",
    "\n",
    "#",
    "expect",
    "*",
]


def test_steps_come_in_order_of_time() -> None:
    text = BASE + (
        "at 2min partition entry-1 inward for 6h\n"
        "from 1s to 2s every 500ms draft d of 3 tokens within 5s\n"
        "at 0s order o through entry-2\n"
        "expect at least 2 d-* answered within 4s\n"
    )
    scenario = parse_scenario(text)
    assert [step.at_s for step in scenario.steps] == [0, 1, 1.5, 2, 120]
    assert scenario.steps[0].action == Call("order", "o", service="orders", through="entry-2")
    assert scenario.steps[-1].action == Fault(
        "partition", "entry-1", for_s=21600, direction="inward"
    )
    assert [s.action.name for s in scenario.steps[1:4] if isinstance(s.action, Call)] == [
        "d-1",
        "d-2",
        "d-3",
    ]


@pytest.mark.parametrize(
    ("line", "column", "text"),
    [
        ("at 1s crush entry-1", 7, "found 'crush'"),
        ("at 1s crash entry-9", 13, "nothing is named entry-9"),
        ("at soon drain drafts-1", 4, "a time such as 2s"),
        ("at 1s draft d through entry-7", 7, "no entry entry-7"),
        ("at 1s draft d to orders", 7, "no service orders for a draft"),
        ("expect z answered", 8, "no step is named z"),
        ("entries 2 voters 3", 1, "3 voters need as many entries"),
        ("runners 1 for drafts", 1, "two processes have one name"),
        ("from 2s to 1s every 1s drain drafts-1", 1, "no bounded row"),
        ("at 1s lose zone nowhere", 17, "no zone nowhere"),
    ],
)
def test_errors_name_their_place(line: str, column: int, text: str) -> None:
    with pytest.raises(ScenarioError) as caught:
        parse_scenario(BASE + line)
    assert (caught.value.line, caught.value.column) == (5, column)
    assert text in str(caught.value)


@settings(derandomize=True, max_examples=300)
@given(st.text(max_size=60) | st.lists(st.sampled_from(WORDS), max_size=12).map(" ".join))
def test_any_text_is_read_or_refused(text: str) -> None:
    place = (1, 1)
    try:
        parse_scenario(BASE + text)
    except ScenarioError as error:
        place = (error.line, error.column)
    assert min(place) >= 1
