"""The filters that a caller's request passes before it is placed.

Each takes what it needs and either returns its finding or raises the refusal.
"""

from __future__ import annotations

from random import Random

import anyio

from bergamotchute_daemon.direct.dialect import CallerWishes
from bergamotchute_daemon.direct.direct_request import DirectRequest, Refusal
from bergamotchute_daemon.direct.routing_table import RoutingTable
from bergamotchute_model.whole_configuration import RouteRule
from bergamotchute_wire.http1_server import CallerRequest

NO_CONFIGURATION_RETRY_S = 0.3
"""When to come back to an entry that has no configuration yet; it asks for one at its start."""


def require_table(table: RoutingTable | None) -> RoutingTable:
    """Refuse while no quorum has confirmed a configuration to this entry."""
    if table is None:
        raise Refusal(503, "no configuration is confirmed yet", NO_CONFIGURATION_RETRY_S)
    return table


def find_route(table: RoutingTable, request: CallerRequest) -> RouteRule:
    """Find the route by host and path."""
    host = request.head.header("host").rpartition(":")[0] or request.head.header("host")
    path = request.head.target.partition("?")[0]
    route = table.find_route(host, path)
    if route is None:
        raise Refusal(404, "no route matches")
    return route


def identify_team(table: RoutingTable, route: RouteRule, wishes: CallerWishes) -> tuple[str, int]:
    """Return the team's name and the request's priority."""
    team = table.teams.get(wishes.team_key)
    if team is not None:
        return team.name, route.priority if team.priority is None else team.priority
    if table.configuration.teams and not route.open_to_all:
        raise Refusal(401, "the key is unknown")
    return "", route.priority


def admit(
    table: RoutingTable | None, request: CallerRequest, wishes: CallerWishes, random: Random
) -> DirectRequest:
    """Run the filters over one request.

    :raises Refusal: when one of them does not let it on.
    """
    now = anyio.current_time()
    held = require_table(table)
    route = find_route(held, request)
    team, priority = identify_team(held, route, wishes)
    time_left_s = route.timeout_s
    if wishes.time_left_s is not None:
        time_left_s = min(time_left_s, wishes.time_left_s)
    service = held.draw_service(route, random)
    return DirectRequest(
        head=request.head,
        body=request.body,
        wishes=wishes,
        route=route,
        service=service,
        team=team,
        priority=priority,
        arrived_at=now,
        asked_at=now - (route.timeout_s - time_left_s),
        deadline=now + time_left_s,
        version=held.configuration.version,
        pace=held.paces.get(service.name),
    )
