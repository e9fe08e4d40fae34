"""What is invalid is refused at any version, what is valid is taken, and both can be told apart."""

from __future__ import annotations

import copy
import json
from dataclasses import dataclass, field
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from adapter.test_configuration_format import VALID, JsonObject
from bergamotchute_daemon.direct.routing_table import RoutingTable
from bergamotchute_model.headers import Headers
from bergamotchute_model.versioned_configuration import VersionedConfiguration
from bergamotchute_platform.configuration_format import ConfigurationReader
from bergamotchute_platform.control_calls import PUT_CONFIGURATION, control_handler
from bergamotchute_wire.http1_messages import RequestHead
from bergamotchute_wire.http1_server import CallerRequest
from support.control_group import ControlGroup, run_control

ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from([0, -1, 1, 2**53, 2**63, 10**30, -(10**30)]),
    st.floats(),
    st.text(max_size=3),
    st.sampled_from(["\ud800", "x" * 5000, "\u212a", "a\r\nb", "/", "nowhere"]),
    st.lists(st.integers(0, 3), max_size=2),
    st.dictionaries(st.text(max_size=2), st.integers(0, 3), max_size=2),
)


def paths(plain: Any) -> list[tuple[Any, ...]]:
    """Return the path of each value in a JSON value, those of objects and lists too."""
    if isinstance(plain, dict):
        places = list(plain.items())
    elif isinstance(plain, list):
        places = list(enumerate(plain))
    else:
        return []
    return [(key, *rest) for key, value in places for rest in ((), *paths(value))]


def read_new(body: bytes) -> VersionedConfiguration:
    return ConfigurationReader(refuses_unclear=True).read(body)


def use(configuration: VersionedConfiguration) -> None:
    """Do with a configuration what entries do."""
    table = RoutingTable(configuration)
    for route in configuration.routes:
        path = f"{route.path_prefix}x"
        if route.path_prefix.startswith("/") and route.path_prefix.endswith("/"):
            found = table.find_route(route.host, path)
            assert found is not None
            assert table.choose_service(found, Random(1)).name in table.services


@given(st.sampled_from(paths(VALID)), ODD_VALUES)
def test_entries_can_use_whatever_is_taken(path: tuple[Any, ...], value: Any) -> None:
    plain = copy.deepcopy(VALID)
    place: Any = plain
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = value
    try:
        configuration = read_new(json.dumps(plain).encode())
    except ValueError:
        return
    use(configuration)


SERVICES = st.sampled_from(["a", "b", "gone"])
SHARES = st.lists(
    st.fixed_dictionaries({"service": SERVICES, "weight": st.integers(0, 2)}), max_size=2
)
ROUTES = st.lists(
    st.fixed_dictionaries(
        {
            "host": st.sampled_from(["one.example", "two.example"]),
            "pathPrefix": st.sampled_from(["/x/", "/x/y/", "/"]),
            "kind": st.sampled_from(["safe", "unsafe", "stream"]),
            "timeoutMs": st.sampled_from([0, 1, 800, 0.0, 0.5]),
        },
        optional={"service": SERVICES, "trafficSplit": SHARES},
    ),
    max_size=3,
)
TENANTS = st.lists(
    st.fixed_dictionaries(
        {"name": st.sampled_from(["t", "u"]), "apiKeys": st.lists(st.sampled_from("klm"))}
    ),
    max_size=2,
)


def is_invalid(plain: JsonObject) -> bool:
    """Decide by the platform's list of what makes a configuration invalid."""
    places = [(route["host"], route["pathPrefix"]) for route in plain["routes"]]
    keys = [set(tenant["apiKeys"]) for tenant in plain["tenants"]]
    return (
        len(set(places)) < len(places)
        or len(set().union(*keys)) < sum(map(len, keys))
        or any(_is_invalid_route(route) for route in plain["routes"])
    )


def _is_invalid_route(route: JsonObject) -> bool:
    shares = route.get("trafficSplit")
    named = {share["service"] for share in shares or ()} | {route.get("service", "a")}
    is_served = "service" in route if shares is None else any(each["weight"] for each in shares)
    return not is_served or not route["timeoutMs"] or "gone" in named


@given(ROUTES, TENANTS)
def test_configuration_is_refused_if_and_only_if_it_is_invalid(
    routes: list[JsonObject], tenants: list[JsonObject]
) -> None:
    plain = {
        "version": 3,
        "routes": routes,
        "services": [{"name": "a"}, {"name": "b"}],
        "tenants": tenants,
    }
    body = json.dumps(plain).encode()
    if is_invalid(plain):
        with pytest.raises(ValueError, match=r"\S"):
            read_new(body)
    else:
        use(read_new(body))


def test_configuration_that_was_cut_off_is_refused() -> None:
    body = json.dumps(VALID).encode()
    for length in range(len(body)):
        with pytest.raises(ValueError, match=r"\S"):
            read_new(body[:length])


TEXT = json.dumps(VALID)
UNCLEAR = {
    "a number that is none": TEXT.replace('"services"', '"note": NaN, "services"'),
    "an infinite number": TEXT.replace('"services"', '"note": [-Infinity], "services"'),
    "a version twice": TEXT.replace('"version": 3', '"version": 3, "version": 4'),
    "routes twice": TEXT.replace('"services"', '"routes": [], "services"', 1),
    "a split beside an unknown service": TEXT.replace(
        '"trafficSplit"', '"service": "nowhere", "trafficSplit"'
    ),
    "another type": TEXT.replace('"sessionAffinity": true', '"sessionAffinity": "yes"'),
    "another encoding": TEXT.encode("utf-16"),
    "a second object": TEXT + "{}",
}


@pytest.mark.parametrize("name", UNCLEAR)
def test_unclear_configuration_is_refused_only_when_it_is_new(name: str) -> None:
    """Entries read on what an earlier build of the control VMs has taken."""
    text = UNCLEAR[name]
    body = text.encode() if isinstance(text, str) else text
    assert body != TEXT.encode()
    with pytest.raises(ValueError, match=r"\S"):
        read_new(body)
    if name != "a second object":
        assert ConfigurationReader().read(body).version in (3, 4)


def test_configuration_is_refused_because_a_tenant_names_its_key_twice() -> None:
    plain = {**VALID, "tenants": [{"name": "parish", "apiKeys": ["a", "b", "a"]}]}
    assert set(read_new(json.dumps(plain).encode()).teams[0].keys) == {"a", "b"}


@dataclass
class Answer:
    """A writer that keeps the status and the body."""

    status: int = 0
    body: bytes = b""
    headers: Headers = field(default=())

    async def respond(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        self.status, self.headers, self.body = status, headers, body


@pytest.mark.parametrize("version", [2, 3, 4])
def test_invalid_configuration_is_refused_at_any_version(version: int) -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        for process in group.processes.values():
            handle = control_handler(process)

            async def call(method: str, path: str, text: bytes = b"") -> Answer:
                written = Answer()
                request = CallerRequest(RequestHead(method, path, ()), text)
                await handle(request, written)  # type: ignore[arg-type] # noqa: B023
                return written

            valid = json.dumps(VALID).encode()
            assert (await call(*PUT_CONFIGURATION, valid)).status == 200
            invalid = {**VALID, "version": version, "services": []}
            for _ in range(2):
                refused = await call(*PUT_CONFIGURATION, json.dumps(invalid).encode())
                assert refused.status == 400
                assert (await call(*PUT_CONFIGURATION, valid)).status == 200
            read = await call("GET", "/bergamotchute/config/get")
            assert (read.status, read.body) == (200, valid)

    run_control(body)
