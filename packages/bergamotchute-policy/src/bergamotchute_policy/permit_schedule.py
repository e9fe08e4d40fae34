"""Spaces the requests to an endpoint by the rate that the endpoint named.

One process holds the schedule of an endpoint for all entries. It answers each request for a permit
at once with the time at which the request may be sent, so nothing queues there.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from bergamotchute_model.identifiers import Address
from bergamotchute_model.rate_limits import RequestPermit

MIN_REQUESTS_PER_S = 0.2
"""Rate at which an endpoint is sent requests however low its limit: only a response can tell that
the limit has ended."""

BURST_REQUESTS = 2.0
BURST_S = 0.25
"""Requests that may be sent at once after a pause: a number, and the limit's share of a second."""

MAX_SCHEDULES = 20_000
"""Bound of the table: twice the endpoints of the largest deployment."""


@dataclass(frozen=True)
class Permit:
    """The answer to a request for a permit.

    :param wait_s: time after which the request may be sent, in seconds; if no permit is granted,
        time after which one that can't wait could get it.
    """

    granted: bool
    wait_s: float


@dataclass
class _Schedule:
    """The permits of one incarnation of an endpoint.

    :param debt: permits granted beyond the rate, at ``updated_at``.
    :param updated_at: on the runtime's clock.
    """

    born_ms: int
    debt: float
    updated_at: float


@dataclass
class PermitSchedule:
    """Grants permits so that the requests to each endpoint stay within its rate."""

    schedules: dict[str, _Schedule] = field(default_factory=dict)

    def request_permit(
        self,
        request: RequestPermit,
        now: float,
        initial_debt: float = 0.0,
        burst: float | None = None,
    ) -> Permit:
        """Grant a permit if the request may be sent within its patience.

        :param initial_debt: permits that count as granted when the schedule is new.
        :param burst: requests that may be sent at once after a pause; ``None`` for the usual number.
        """
        rate = max(MIN_REQUESTS_PER_S, request.requests_per_s)
        if burst is None:
            burst = BURST_REQUESTS + BURST_S * rate
        schedule = self.schedules.get(request.endpoint)
        if schedule is None or schedule.born_ms < request.born_ms:
            self._make_room()
            schedule = _Schedule(request.born_ms, initial_debt, now)
            self.schedules[request.endpoint] = schedule
        schedule.debt = max(0.0, schedule.debt - (now - schedule.updated_at) * rate)
        schedule.updated_at = now
        wait_s = max(0.0, schedule.debt + 1.0 - burst) / rate
        if wait_s > request.patience_s:
            return Permit(False, wait_s)
        schedule.debt += 1.0
        return Permit(True, wait_s)

    def _make_room(self) -> None:
        """Drop the schedules that were not used for the longest time."""
        while len(self.schedules) >= MAX_SCHEDULES:
            del self.schedules[
                min(self.schedules, key=lambda each: self.schedules[each].updated_at)
            ]


def choose_permit_host(endpoint: str, hosts: Iterable[Address]) -> Address | None:
    """Return the process that holds the schedule of an endpoint, the same for all that ask.

    :param hosts: the processes that could hold it.
    """
    return min(
        hosts,
        key=lambda host: (xxh3_64_intdigest(f"{endpoint} {host}".encode()), host),
        default=None,
    )
