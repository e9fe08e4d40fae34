"""The platform's configuration: what is read of it, and what is invalid."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from typing import Any

import pytest

from bergamotchute_model.whole_configuration import RouteKind, ServiceShare, TeamRule
from bergamotchute_platform.configuration_format import read_configuration

Plain = dict[str, Any]

VALID: Plain = {
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


def read(change: Callable[[Plain], None] = lambda _: None) -> Any:
    plain = copy.deepcopy(VALID)
    change(plain)
    return read_configuration(json.dumps(plain).encode())


def test_a_configuration_is_read_in_the_products_units() -> None:
    configuration = read()
    drafts, orders = configuration.routes
    assert configuration.version == 3
    assert drafts.kind is RouteKind.STREAM
    assert drafts.idempotent
    assert (drafts.timeout_s, drafts.objective_s, drafts.gap_objective_s) == (8.0, 0.4, 0.12)
    assert drafts.shares == (ServiceShare("model", 90), ServiceShare("desk", 10))
    assert orders.kind is RouteKind.AT_MOST_ONCE
    assert not orders.idempotent
    assert configuration.services[0].engine.step_s == pytest.approx(0.00484)
    assert configuration.services[0].engine.step_per_context_token_s == pytest.approx(2.2e-8)
    assert configuration.services[1].engine is None
    assert configuration.teams == (TeamRule("parish", ("a", "b"), 2),)


def set_in(*path: Any) -> Callable[[Plain], None]:
    *places, value = path

    def change(plain: Plain) -> None:
        at: Any = plain
        for place in places[:-1]:
            at = at[place]
        at[places[-1]] = value

    return change


@pytest.mark.parametrize(
    "change",
    [
        set_in("routes", 1, "service", "nowhere"),
        set_in("routes", 0, "trafficSplit", 0, "service", "nowhere"),
        set_in("routes", 1, "pathPrefix", "/drafts/"),
        set_in("routes", 0, "trafficSplit", [{"service": "model", "weight": 0}]),
        set_in("routes", 1, "timeoutMs", 0),
        set_in("routes", 1, "kind", "odd"),
        set_in("routes", 1, None),
        set_in("tenants", [{"name": "x", "apiKeys": ["a"]}, {"name": "y", "apiKeys": ["a"]}]),
        set_in("version", "three"),
        set_in("version", True),
        set_in("services", {}),
    ],
)
def test_an_invalid_configuration_is_refused(change: Callable[[Plain], None]) -> None:
    with pytest.raises(ValueError, match=r"\S"):
        read(change)


@pytest.mark.parametrize("text", [b"", b"[]", b'{"version": 3', b"\xff\xfe", b"null"])
def test_a_text_that_can_not_be_read_in_full_is_refused(text: bytes) -> None:
    with pytest.raises(ValueError, match=r"\S"):
        read_configuration(text)
