"""Selection of the endpoint for a request by an entry that calls endpoints directly.

Several entries share the endpoints of a service without coordinating. Each entry knows its own
requests in flight and the load that endpoints last reported in answers or load reports.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from heapq import nsmallest
from operator import itemgetter
from random import Random

from xxhash import xxh3_64_intdigest

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_model.versioned_configuration import EnginePerformance
from bergamotchute_policy.concurrency_limit import ConcurrencyLimit, GroupLoad
from bergamotchute_policy.engine_model import EngineTiming, request_duration_s
from bergamotchute_policy.rank_group_tracker import RankGroupTracker
from bergamotchute_policy.rank_pace import MAX_AVOIDED_SHARE, SLOW_PACE

REPORT_HALF_LIFE_S = 1.0
"""Half-life of a load report's weight, in seconds; a typical request runs for about a second."""

OTHER_ZONE_PENALTY = 0.08
"""Utilization advantage, as a share of slots, that makes an endpoint of another zone preferred."""

LOAD_TTL_S = 1.5
MIN_RECENT_SHARE = 0.6
"""Age up to which a reported load counts for the mean of a group, and the share of the known
endpoints that must have one. The load of a busy endpoint changes several times a second."""

EJECTION_BASE_S = 0.5
EJECTION_MAX_S = 4.0
"""Initial and maximum time for which a failed endpoint gets no new request."""

OVERLOAD_FULLNESS = 1.25
"""Requests at an engine, as a share of its slots, from which further requests are rejected.

A request that waits behind a quarter of the slots still starts within the objective of 0.4 s. With
more requests, every request would miss its objective at peak load; rejecting some keeps the others
within theirs.
"""

RETRY_MIN_DURATIONS = 0.6
RETRY_SPREAD_DURATIONS = 1.3
"""Minimum delay and random spread of retries after a rejection, in typical request durations.

A full engine starts all requests of its longest queue within 0.7 request durations, so that the
first callers return before its slots are idle. A peak load lasts longer than that; callers who come
back into it are rejected again.
"""

PACE_TTL_S = 3.0
"""How long a reported pace counts; agents repeat that of a slow endpoint each second."""

FULL_EJECTION_S = 0.15
"""How long a full endpoint gets no new request: one or a few forward passes of its engine."""


@dataclass
class EndpointLoadEstimate:
    """What this entry knows of the load of one incarnation of an endpoint.

    :param in_flight: this entry's requests at the endpoint.
    :param reported_others: requests of other entries, from the endpoint's last report.
    :param reported_at: when that report came, on the runtime's clock.
    :param pace: how many times longer than usual its part of a pass takes.
    :param pace_reported_at: when its pace was last reported, on the runtime's clock.
    :param group: name of the endpoint's rank group; empty for none.
    :param phase: from 0 to 1, the same at all entries. With a limit of 3.4 requests at a rank, it
        lets 4 run at four of ten ranks and 3 at the others.
    :param failures: consecutive failures since the last successful answer.
    :param ejected_until: end of the ejection after a failure or refusal, on the runtime's clock.
    :param paused_until: end of the pause that the endpoint asked for, on the runtime's clock.
    :param permit_expected_at: when a request may be sent at the rate that the endpoint named, as
        far as this entry knows, on the runtime's clock.
    """

    born_ms: int
    in_flight: int = 0
    reported_others: float = 0.0
    reported_at: float = 0.0
    pace: float = 1.0
    pace_reported_at: float = float("-inf")
    group: str = ""
    phase: float = 0.5
    failures: int = 0
    ejected_until: float = 0.0
    paused_until: float = float("-inf")
    permit_expected_at: float = float("-inf")

    def is_slow(self, now: float) -> bool:
        """Return whether the endpoint's part of each pass recently took much longer than usual."""
        return self.pace >= SLOW_PACE and now - self.pace_reported_at < PACE_TTL_S

    def estimated_others(self, now: float) -> float:
        """Return the requests of other entries, discounted by the age of the report."""
        return float(self.reported_others * 0.5 ** ((now - self.reported_at) / REPORT_HALF_LIFE_S))


@dataclass(frozen=True)
class EndpointCandidate:
    """An endpoint that may get the request, and its estimated utilization.

    :param fullness: requests at the endpoint, as a share of those that may run there.
    :param most: requests at the endpoint up to which it remains the best choice: as long as a slot
        is free, or no other endpoint seems less utilized.
    """

    heartbeat: EndpointHeartbeat
    fullness: float
    most: int = 0


