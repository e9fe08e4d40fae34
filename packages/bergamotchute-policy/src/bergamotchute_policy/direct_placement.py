"""Where an entry sends a request when it calls endpoints itself.

Load pattern: several entries share the endpoints of a service without seeing each other. Each
knows its own requests in flight, and what endpoints told in answers or reports a moment ago.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace
from heapq import nsmallest
from random import Random

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.whole_configuration import EngineFigures
from bergamotchute_policy.engine_model import draft_s
from bergamotchute_policy.rank_groups import RankGroups

REPORT_HALF_LIFE_S = 1.0
"""A told load counts half after this; a usual draft runs for about a second."""

OTHER_ZONE_FULLNESS = 0.08
"""How much emptier, as a share of its slots, an endpoint of another zone must be to be preferred."""

BAR_BASE_S = 0.5
BAR_MAX_S = 4.0
"""First and longest time for which an endpoint that failed gets no new request."""

ADMITTED_FULLNESS = 1.25
"""Requests at an engine, as a part of its slots, from which further ones are turned away.

One that waits behind a quarter of the slots begins within the users' objective of 0.4 s; more
would make every draft late at the crest, where turning some away keeps the others in time.
"""

RETURN_LEAST_DRAFTS = 0.3
RETURN_SPREAD_DRAFTS = 0.9
"""When those that are turned away come back, in times of a usual draft.

