"""Operator files are checked together and merged into one configuration."""

from __future__ import annotations

from dataclasses import replace

import pytest

from bergamotchute_model.configuration import Configuration, ConfigurationReader, merge_files
from bergamotchute_model.parsed_file import ParsedFile, parse_file
from bergamotchute_model.view import DecisionInForce, FileInForce

DIGEST = "a" * 64
SERVICES = "services: [{name: drafts, kind: model, model: m}, {name: desk, kind: plain}]\n"
RANK_GROUP_TEMPLATE = (
    "{name: g, service: drafts, layers: 2, ranks: 2, experts: 8, expert_bytes: 9, %s}"
)


def file(name: str, text: str) -> ParsedFile:
    return parse_file(f"{name}.yaml", f"file: {name}\nnumber: 1\n{text}").unwrap()


def configuration(*texts: str, begun: tuple[str, ...] = ()) -> Configuration:
    merged = merge_files([file(f"f{index}", text) for index, text in enumerate(texts)]).unwrap()
    return replace(merged, begun_changes=frozenset(begun))


def team(name: str = "a", token: str = DIGEST, more: str = "services: [drafts]") -> str:
    return f"teams: [{{name: {name}, token_sha256: {token}, {more}}}]"


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        (team(more="services: [drfts]"), "f1.yaml:3:110: teams[0].services[0]: found 'drfts'; "),
        (team(more="services: [drafts], priority: x"), "teams[0].priority: found 'x'; allowed: a"),
        ("models: [{service: desk, version: v}]", "found 'desk'; allowed: a model service"),
        (
            "services: [{name: drafts, kind: plain}]",
            "found duplicate 'drafts'; allowed: one definition; first defined at f0",
        ),
        ("services: [{name: x, kind: model, model: m}]", "services[0].model: found duplicate 'm'"),
        ("services: [{name: x, kind: plain, model: n}]", "services[0].model: found 'n'; allowed"),
        ("services: [{name: x, kind: model}]", "services[0].model: found ''; allowed: a model"),
        ("services: [{name: x, kind: plain, deadline_s: 700}]", "found 700.0; allowed: at most"),
        ("drains: [{}]", "drains[0]: found 0 targets; allowed: exactly one of endpoint, vm"),
        ("drains: [{vm: a, endpoint: b}]", "drains[0]: found 2 targets; allowed: exactly one"),
        ("planned_changes: [{name: a, at: 2026-01-31T22:00:00Z}]", "exactly one of drain, load"),
        (
            "rank_groups: [" + RANK_GROUP_TEMPLATE % "slots_per_rank: 3" + "]",
            "found 6 slots per layer for 8",
        ),
        (
            "voters: [{replica: r1, address: '127.0.0.1:1', availability_zone: a},"
            " {replica: r2, address: '127.0.0.1:2', availability_zone: a}]",
            "voters: found 2 voters; allowed: 1, 3, 5 or 7 in all files together",
        ),
    ],
)
def test_fault_across_files_names_its_position(text: str, fault: str) -> None:
    merged = merge_files([file("f0", SERVICES), file("f1", text)])
    found = [str(fault) for fault in merged.unwrap_err()]
    assert len(found) == 1
    assert fault in found[0]


def test_two_teams_with_one_token_are_rejected() -> None:
    merged = merge_files(
        [
            file("f0", SERVICES),
            file("f1", team("a")),
            file("f2", team("b")),
        ]
    )
    assert "token_sha256" in str(merged.unwrap_err()[0])


def test_lookup_by_token_name_and_model() -> None:
    current = configuration(
        SERVICES,
        team(more="services: [drafts], priority: night"),
        "priorities: [{name: night, level: 3}]",
    )
    found = current.team_by_token_sha256[DIGEST]
    drafts, desk = (current.service_by_name[name] for name in ("drafts", "desk"))
    assert current.level(found) == 3
    assert current.may_call(found, drafts)
    assert not current.may_call(found, desk)
    assert current.service_by_model["m"] is drafts
    assert current.file_numbers == (("f0", 1), ("f1", 1), ("f2", 1))


def test_drains_and_begun_planned_drains_match_by_name_vm_and_zone() -> None:
    texts = (
        "drains: [{endpoint: runner-1}, {availability_zone: brescia-c}]",
        "planned_changes: [{name: swap, at: 2026-01-31T22:00:00Z, drain: {vm: vm-7}}]",
    )
    current = configuration(*texts)
    assert current.is_draining("runner-1", "vm-1", "milano-a")
    assert current.is_draining("runner-2", "vm-2", "brescia-c")
    assert not current.is_draining("runner-2", "vm-7", "milano-a")
    assert configuration(*texts, begun=("swap",)).is_draining("runner-2", "vm-7", "milano-a")


def test_endpoint_target_and_latest_begun_change_take_precedence() -> None:
    texts = (
        SERVICES + "models: [{service: drafts, version: v1},"
        " {service: drafts, version: v2, endpoint: runner-1}]",
        "planned_changes: [{name: z, at: 2026-01-31T22:00:00Z, load: {service: drafts, version: v3}},"
        " {name: a, at: 2026-02-01T22:00:00Z, load: {service: drafts, version: v4}}]",
    )
    expected = {(): ["v2", "v1"], ("z",): ["v2", "v3"], ("a", "z"): ["v2", "v4"]}
    for begun, versions in expected.items():
        current = configuration(*texts, begun=begun)
        targets = [current.model_target("drafts", name) for name in ("runner-1", "runner-2")]
        assert [target and target.version for target in targets] == versions
        assert current.model_target("desk", "runner-1") is None


def test_planned_change_has_begun_once_its_name_and_time_are_decided() -> None:
    text = "file: f\nnumber: 1\nplanned_changes: [{name: swap, at: %s, drain: {vm: vm-7}}]"
    decided = DecisionInForce("planned-change/swap", 1, 1, b"2026-01-31T22:00:00+00:00", 8)
    only_fenced = DecisionInForce("planned-change/swap", 0, 1, b"", 7)
    for at, decisions, begun in (
        ("2026-01-31T22:00Z", [decided], True),
        ("2026-01-31T22:00Z", [only_fenced], False),
        ("2026-01-31T23:00Z", [decided], False),
        ("2026-01-31T22:00Z", [], False),
    ):
        in_force = FileInForce("f", 1, text % at, "", 5)
        merged = ConfigurationReader().read([in_force], decisions).unwrap()
        assert merged.is_draining("runner-1", "vm-7", "milano-a") is begun


def test_only_changed_files_of_a_view_are_parsed_again() -> None:
    reader = ConfigurationReader()
    first = FileInForce("a", 1, "file: a\nnumber: 1\ndrains: [{vm: vm-1}]", "d1", 1)
    second = FileInForce("b", 1, "file: b\nnumber: 1\ndrains: [{vm: vm-2}]", "d2", 2)
    changed = FileInForce("a", 2, "file: a\nnumber: 2", "d3", 3)
    reader.read([first, second])
    kept = reader.parsed_files["b"][1]
    configuration = reader.read([changed, second]).unwrap()
    assert reader.parsed_files["b"][1] is kept
    assert configuration.file_numbers == (("a", 2), ("b", 1))
    assert not configuration.is_draining("", "vm-1", "")
    assert configuration.is_draining("", "vm-2", "")
