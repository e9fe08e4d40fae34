"""What an entry knows of cold endpoints: for how long they are cold, and what they may get."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.versioned_configuration import ServiceRule
from bergamotchute_policy.cold_limit import ColdLimit, cold_limit, most_cold_requests
from bergamotchute_policy.endpoint_table import EndpointTable


@dataclass
class ColdLimits:
    """Looks up the limit of a cold endpoint by its service.

    :param excess: see :attr:`NodeSettings.cold_excess`.
    :param slack: see :attr:`NodeSettings.cold_slack`.
    :param entry_count: returns the entries that may send without permits.
    :param rules: the services that limit the requests to cold endpoints, by name.
    """

    table: EndpointTable = field(default_factory=lambda: EndpointTable(0.0))
    excess: float = 1.0
    slack: float = 0.0
    entry_count: Callable[[], int] = lambda: 1
    rules: dict[str, ServiceRule] = field(default_factory=dict)

    def set_services(self, services: Iterable[ServiceRule]) -> None:
        """Use the figures of a newer configuration."""
        self.rules = {each.name: each for each in services if each.cold_per_s > 0}

    def limit(self, endpoint: EndpointHeartbeat) -> ColdLimit | None:
        """Return the limit of an endpoint; ``None`` if it is warm or its service has none."""
        rule = self.rules.get(endpoint.service)
        if rule is None or not self.left_s(endpoint):
            return None
        return cold_limit(rule.cold_per_s, self.most_per_s(rule.name), self.entry_count())

    def left_s(self, endpoint: EndpointHeartbeat) -> float:
        """Return for how long an endpoint is still cold, in seconds."""
        return self.table.cold_left_s(endpoint.endpoint, endpoint.born_ms, anyio.current_time())

    def most_per_s(self, service: str) -> int:
        """Return the most requests in any second to a cold endpoint of a service; 0 for no bound."""
        rule = self.rules.get(service)
        return most_cold_requests(rule.cold_per_s, self.excess, self.slack) if rule else 0

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        return {"cold_endpoints": float(self.table.count_cold(anyio.current_time()))}
