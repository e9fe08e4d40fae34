"""A configuration arranged for looking up a request's route and team."""

from __future__ import annotations

from collections import defaultdict
from random import Random

from bergamotchute_model.node_messages import EnginePace
from bergamotchute_model.whole_configuration import (
    RouteKind,
    RouteRule,
    ServiceRule,
    TeamRule,
    WholeConfiguration,
)
from bergamotchute_policy.engine_model import engine_pace


class RoutingTable:
    """Finds the route, service and team of a request.

    :param configuration: what is in force.
    """

    def __init__(self, configuration: WholeConfiguration) -> None:
        self.configuration = configuration
        self.services: dict[str, ServiceRule] = {
            service.name: service for service in configuration.services
        }
        self.teams: dict[str, TeamRule] = {
            key: team for team in configuration.teams for key in team.keys
        }
        self._routes: dict[str, dict[str, RouteRule]] = defaultdict(dict)
        for route in configuration.routes:
            self._routes[route.host.lower()][route.path_prefix] = route
        self.paces = self._engine_paces()

    def _engine_paces(self) -> dict[str, EnginePace]:
        """Return how the engines of each service work, for the strictest of its streams."""
        pauses: dict[str, list[float]] = defaultdict(list)
        for route in self.configuration.routes:
            if route.kind is RouteKind.STREAM and route.gap_objective_s > 0:
                for share in route.shares:
                    pauses[share.service].append(route.gap_objective_s)
        return {
            name: engine_pace(service.engine, min(pauses[name]))
            for name, service in self.services.items()
            if service.engine is not None and pauses[name]
        }

    def find_route(self, host: str, path: str) -> RouteRule | None:
        """Return the route of ``host`` with the longest prefix of ``path``."""
        routes = self._routes.get(host.lower())
        if not routes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def draw_service(self, route: RouteRule, random: Random) -> ServiceRule:
        """Return a service of the route, drawn by weight."""
        weights = [share.weight for share in route.shares]
        share = random.choices(route.shares, weights)[0]
        return self.services[share.service]
