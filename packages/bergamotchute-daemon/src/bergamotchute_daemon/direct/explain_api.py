"""Tells operators where an entry would send a request now, and why, without sending it.

It is served beside the metrics of entries.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from bergamotchute_daemon.direct.admitted_request import RequestRefused
from bergamotchute_daemon.direct.direct_entry import DirectEntry
from bergamotchute_daemon.direct.filters import host_without_port
from bergamotchute_daemon.direct.routing_table import RoutingTable
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.versioned_configuration import RouteRule, ServiceRule
from bergamotchute_policy.direct_placement import DirectPlacement
from bergamotchute_policy.placement_explanation import KnownEndpoint, explain_placement
from bergamotchute_policy.slot_search import max_queue_length
from bergamotchute_wire.http1_server import CallerRequest, RequestHandler, ResponseWriter

EXPLAIN_PATH = "/explain"

_JSON_HEADERS = (("content-type", "application/json"),)


@dataclass(frozen=True)
class ExplainedRequest:
    """The request that is asked about.

    :param team: name of the caller's team; empty for a caller without a key.
    :param time_left_s: the time that the caller has left, in seconds; ``None`` if it doesn't say.
    """

    host: str
    path: str
    team: str = ""
    time_left_s: float | None = None


@dataclass(frozen=True)
class EntryKnowledge:
    """What an entry knows that decides where a request goes.

    :param known_endpoints: returns all endpoints of a service.
    :param cold_most_per_s: returns the most requests in a second to a cold endpoint of a service.
    """

    routing_table: RoutingTable | None
    is_stopping: bool
    entry_count: int
    placement: DirectPlacement
    known_endpoints: Callable[[str], list[KnownEndpoint]]
    cold_most_per_s: Callable[[str], int]


def explain_handler(entry: DirectEntry, others: RequestHandler) -> RequestHandler:
    """Return a handler that explains requests, and handles other paths by ``others``."""

    async def handle(request: CallerRequest, writer: ResponseWriter) -> None:
        target = urlsplit(request.head.target)
        if target.path != EXPLAIN_PATH:
            await others(request, writer)
            return
        if request.head.method != "GET":
            await writer.respond(405)
            return
        try:
            explained = _read_question(target.query)
        except ValueError as error:
            await writer.respond(400, (), str(error).encode("ascii", "replace"))
            return
        explanation = explain_request(explained, read_knowledge(entry), entry.now())
        await writer.respond(200, _JSON_HEADERS, json.dumps(explanation).encode())

    return handle


def _read_question(query: str) -> ExplainedRequest:
    """Read the request that is asked about.

    :raises ValueError: when a part is missing or invalid.
    """
    given = {name: values[-1] for name, values in parse_qs(query).items()}
    if not given.get("host") or not given.get("path", "").startswith("/"):
        raise ValueError("host and a path that begins with a slash are required")
    time_left_s = float(given["time_left_s"]) if "time_left_s" in given else None
    if time_left_s is not None and not (math.isfinite(time_left_s) and time_left_s >= 0):
        raise ValueError("time_left_s: expected seconds")
    return ExplainedRequest(given["host"], given["path"], given.get("team", ""), time_left_s)


def read_knowledge(entry: DirectEntry) -> EntryKnowledge:
    """Return what an entry knows now."""
    forwarder = entry.forwarder
    permits, slots = forwarder.rate_permits, forwarder.chooser.slots

    def agent_state(endpoint: EndpointHeartbeat) -> str:
        agent = slots.agents.get(endpoint.address)
        if agent is None:
            return "none"
        link = slots.links.get(agent)
        if link is None or link.outbox is None or link.paused_until > entry.now():
            return "silent"
        return "linked"

    def known_endpoints(service: str) -> list[KnownEndpoint]:
        used = {each.endpoint for each in entry.endpoints(service)}
        known: list[KnownEndpoint] = []
        for endpoint in entry.endpoints_by_address.values():
            if endpoint.service != service:
                continue
            rate = permits.requests_per_s(endpoint)
            known.append(
                KnownEndpoint(
                    endpoint,
                    is_used=endpoint.endpoint in used,
                    is_evacuated=entry.evacuations.is_evacuated(endpoint),
                    requests_per_s=None if math.isinf(rate) else round(rate, 2),
                    cold_left_s=permits.cold_limits.left_s(endpoint),
                    agent=agent_state(endpoint),
                )
            )
        return known

    return EntryKnowledge(
        entry.routing_table,
        entry.stopping,
        forwarder.retries.entry_count,
        forwarder.placement,
        known_endpoints,
        permits.cold_limits.most_per_s,
    )


def explain_request(
    explained: ExplainedRequest, knowledge: EntryKnowledge, now: float
) -> dict[str, Any]:
    """Return what would happen to a request, in the order of its checks.

    Parts of prompts that may crash endpoints aren't checked, as no prompt is given.
    """
    explanation: dict[str, Any] = {"entries": knowledge.entry_count}
    if knowledge.is_stopping:
        explanation["stopping"] = True
    routing_table = knowledge.routing_table
    try:
        if routing_table is None:
            raise RequestRefused(503, "no configuration is confirmed yet")
        explanation["version"] = routing_table.configuration.version
        route = routing_table.find_route(host_without_port(explained.host), explained.path)
        if route is None:
            raise RequestRefused(404, "no route matches")
        explanation["route"] = _describe_route(route)
        explanation["team"] = explained.team
        explanation["priority"] = _find_priority(routing_table, route, explained.team)
    except RequestRefused as refusal:
        return explanation | {"refused": f"{refusal.status} {refusal.reason}"}
    time_left_s = explained.time_left_s
    explanation["deadline_s"] = min(
        route.timeout_s, route.timeout_s if time_left_s is None else time_left_s
    )
    explanation["services"] = [
        {"weight": share.weight}
        | _explain_service(routing_table.services[share.service], knowledge, now)
        for share in route.shares
        if share.weight
    ]
    return explanation


def _describe_route(route: RouteRule) -> dict[str, Any]:
    return {
        "name": route.name,
        "host": route.host,
        "path_prefix": route.path_prefix,
        "kind": route.kind.value,
        "objective_s": route.objective_s,
        "max_endpoints": route.max_endpoints,
    }


def _find_priority(routing_table: RoutingTable, route: RouteRule, name: str) -> int:
    """Return the priority of a request of a team.

    :raises RequestRefused: if the route is not open to callers without a key, or to this name.
    """
    teams = routing_table.configuration.teams
    team = next((each for each in teams if each.name == name), None) if name else None
    if team is None and (name or (teams and not route.open_to_all)):
        raise RequestRefused(401, f"no team {name!r}" if name else "the route needs a team's key")
    return route.priority_for(None if team is None else team.priority)


def _explain_service(service: ServiceRule, knowledge: EntryKnowledge, now: float) -> dict[str, Any]:
    known = knowledge.known_endpoints(service.name)
    engine = service.engine
    placement = explain_placement(knowledge.placement, known, engine, now)
    is_evacuated = bool(known) and all(each.is_evacuated for each in known)
    chosen = next((each for each in placement.endpoints if each.rank == 1), None)
    if is_evacuated:
        outcome = "refused with 503: all endpoints are in evacuated availability zones"
    elif chosen is not None and placement.is_overloaded and chosen.agent != "linked":
        outcome = f"refused with 503: all endpoints are full, {chosen.endpoint} the emptiest"
    elif chosen is not None:
        outcome = f"sent to {chosen.endpoint}"
        outcome += " once its agent grants a slot" if chosen.agent == "linked" else ""
        outcome += " and a permit is granted" if chosen.requests_per_s is not None else ""
    elif placement.permit_wait_s is not None:
        outcome = f"waits {placement.permit_wait_s:.2f} s for the rate of an endpoint, or refused"
    else:
        outcome = "refused with 503: no endpoint is available"
    return {
        "service": service.name,
        "outcome": outcome,
        "max_connections": service.max_connections,
        "queue_length": max_queue_length(engine) if engine is not None else 0,
        "cold_most_per_s": knowledge.cold_most_per_s(service.name),
        "endpoints": [asdict(each) for each in placement.endpoints],
        "omitted_count": placement.omitted_count,
    }
