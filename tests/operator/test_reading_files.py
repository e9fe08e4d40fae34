"""Operator files are validated strictly; each fault states its position and the allowed values."""

from __future__ import annotations

import hypothesis.strategies as st
import pytest
from hypothesis import example, given, settings

from bergamotchute_model.file_fault import MAX_FAULTS
from bergamotchute_model.operator_file import OperatorFile
from bergamotchute_model.parsed_file import parse_file

FILE_HEADER = "file: f\nnumber: 1\n"
SERVICE_TEMPLATE = "services: [{name: drafts, kind: model, model: m, %s}]\n"


def faults(text: str) -> list[str]:
    read = parse_file("f.yaml", text)
    return [str(fault) for fault in read.err_value] if read.is_err() else []


@pytest.mark.parametrize(
    ("line", "fault"),
    [
        (
            "teams: [{name: a, token_sha256: " + "a" * 64 + ", services: [b], wieght: 2}]",
            "f.yaml:3:114: teams[0].wieght: found an unknown key; allowed: did you mean 'weight'? ",
        ),
        (
            SERVICE_TEMPLATE % "deadline_s: soon",
            "services[0].deadline_s: found 'soon'; allowed: a number",
        ),
        (
            SERVICE_TEMPLATE % "deadline_s: '3'",
            "services[0].deadline_s: found '3'; allowed: a number",
        ),
        (
            SERVICE_TEMPLATE % "queue_count: 0",
            "services[0].queue_count: found 0; allowed: at least 1",
        ),
        (SERVICE_TEMPLATE % "queue_count: 1.5", "queue_count: found 1.5; allowed: an integer"),
        (SERVICE_TEMPLATE % "long_share: 1.01", "long_share: found 1.01; allowed: at most 1.0"),
        (SERVICE_TEMPLATE % "queue_count: yes", "queue_count: found 'yes'; allowed: an integer"),
        (SERVICE_TEMPLATE % "idempotent_methods: GET", "found 'GET'; allowed: a list"),
        (
            SERVICE_TEMPLATE % "kind: plain",
            "services[0].kind: found a duplicate key; allowed: one definition; first defined in line",
        ),
        (
            "file: g",
            "f.yaml:3:1: file: found a duplicate key; allowed: one definition; first defined in line 1",
        ),
        (
            "services: [{name: a}]",
            "services[0].kind: found no such key; allowed: the key is required",
        ),
        ("services:", "services: found nothing; allowed: a list"),
        ("services: [3]", "services[0]: found 3; allowed: a mapping"),
        (
            "services: &a []",
            "services: found an anchor or alias; allowed: the value written out in full",
        ),
        ("services: !!seq []", "found the tag tag:yaml.org,2002:seq; allowed: a value without"),
        ("---\nfile: b", "found a second document; allowed: one document per file"),
        ("? [a]\n: b", "found an unsupported key; allowed: a key of 1 to 64 letters"),
        ("? 'a\n\n b'\n: 1", "found an unsupported key; allowed: a key of 1 to 64 letters"),
        ("services: [", "allowed: valid YAML in UTF-8"),
        (
            "drains: " + "[" * 9 + "]" * 9,
            "found nesting that is too deep; allowed: at most 8 levels",
        ),
        ("planned_changes: [{name: a, at: 2026-01-31T22:00:00+01:00}]", "allowed: a UTC time such"),
        ("planned_changes: [{name: a, at: 2026-02-31T22:00:00Z}]", "allowed: a UTC time such"),
        ("planned_changes: [{name: a, at: 1769896800}]", "allowed: a UTC time such"),
        ("#" + "x" * 1_048_576, "allowed: at most 1048576 bytes"),
    ],
)
def test_fault_states_position_and_allowed_values(line: str, fault: str) -> None:
    found = faults(FILE_HEADER + line)
    assert len(found) == 1
    assert fault in found[0]
    assert found[0].startswith("f.yaml:")


def test_all_faults_are_reported_at_once_up_to_a_limit() -> None:
    faulty_service = "  - {name: A, kind: b}\n"
    assert len(faults(FILE_HEADER + "services:\n" + faulty_service * 2)) == 4
    assert len(faults(FILE_HEADER + "services:\n" + faulty_service * 90)) == MAX_FAULTS


def test_plain_words_stay_strings_and_times_are_parsed_as_utc() -> None:
    text = FILE_HEADER + "planned_changes: [{name: no, at: 2026-01-31T22:00Z, drain: {vm: on}}]"
    content = parse_file("f.yaml", text).unwrap().content
    change = content.planned_changes[0]
    assert (change.name, change.drain and change.drain.vm) == ("no", "on")
    assert change.at.isoformat() == "2026-01-31T22:00:00+00:00"


YAML_FRAGMENTS = st.sampled_from(
    [
        "file",
        "number",
        "services",
        "teams",
        "name",
        "kind",
        "model",
        "drains",
        "at",
        "limits",
        "f",
        "1",
        "-1",
        "1e9",
        "~",
        "null",
        "true",
        "no",
        "2026-01-31T22:00:00Z",
        ":",
        "-",
        ",",
        "[",
        "]",
        "{",
        "}",
        "&",
        "*",
        "!",
        "?",
        "|",
        ">",
        "'",
        '"',
        "#",
        "%",
        "@",
        "\n",
        "\t",
        "---",
        "...",
    ]
)
YAML_LIKE_TEXTS = st.lists(YAML_FRAGMENTS | st.just("\n  ") | st.text(max_size=3), max_size=40).map(
    " ".join
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(
    st.text(max_size=200)
    | YAML_LIKE_TEXTS
    | YAML_LIKE_TEXTS.map((FILE_HEADER + "services:\n").__add__)
)
@example("\ud800")
@example("{" * 100_000)
@example("- " * 50_000)
@example("a: " + "9" * 9_999)
@example("[" * 300 + "]" * 300)
def test_any_text_is_parsed_or_gives_a_bounded_list_of_one_line_faults(text: str) -> None:
    read = parse_file("f.yaml", text)
    if read.is_ok():
        assert isinstance(read.ok_value.content, OperatorFile)
        return
    assert 0 < len(read.err_value) <= MAX_FAULTS
    for line in map(str, read.err_value):
        assert line.startswith("f.yaml:")
        assert "; allowed: " in line
        assert "\n" not in line


JSON_LIKE_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["name", "kind", "at", "drain", "vm", "x"]), inner),
    max_leaves=8,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.sampled_from(["services", "teams", "drains", "planned_changes", "limits", "voters"]),
    JSON_LIKE_VALUES,
)
def test_any_value_is_accepted_or_gives_one_line_faults(section: str, value: object) -> None:
    text = f"{FILE_HEADER}{section}: {value!r}"
    read = parse_file("f.yaml", text)
    assert read.is_ok() or all("\n" not in str(fault) for fault in read.err_value)
