"""The platform's configuration is read completely, and an invalid one is rejected."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from typing import Any

import pytest

from bergamotchute_model.versioned_configuration import RouteKind, RouteRule, RouteShare, TeamRule
from bergamotchute_platform import configuration_format
from bergamotchute_platform.configuration_format import ConfigurationReader

JsonObject = dict[str, Any]

VALID: JsonObject = {
    "version": 3,
    "routes": [
        {
            "name": "drafts",
            "host": "House.example",
            "pathPrefix": "/drafts/",
            "kind": "stream",
            "timeoutMs": 8000,
            "sloMs": 400,
            "priority": 1,
            "trafficSplit": [
                {"service": "model", "weight": 90},
                {"service": "desk", "weight": 10},
            ],
            "maxAttempts": 2,
            "noAuth": False,
            "sessionAffinity": True,
            "resumable": True,
            "gapTargetMs": 120,
        },
        {
            "name": "orders",
            "host": "house.example",
            "pathPrefix": "/orders/",
            "kind": "unsafe",
            "timeoutMs": 800,
            "sloMs": 150,
            "service": "desk",
        },
    ],
    "services": [
        {
            "name": "model",
            "maxConns": 400,
            "coldS": 3.0,
            "coldPerS": 26,
            "engine": {
                "slots": 6,
                "kvCapacityTokens": 247000,
                "step_ms": 4.84,
                "per_seq_ms": 0.724,
                "context_per_k": 0.022,
                "read_per_s": 74800.0,
                "sets": 6,
                "experts": 64,
                "placements": 11,
                "spare": 4,
            },
        },
        {"name": "desk", "maxConns": 100},
    ],
    "tenants": [{"name": "parish", "apiKeys": ["a", "b"], "priority": 2}],
}


def read(change: Callable[[JsonObject], None] = lambda _: None) -> Any:
    plain = copy.deepcopy(VALID)
    change(plain)
    return ConfigurationReader().read(json.dumps(plain).encode())


def test_a_configuration_is_read_with_times_in_seconds() -> None:
    configuration = read()
    drafts, orders = configuration.routes
    assert configuration.version == 3
    assert drafts.kind is RouteKind.STREAM
    assert drafts.idempotent
    assert (drafts.timeout_s, drafts.objective_s, drafts.gap_objective_s) == (8.0, 0.4, 0.12)
    assert drafts.shares == (RouteShare("model", 90), RouteShare("desk", 10))
    assert orders.kind is RouteKind.AT_MOST_ONCE
    assert not orders.idempotent
    assert configuration.services[0].engine.step_s == pytest.approx(0.00484)
    assert configuration.services[0].engine.step_per_context_token_s == pytest.approx(2.2e-8)
    assert configuration.services[1].engine is None
    assert [(each.cold_s, each.cold_per_s) for each in configuration.services] == [(3, 26), (0, 0)]
    assert configuration.teams == (TeamRule("parish", ("a", "b"), 2),)


def set_value(*path: Any) -> Callable[[JsonObject], None]:
    *places, value = path

    def change(plain: JsonObject) -> None:
        at: Any = plain
        for place in places[:-1]:
            at = at[place]
        at[places[-1]] = value

    return change


@pytest.mark.parametrize(
    "change",
    [
        set_value("routes", 1, "service", "nowhere"),
        set_value("routes", 0, "trafficSplit", 0, "service", "nowhere"),
        set_value("routes", 1, "pathPrefix", "/drafts/"),
        set_value("routes", 0, "trafficSplit", [{"service": "model", "weight": 0}]),
        set_value("routes", 1, "timeoutMs", 0),
        set_value("routes", 1, "kind", "odd"),
        set_value("routes", 1, None),
        set_value("tenants", [{"name": "x", "apiKeys": ["a"]}, {"name": "y", "apiKeys": ["a"]}]),
        set_value("version", "three"),
        set_value("version", True),
        set_value("services", {}),
    ],
)
def test_an_invalid_configuration_is_rejected(change: Callable[[JsonObject], None]) -> None:
    with pytest.raises(ValueError, match=r"\S"):
        read(change)


@pytest.mark.parametrize("text", [b"", b"[]", b'{"version": 3', b"\xff\xfe", b"null"])
def test_an_incomplete_or_non_object_text_is_rejected(text: bytes) -> None:
    with pytest.raises(ValueError, match=r"\S"):
        ConfigurationReader().read(text)


def test_route_that_the_last_configuration_had_is_read_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load pattern: a storm of changes to 1,900 routes kept a control VM busy for 0.2 s each."""
    read_routes: list[str] = []

    def read_route(plain: dict[str, Any]) -> RouteRule:
        read_routes.append(plain["pathPrefix"])
        return original(plain)

    original = configuration_format._read_route
    monkeypatch.setattr(configuration_format, "_read_route", read_route)
    reader = ConfigurationReader()
    route = {"host": "a.example", "kind": "safe", "timeoutMs": 900, "service": "desk"}
    plain = {
        "version": 4,
        "services": [{"name": "desk"}],
        "routes": [{**route, "pathPrefix": f"/{number}/"} for number in range(20)],
    }
    first = reader.read(json.dumps(plain).encode())
    plain["routes"][7]["timeoutMs"] = 400  # type: ignore[index]
    del plain["routes"][9]  # type: ignore[attr-defined]
    read_routes.clear()
    second = reader.read(json.dumps(plain).encode())
    assert read_routes == ["/7/"]
    assert [each.path_prefix for each in second.routes] == [
        each.path_prefix for each in first.routes if each.path_prefix != "/9/"
    ]
    assert second.routes[7].timeout_s == 0.4