A full engine begins its longest queue in 0.7 of these; they come spread around that time.
"""

FULL_BAR_S = 0.15
"""How long an endpoint that was full gets no new request; a pass or a few of its engine."""


@dataclass
class EndpointLoad:
    """What this entry knows of the load of one life of an endpoint.

    :param in_flight: this entry's requests there.
    :param told_others: requests of others that the endpoint told of.
    :param told_at: when it told, on the runtime's clock.
    :param failures: failures since its last good answer.
    :param barred_until: when it may get a new request, on the runtime's clock.
    :param retry_at: when it accepts requests again, by its own word, on the runtime's clock.
    """

    born_ms: int
    in_flight: int = 0
    told_others: float = 0.0
    told_at: float = 0.0
    failures: int = 0
    barred_until: float = 0.0
    retry_at: float = float("-inf")

    def others(self, now: float) -> float:
        """Return the requests of others, discounted by the age of the word."""
        return float(self.told_others * 0.5 ** ((now - self.told_at) / REPORT_HALF_LIFE_S))


@dataclass(frozen=True)
class Candidate:
    """An endpoint that may get the request, and how full it seems.

    :param fullness: requests there, as a share of its slots.
    :param most: requests there with which it is still as good a choice as the next one: while a
        slot is free, or no other seems emptier.
    """

    heartbeat: EndpointHeartbeat
    fullness: float
    most: int = 0


@dataclass
class DirectPlacement:
    """Picks endpoints by what this entry knows of their load.

    :param availability_zone: the entry's own.
    """

    availability_zone: str
    random: Random
    loads: dict[str, EndpointLoad] = field(default_factory=dict)
    groups: RankGroups = field(default_factory=RankGroups)

    def load(self, endpoint: EndpointHeartbeat) -> EndpointLoad:
        """Return what is known of an endpoint's present life."""
        known = self.loads.get(endpoint.endpoint)
        if known is None or known.born_ms != endpoint.born_ms:
            known = self.loads[endpoint.endpoint] = EndpointLoad(endpoint.born_ms)
        return known

    def choose(
        self, endpoints: Iterable[EndpointHeartbeat], avoided: Collection[str], now: float
    ) -> Candidate | None:
        """Return the emptiest endpoint that may be used, or ``None`` when there is none.

        Quiet and barred endpoints are used only where no other is left; those that asked for a
        pause are not used at all.

        :param avoided: identifiers of endpoints that failed this request.
        """
        usable = [
            each for each in endpoints if each.endpoint not in avoided and self.may_send(each, now)
        ]
        sound = [each for each in usable if self._is_sound(each, now)]
        ranked = nsmallest(
            2, (self._rank(each, now) for each in sound or usable), key=lambda one: one[:2]
        )
        if not ranked:
            return None
        chosen, next_best = ranked[0][2], ranked[-1][2]
        slots = chosen.heartbeat.slots
        return replace(chosen, most=max(slots - 1, int(next_best.fullness * slots)))

    def has_too_much(self, chosen: Candidate, engine: EngineFigures | None) -> bool:
        """Return whether even the chosen endpoint seems too full, where no agent counts.

        Load pattern: a crest beyond the capacity of all engines, or the callers of an outage that
        come back together. Plain services do without: their work is short and they shed it.
        """
        return engine is not None and chosen.fullness >= ADMITTED_FULLNESS

    def return_s(self, engine: EngineFigures) -> float:
        """Return when a request that is turned away may come back, in seconds."""
        drafts = RETURN_LEAST_DRAFTS + RETURN_SPREAD_DRAFTS * self.random.random()
        return drafts * draft_s(engine, engine.slots)

    def has_sound(
        self, endpoints: Iterable[EndpointHeartbeat], avoided: Collection[str], now: float
    ) -> bool:
        """Return whether an endpoint is left that is ready, not barred and goes on."""
        return any(each.endpoint not in avoided and self._is_sound(each, now) for each in endpoints)

    def has_room(self, endpoints: Iterable[EndpointHeartbeat], now: float) -> bool:
        """Return whether a sound endpoint seems to have a free slot."""
        return any(
            self._is_sound(each, now) and self._fullness(each, now) < 1.0 for each in endpoints
        )

    def _fullness(self, endpoint: EndpointHeartbeat, now: float) -> float:
        load = self.load(endpoint)
        return (load.in_flight + load.others(now)) / max(1, endpoint.slots)

    def may_send(self, endpoint: EndpointHeartbeat, now: float) -> bool:
        """Return whether an endpoint takes new requests by its own word."""
        leaving = endpoint.phase is EndpointPhase.LEAVING
        return not leaving and self.load(endpoint).retry_at <= now

    def next_retry_s(self, endpoints: Iterable[EndpointHeartbeat], now: float) -> float:
        """Return in how many seconds the first endpoint that asked for a pause takes requests.

        :returns: 0 where another one takes them now, or none will.
        """
        known = [each for each in endpoints if each.phase is not EndpointPhase.LEAVING]
        return min((max(0.0, self.load(each).retry_at - now) for each in known), default=0.0)

    def _is_sound(self, endpoint: EndpointHeartbeat, now: float) -> bool:
        if not self.may_send(endpoint, now):
            return False
        barred = self.load(endpoint).barred_until > now
        stalled = self.groups.is_stalled(endpoint.address, now)
        return endpoint.phase is EndpointPhase.READY and not barred and not stalled

    def _rank(self, endpoint: EndpointHeartbeat, now: float) -> tuple[float, float, Candidate]:
        fullness = self._fullness(endpoint, now)
        away = endpoint.availability_zone != self.availability_zone
        cost = fullness + (OTHER_ZONE_FULLNESS if away else 0.0)
        return cost, self.random.random(), Candidate(endpoint, fullness)

    def on_sent(self, endpoint: EndpointHeartbeat) -> None:
        """Count a request that goes to an endpoint."""
        self.load(endpoint).in_flight += 1

    def on_ended(self, endpoint: EndpointHeartbeat) -> None:
        """Count a request that ended there."""
        load = self.load(endpoint)
        load.in_flight = max(0, load.in_flight - 1)

    def on_told(self, endpoint: EndpointHeartbeat, requests: int, now: float) -> None:
        """Take an endpoint's word about all requests that it holds."""
        load = self.load(endpoint)
        load.told_others = max(0.0, requests - load.in_flight)
        load.told_at = now

    def on_good_answer(self, endpoint: EndpointHeartbeat) -> None:
        """Note that an endpoint works."""
        load = self.load(endpoint)
        load.failures = 0
        load.barred_until = 0.0
        self.groups.on_progress(endpoint.address)

    def on_full(self, endpoint: EndpointHeartbeat, now: float) -> None:
        """Note that an endpoint had no room."""
        load = self.load(endpoint)
        load.barred_until = max(load.barred_until, now + FULL_BAR_S)
        load.told_others = max(load.told_others, float(endpoint.slots))
        load.told_at = now

    def on_retry_after(self, endpoint: EndpointHeartbeat, seconds: float, now: float) -> None:
        """Note that an endpoint wants no request for some seconds; only a new life ends that."""
        load = self.load(endpoint)
        load.retry_at = max(load.retry_at, now + seconds)

    def on_silence(self, endpoint: EndpointHeartbeat, now: float) -> None:
        """Note that an endpoint did not go on with a request; its whole group may stand still."""
        self.on_failure(endpoint, now)
        self.groups.on_silence(endpoint.address, now)

    def on_failure(self, endpoint: EndpointHeartbeat, now: float) -> None:
        """Note that an endpoint failed; each failure in a row bars it for longer."""
        load = self.load(endpoint)
        bar_s = min(BAR_MAX_S, BAR_BASE_S * 2.0**load.failures)
        load.failures += 1
        load.barred_until = max(load.barred_until, now + bar_s)

    def forget(self, known: Collection[str]) -> None:
        """Drop endpoints that are no longer known and have nothing in flight."""
        for endpoint in [each for each in self.loads if each not in known]:
            if not self.loads[endpoint].in_flight:
                del self.loads[endpoint]
