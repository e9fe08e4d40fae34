"""The filters that a caller's request passes before an endpoint is chosen.

Each filter either returns its result or raises :class:`RequestRefused`.
"""

from __future__ import annotations

from random import Random

from bergamotchute_daemon.direct.admitted_request import AdmittedRequest, RequestRefused
from bergamotchute_daemon.direct.request_format import RequestMetadata
from bergamotchute_daemon.direct.routing_table import RoutingTable
from bergamotchute_model.versioned_configuration import RouteRule, ServiceRule
from bergamotchute_wire.http1_server import CallerRequest


def require_routing_table(routing_table: RoutingTable | None, retry_after_s: float) -> RoutingTable:
    """Return the routing table; refuse while no quorum has confirmed a configuration."""
    if routing_table is None:
        raise RequestRefused(503, "no configuration is confirmed yet", retry_after_s)
    return routing_table


def host_without_port(host: str) -> str:
    """Return the name in a ``Host`` header."""
    return host.rpartition(":")[0] or host


def find_route(routing_table: RoutingTable, request: CallerRequest) -> RouteRule:
    """Return the route for the host and path of a request."""
    host = host_without_port(request.head.get_header("host"))
    path = request.head.target.partition("?")[0]
    route = routing_table.find_route(host, path)
    if route is None:
        raise RequestRefused(404, "no route matches")
    return route


def identify_team(
    routing_table: RoutingTable, route: RouteRule, metadata: RequestMetadata
) -> tuple[str, int]:
    """Return the name of the caller's team and the priority of the request."""
    team = routing_table.teams.get(metadata.team_key)
    if team is not None:
        return team.name, route.priority_for(team.priority)
    if routing_table.configuration.teams and not route.open_to_all:
        raise RequestRefused(401, "the API key is missing or unknown")
    return "", route.priority


def require_memory(service: ServiceRule, metadata: RequestMetadata) -> None:
    """Refuse a request that is larger than the whole memory of its service's engines.

    Endpoints refuse such a request as if they were full, so it is no fault of its caller (4xx): the
    output counts with its limit, which an endpoint of another size may have room for.
    """
    tokens = sum(metadata.token_counts or ())
    if service.engine is not None and 0 < service.engine.memory_tokens < tokens:
        reason = f"{tokens} tokens exceed the engines' memory of {service.engine.memory_tokens}"
        raise RequestRefused(503, reason)


def admit_request(
    routing_table: RoutingTable,
    request: CallerRequest,
    metadata: RequestMetadata,
    random: Random,
    arrived_at: float,
) -> AdmittedRequest:
    """Apply the filters to a request.

    :param arrived_at: when the request was read completely, on the runtime's clock.
    :raises RequestRefused: if a filter refuses the request.
    """
    route = find_route(routing_table, request)
    team, priority = identify_team(routing_table, route, metadata)
    time_left_s = route.timeout_s
    if metadata.time_left_s is not None:
        time_left_s = min(time_left_s, metadata.time_left_s)
    service = routing_table.choose_service(route, random)
    require_memory(service, metadata)
    return AdmittedRequest(
        head=request.head,
        body=request.body,
        metadata=metadata,
        route=route,
        service=service,
        team=team,
        priority=priority,
        arrived_at=arrived_at,
        first_sent_at=arrived_at - (route.timeout_s - time_left_s),
        deadline=arrived_at + time_left_s,
        version=routing_table.configuration.version,
        has_priorities=service.name in routing_table.services_with_priorities,
    )