@pytest.mark.parametrize(
    ("field", "value"), [("noAuth", 1), ("timeoutMs", True), ("priority", 1.0)]
)
def test_value_of_another_type_is_taken_for_that_of_the_last_configuration(
    field: str, value: object
) -> None:
    """Python takes ``True`` and ``1`` for equal."""
    reader = ConfigurationReader()
    route = {
        "host": "a.example",
        "pathPrefix": "/a/",
        "kind": "safe",
        "timeoutMs": 1,
        "priority": 1,
        "noAuth": True,
        "service": "desk",
    }
    plain = {"version": 4, "services": [{"name": "desk"}], "routes": [route]}
    reader.read(json.dumps(plain).encode())
    route[field] = value
    with pytest.raises(ValueError, match=field):
        reader.read(json.dumps(plain).encode())


def test_invalid_configuration_changes_what_the_next_one_is_compared_with() -> None:
    reader = ConfigurationReader()
    route = {"host": "a.example", "pathPrefix": "/a/", "kind": "safe", "timeoutMs": 9}
    plain = {"version": 4, "services": [{"name": "desk"}], "routes": [{**route, "service": "desk"}]}
    reader.read(json.dumps(plain).encode())
    for invalid in (
        {**plain, "routes": [{**route, "service": "gone"}]},
        {**plain, "routes": [{**route, "service": "desk"}] * 2},
        {**plain, "services": []},
    ):
        with pytest.raises(ValueError):  # noqa: PT011 - each names another part.
            reader.read(json.dumps(invalid).encode())
    assert reader.read(json.dumps(plain).encode()).routes[0].shares == (RouteShare("desk", 1),)


def test_regions_that_a_route_or_team_names_are_accepted() -> None:
    """Such a configuration must not be refused; with one region there is nothing to choose."""
    plain = copy.deepcopy(VALID)
    plain["routes"][0]["allowedRegions"] = ["region-1"]
    plain["tenants"] = [{"name": "team-1", "apiKeys": ["key-1"], "allowedRegions": ["region-1"]}]
    for refuses_unclear in (False, True):
        configuration = ConfigurationReader(refuses_unclear).read(json.dumps(plain).encode())
        assert [team.name for team in configuration.teams] == ["team-1"]
