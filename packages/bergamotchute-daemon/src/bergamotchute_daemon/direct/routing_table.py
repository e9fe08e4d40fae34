"""A configuration indexed for looking up the route, service and team of a request."""

from __future__ import annotations

from collections import defaultdict
from random import Random

from bergamotchute_model.versioned_configuration import (
    RouteKind,
    RouteRule,
    ServiceRule,
    TeamRule,
    VersionedConfiguration,
)
from bergamotchute_policy.engine_model import EngineTiming, engine_timing


class RoutingTable:
    """Looks up the route, service and team of a request.

    :param configuration: the configuration in force.
    """

    def __init__(self, configuration: VersionedConfiguration) -> None:
        self.configuration = configuration
        self.services: dict[str, ServiceRule] = {
            service.name: service for service in configuration.services
        }
        self.teams: dict[str, TeamRule] = {
            key: team for team in configuration.teams for key in team.keys
        }
        self._routes_by_host: dict[str, dict[str, RouteRule]] = defaultdict(dict)
        for route in configuration.routes:
            self._routes_by_host[route.host.lower()][route.path_prefix] = route
        self.engine_timings = self._compute_engine_timings()
        self.services_with_priorities = self._find_services_with_priorities()

    def _find_services_with_priorities(self) -> frozenset[str]:
        """Return the services whose requests have different priorities.

        The priority of a team goes before that of the route.
        """
        priorities: dict[str, set[int]] = defaultdict(set)
        team_priorities = {team.priority for team in self.configuration.teams}
        for route in self.configuration.routes:
            found = {route.priority_for(each) for each in team_priorities}
            if route.open_to_all or not team_priorities:
                found.add(route.priority)
            for share in route.shares:
                priorities[share.service] |= found
        return frozenset(name for name, found in priorities.items() if len(found) > 1)

    def _compute_engine_timings(self) -> dict[str, EngineTiming]:
        """Return the timing of each service's engines, for its streams' strictest gap objective."""
        gap_objectives_s: dict[str, list[float]] = defaultdict(list)
        for route in self.configuration.routes:
            if route.kind is RouteKind.STREAM and route.gap_objective_s > 0:
                for share in route.shares:
                    gap_objectives_s[share.service].append(route.gap_objective_s)
        return {
            name: engine_timing(service.engine, min(gap_objectives_s[name]))
            for name, service in self.services.items()
            if service.engine is not None and gap_objectives_s[name]
        }

    def find_route(self, host: str, path: str) -> RouteRule | None:
        """Return the route of ``host`` whose prefix is the longest that matches ``path``."""
        routes = self._routes_by_host.get(host.lower())
        if not routes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def choose_service(self, route: RouteRule, random: Random) -> ServiceRule:
        """Return a random service of the route, by weight."""
        weights = [share.weight for share in route.shares]
        share = random.choices(route.shares, weights)[0]
        return self.services[share.service]