@dataclass
class DirectPlacement:
    """Selects endpoints by what this entry knows of their load.

    :param availability_zone: the zone of this entry.
    :param loads: load estimates by endpoint identifier.
    :param engine_timings: the timing of the engines of each service, by name.
    :param limits: limits of the requests at a rank, by rank group.
    """

    availability_zone: str
    random: Random
    loads: dict[str, EndpointLoadEstimate] = field(default_factory=dict)
    engine_timings: Mapping[str, EngineTiming] = field(default_factory=dict)
    limits: dict[str, ConcurrencyLimit] = field(default_factory=dict)
    rank_groups: RankGroupTracker = field(default_factory=RankGroupTracker)

    def load(self, endpoint: EndpointHeartbeat) -> EndpointLoadEstimate:
        """Return the load estimate of an endpoint's current incarnation."""
        known = self.loads.get(endpoint.endpoint)
        if known is None or known.born_ms != endpoint.born_ms:
            known = self.loads[endpoint.endpoint] = EndpointLoadEstimate(
                endpoint.born_ms,
                group=self.rank_groups.group_names.get(endpoint.address, ""),
                phase=xxh3_64_intdigest(endpoint.endpoint.encode()) / 2**64,
            )
        return known

    def select_endpoint(
        self, endpoints: Iterable[EndpointHeartbeat], avoided: Collection[str], now: float
    ) -> EndpointCandidate | None:
        """Return the least utilized endpoint that accepts requests; ``None`` when there is none.

        Silent, ejected and stalled endpoints are used only when no healthy endpoint is left;
        endpoints that asked for a pause, or whose rate leaves no room now, are not used at all.

        :param avoided: identifiers of endpoints that failed this request.
        """
        usable = self._usable(endpoints, avoided, now, latest_permit_at=now)
        ranked = nsmallest(
            2,
            [self._rank_endpoint(each, now) for each in usable],
            key=itemgetter(0, 1),
        )
        if not ranked:
            return None
        _, _, fullness, chosen = ranked[0]
        _, _, next_fullness, _ = ranked[-1]
        capacity = self.capacity(chosen, now)
        most = max(capacity - 1, int(next_fullness * capacity))
        return EndpointCandidate(chosen, fullness, most)

    def select_by_permit(
        self,
        endpoints: Iterable[EndpointHeartbeat],
        avoided: Collection[str],
        now: float,
        latest_at: float,
    ) -> EndpointCandidate | None:
        """Return the endpoint whose rate leaves room first; ``None`` when that is too late.

        :param latest_at: the latest acceptable time, on the runtime's clock.
        """
        chosen = min(
            self._usable(endpoints, avoided, now, latest_at),
            key=lambda each: (self.load(each).permit_expected_at, self.random.random()),
            default=None,
        )
        if chosen is None:
            return None
        capacity = self.capacity(chosen, now)
        return EndpointCandidate(chosen, self._fullness(chosen, now), capacity - 1)

    def _usable(
        self,
        endpoints: Iterable[EndpointHeartbeat],
        avoided: Collection[str],
        now: float,
        latest_permit_at: float,
    ) -> list[EndpointHeartbeat]:
        """Return the healthy endpoints whose rates leave room in time, mostly without the slow ones.

        The others are returned only if none is healthy, not if the healthy ones have no room.
        """
        accepting = [
            each
            for each in endpoints
            if each.endpoint not in avoided and self.accepts_requests(each, now)
        ]
        healthy = [each for each in accepting if self._is_sound(each, now)]
        with_room = [
            each
            for each in healthy or accepting
            if self.load(each).permit_expected_at <= latest_permit_at
        ]
        return self._without_slow(with_room, now) if healthy else with_room

    def is_overloaded(self, candidate: EndpointCandidate, engine: EnginePerformance | None) -> bool:
        """Return whether the chosen endpoint is overloaded, for endpoints without an agent.

        This occurs when demand exceeds the capacity of all engines, or when callers return
        together after an outage. Services without an engine need no such check: their requests are
        short and the endpoints shed load themselves.
        """
        return engine is not None and candidate.fullness >= OVERLOAD_FULLNESS

    def random_retry_delay_s(self, engine: EnginePerformance) -> float:
        """Return a random delay in seconds after which a rejected request may be retried."""
        durations = RETRY_MIN_DURATIONS + RETRY_SPREAD_DURATIONS * self.random.random()
        return durations * request_duration_s(engine, engine.slots)

    def has_rank_group(self, endpoints: Iterable[EndpointHeartbeat]) -> bool:
        """Return whether any of the endpoints is a rank of a group."""
        return any(self.rank_groups.group_names.get(each.address) for each in endpoints)

    def has_healthy_endpoint(
        self, endpoints: Iterable[EndpointHeartbeat], avoided: Collection[str], now: float
    ) -> bool:
        """Return whether an endpoint is left that is ready, not ejected and not stalled."""
        return any(
            each.endpoint not in avoided and self._is_healthy(each, now) for each in endpoints
        )

    def has_free_slot(self, endpoints: Iterable[EndpointHeartbeat], now: float) -> bool:
        """Return whether an endpoint that would be chosen seems to have a free slot.

        This is asked several times for each request. Healthy endpoints that are not slow are always
        preferred, so the first of them with a free slot decides, and only others need a closer look.
        """
        slow: list[EndpointHeartbeat] = []
        for each in endpoints:
            if self.load(each).is_slow(now):
                slow.append(each)
            elif self._is_healthy(each, now) and self._has_room(each, now):
                return True
        if not any(self._is_healthy(each, now) and self._has_room(each, now) for each in slow):
            return False
        return any(self._has_room(each, now) for each in self._preferred(endpoints, now))

    def _has_room(self, endpoint: EndpointHeartbeat, now: float) -> bool:
        has_permit = self.load(endpoint).permit_expected_at <= now
        return has_permit and self._fullness(endpoint, now) < 1.0

    def _preferred(
        self, endpoints: Iterable[EndpointHeartbeat], now: float
    ) -> list[EndpointHeartbeat]:
        """Return the healthy endpoints, without the slow ones unless these are too many."""
        return self._without_slow([each for each in endpoints if self._is_healthy(each, now)], now)

    def _fullness(self, endpoint: EndpointHeartbeat, now: float) -> float:
        load = self.load(endpoint)
        requests = load.in_flight + load.estimated_others(now)
        return requests / self._capacity(endpoint, load, now)

    def capacity(self, endpoint: EndpointHeartbeat, now: float) -> int:
        """Return how many requests may run at an endpoint."""
        return self._capacity(endpoint, self.load(endpoint), now)

    def _capacity(self, endpoint: EndpointHeartbeat, load: EndpointLoadEstimate, now: float) -> int:
        limit = self._limit(endpoint, load, now)
        max_requests = None if limit is None else limit.max_requests(now)
        if max_requests is None:
            return max(1, endpoint.slots)
        return max(1, min(endpoint.slots, int(max_requests + load.phase)))

    def _limit(
        self, endpoint: EndpointHeartbeat, load: EndpointLoadEstimate, now: float
    ) -> ConcurrencyLimit | None:
        """Return the limit of the endpoint's rank group; ``None`` if it needs none."""
        timing = self.engine_timings.get(endpoint.service) if load.group else None
        if timing is None:
            return None
        limit = self.limits.get(load.group)
        if limit is None or (limit.timing is not timing and limit.timing != timing):
            limit = self.limits[load.group] = ConcurrencyLimit(timing, now)
        return limit

    def on_stream_pause(self, endpoint: EndpointHeartbeat, pause_s: float, now: float) -> None:
        """Record the pause between two events of a stream from an endpoint."""
        load = self.load(endpoint)
        limit = self._limit(endpoint, load, now)
        if limit is not None:
            limit.on_pause(pause_s, now, lambda: self._group_load(load.group, now))

    def _group_load(self, group: str, now: float) -> GroupLoad:
        """Return the load of a group, from its ranks whose load was reported recently.

        While the control VM that forwards reports is frozen, only endpoints that this entry chose
        for their low load are known, which says nothing about the others.
        """
        known = [load for load in self.loads.values() if load.group == group]
        slowest_pace = max((load.pace for load in known if load.is_slow(now)), default=1.0)
        recent = [load for load in known if now - load.reported_at < LOAD_TTL_S]
        if len(recent) < MIN_RECENT_SHARE * len(known):
            return GroupLoad(None, slowest_pace)
        requests = sum(load.in_flight + load.reported_others for load in recent)
        return GroupLoad(requests / max(1, len(recent)), slowest_pace)

    def on_group_state(self, endpoint: Address, group: str, takes_work: bool) -> bool:
        """Record the group of an endpoint and whether it takes work; return whether this is new."""
        is_changed = self.rank_groups.on_group_state(endpoint, group, takes_work)
        if is_changed and takes_work:
            # A group that opens again begins with its initial map.
            self.limits.pop(group, None)
        return is_changed

    def accepts_requests(self, endpoint: EndpointHeartbeat, now: float) -> bool:
        """Return whether an endpoint accepts requests: it is not leaving and asked for no pause."""
        leaving = endpoint.phase is EndpointPhase.LEAVING
        return not leaving and self.load(endpoint).paused_until <= now

    def seconds_until_accepting(self, endpoints: Iterable[EndpointHeartbeat], now: float) -> float:
        """Return the seconds until the first endpoint accepts requests.

        :returns: 0 when an endpoint accepts requests now, or when none will.
        """
        loads = [self.load(each) for each in endpoints if each.phase is not EndpointPhase.LEAVING]
        accepting_at = (max(load.paused_until, load.permit_expected_at) for load in loads)
        return max(0.0, min(accepting_at, default=now) - now)

    def _without_slow(
        self, endpoints: list[EndpointHeartbeat], now: float
    ) -> list[EndpointHeartbeat]:
        """Return the endpoints that are not slow, unless too many are."""
        fast = [each for each in endpoints if not self.load(each).is_slow(now)]
        is_enough = len(fast) >= (1.0 - MAX_AVOIDED_SHARE) * len(endpoints)
        return fast if is_enough else endpoints

    def _is_healthy(self, endpoint: EndpointHeartbeat, now: float) -> bool:
        return self.accepts_requests(endpoint, now) and self._is_sound(endpoint, now)

    def _is_sound(self, endpoint: EndpointHeartbeat, now: float) -> bool:
        """Return whether an endpoint that accepts requests is ready, not ejected and not stalled."""
        return (
            endpoint.phase is EndpointPhase.READY
            and self.load(endpoint).ejected_until <= now
            and not self.rank_groups.is_stalled(endpoint.address, now)
        )

    def _rank_endpoint(
        self, endpoint: EndpointHeartbeat, now: float
    ) -> tuple[float, float, float, EndpointHeartbeat]:
        """Return the cost of an endpoint, a random number, its fullness and the endpoint."""
        fullness = self._fullness(endpoint, now)
        in_other_zone = endpoint.availability_zone != self.availability_zone
        cost = fullness + (OTHER_ZONE_PENALTY if in_other_zone else 0.0)
        return cost, self.random.random(), fullness, endpoint

    def on_request_sent(self, endpoint: EndpointHeartbeat) -> None:
        """Count a request that is sent to an endpoint."""
        self.load(endpoint).in_flight += 1

    def on_request_ended(self, endpoint: EndpointHeartbeat) -> None:
        """Count the end of a request at an endpoint."""
        load = self.load(endpoint)
        load.in_flight = max(0, load.in_flight - 1)

    def on_load_reported(self, endpoint: EndpointHeartbeat, requests: int, now: float) -> None:
        """Record the number of requests that an endpoint reports, of all entries."""
        load = self.load(endpoint)
        load.group = self.rank_groups.group_names.get(endpoint.address, load.group)
        load.reported_others = max(0.0, requests - load.in_flight)
        load.reported_at = now

    def on_pace_reported(self, endpoint: EndpointHeartbeat, pace: float, now: float) -> bool:
        """Record the pace of an endpoint; return whether it became slow or usual by it."""
        load = self.load(endpoint)
        was_slow = load.is_slow(now)
        load.pace, load.pace_reported_at = pace, now
        return load.is_slow(now) != was_slow

    def on_success(self, endpoint: EndpointHeartbeat) -> None:
        """Clear the failures and the ejection of an endpoint that answered successfully."""
        load = self.load(endpoint)
        load.failures = 0
        load.ejected_until = 0.0
        self.rank_groups.on_rank_progress(endpoint.address)

    def on_slots_full(self, endpoint: EndpointHeartbeat, now: float) -> None:
        """Eject an endpoint that refused a request because its slots are taken."""
        load = self.load(endpoint)
        load.ejected_until = max(load.ejected_until, now + FULL_EJECTION_S)
        load.reported_others = max(load.reported_others, float(endpoint.slots))
        load.reported_at = now

    def on_pause_requested(self, endpoint: EndpointHeartbeat, seconds: float, now: float) -> None:
        """Record a pause that an endpoint asked for; only a new incarnation ends it early."""
        load = self.load(endpoint)
        load.paused_until = max(load.paused_until, now + seconds)

    def on_permit_refused(self, endpoint: EndpointHeartbeat, seconds: float, now: float) -> None:
        """Record the time until an endpoint's rate leaves room for a request."""
        self.load(endpoint).permit_expected_at = now + seconds

    def on_no_progress(self, endpoint: EndpointHeartbeat, now: float) -> None:
        """Eject an endpoint whose answer made no progress; its whole rank group may be stalled."""
        self.on_failure(endpoint, now)
        self.rank_groups.on_rank_stalled(endpoint.address, now)

    def on_failure(self, endpoint: EndpointHeartbeat, now: float) -> None:
        """Eject an endpoint that failed; each consecutive failure doubles the time."""
        load = self.load(endpoint)
        ejection_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2.0**load.failures)
        load.failures += 1
        load.ejected_until = max(load.ejected_until, now + ejection_s)

    def drop_unknown_endpoints(self, known: Collection[str]) -> None:
        """Drop the load of endpoints that are no longer known and have no request in flight."""
        for endpoint in [each for each in self.loads if each not in known]:
            if not self.loads[endpoint].in_flight:
                del self.loads[endpoint]
