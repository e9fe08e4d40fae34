"""Operators ask an entry where a request would go; the entry sends nothing."""

from __future__ import annotations

import json
from dataclasses import replace
from functools import partial

import anyio
import pytest

from bergamotchute_cli.__main__ import main
from bergamotchute_cli.exit_code import ExitCode
from bergamotchute_daemon.direct.direct_entry import DirectEntry
from bergamotchute_daemon.direct.explain_api import explain_handler
from bergamotchute_model.evacuations import EvacuationsInForce, ZoneEvacuation
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import HeartbeatsReceived
from bergamotchute_model.versioned_configuration import ServiceRule
from bergamotchute_policy.endpoint_table import EndpointTable
from bergamotchute_wire.http1_server import Http1Server
from support.entry_fixture import (
    CONFIGURATION,
    EntryFixture,
    answer,
    respond_with,
    run_with_entry,
)

CONTROL_ADDRESS = Address("10.0.0.1", 7000)


def make_entry(fixture: EntryFixture) -> DirectEntry:
    """Return an entry around the fixture's forwarder, with its own table of endpoints."""
    table = EndpointTable(3.0)
    fixture.forwarder.rate_permits.cold_limits.table = table
    entry = DirectEntry(
        name="entry-1",
        address=Address("127.0.0.1", 80),
        availability_zone="north",
        request_format=None,  # type: ignore[arg-type]
        endpoint_table=table,
        forwarder=fixture.forwarder,
        follower=None,  # type: ignore[arg-type]
        links=None,  # type: ignore[arg-type]
        server=fixture.server,
        random=fixture.forwarder.random,
        log=fixture.log,
        drain_bound_s=7.0,
    )
    entry.links = type("Links", (), {"post_all": lambda *_: None})()
    return entry


def test_entry_explains_route_limits_and_endpoints_and_sends_nothing(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def body(fixture: EntryFixture) -> None:
        entry = make_entry(fixture)
        first = await fixture.add_endpoint("runner-1", respond_with(answer))
        second = await fixture.add_endpoint("runner-2", respond_with(answer))
        third = replace(second, endpoint="runner-3", address=Address("10.0.0.3", 80))
        server = Http1Server(explain_handler(entry, fixture.forwarder.metrics.handle_request))
        address = str(await fixture._listen(server._accept))
        run = partial(anyio.to_thread.run_sync, main)
        ask = ["explain", "--at", address, "--call", "api.example:80/stream/one"]
        assert await run(ask) == ExitCode.OK
        assert "refused: 503 no configuration" in capsys.readouterr().out
        rule = ServiceRule("model", 100, cold_s=3.0, cold_per_s=26.0)
        entry.on_configuration(replace(CONFIGURATION, services=(rule,)))
        south = replace(second, availability_zone="south")
        entry.on_message(
            CONTROL_ADDRESS,
            HeartbeatsReceived((replace(first, cold_left_s=30.0), south, third)),
        )
        evacuated = EvacuationsInForce((ZoneEvacuation("south", 1, True),))
        entry.on_message(CONTROL_ADDRESS, evacuated)
        assert await run([*ask, "--as", "nobody"]) == ExitCode.OK
        assert "refused: 401 no team 'nobody'" in capsys.readouterr().out
        assert await run([*ask[:3], "--call", "api.example/elsewhere"]) == ExitCode.OK
        assert "refused: 404 no route matches" in capsys.readouterr().out
        assert await run([*ask, "--as", "team-1", "--time-left", "0.8"]) == ExitCode.OK
        printed = capsys.readouterr().out
        for part in ("priority 1", "deadline: 0.8 s", "sent to runner-", "zone is evacuated"):
            assert part in printed
        assert await run([*ask, "--as", "team-1", "--output", "json"]) == ExitCode.OK
        service = json.loads(capsys.readouterr().out)["services"][0]
        found = {each["endpoint"]: each for each in service["endpoints"]}
        assert found["runner-1"]["cold_left_s"] == pytest.approx(30.0, abs=5.0)
        assert found["runner-1"]["requests_per_s"] > 0
        assert found["runner-2"]["rank"] is None
        assert sorted(found[f"runner-{number}"]["rank"] for number in (1, 3)) == [1, 2]
        assert await run([*ask, "--time-left", "soon"]) == ExitCode.REFUSED
        assert await run(["explain", "--at", "127.0.0.1:1", *ask[3:]]) == ExitCode.UNREACHABLE
        assert await run(["explain", *ask[3:]]) == ExitCode.USAGE
        assert not fixture.received_requests

    run_with_entry(body)
