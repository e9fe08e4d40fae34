"""Explains where a request would go now, and why, without sending it or changing what is known.

Load: none of its own. When requests are refused or late, operators ask which endpoints an entry takes
for usable. The choice itself is made here by the code that places requests, so both agree.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, replace
from random import Random

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.versioned_configuration import EnginePerformance
from bergamotchute_policy.direct_placement import DirectPlacement, EndpointCandidate

TIE_SEED = 0
"""Seed of the choice between endpoints that are equally loaded, so that repeated answers agree."""

MAX_RANKED = 10
MAX_LISTED = 100
"""Endpoints that are ranked and listed; an entry that answers meanwhile serves no caller."""


@dataclass(frozen=True)
class KnownEndpoint:
    """What an entry knows of an endpoint beside its load.

    :param is_used: whether the endpoint is in the subset that the entry uses now.
    :param requests_per_s: the limit of its rate; ``None`` for none.
    :param cold_left_s: for how long it is still cold, in seconds.
    :param agent: whether the agent beside it is ``linked``, ``silent`` or ``none``.
    """

    heartbeat: EndpointHeartbeat
    is_used: bool = True
    is_evacuated: bool = False
    requests_per_s: float | None = None
    cold_left_s: float = 0.0
    agent: str = "none"


@dataclass(frozen=True)
class ExplainedEndpoint:
    """An endpoint, and its place in the choice.

    :param rank: 1 for the chosen one, 2 for the first of the runners-up; ``None`` if the endpoint
        can't get the request now, or comes after the first ten.
    :param utilization: requests there as a share of its capacity.
    :param obstacles: why the endpoint doesn't get the request, or gets it only if no other can.
    """

    endpoint: str
    availability_zone: str
    rank: int | None
    utilization: float
    capacity: int
    requests_per_s: float | None
    cold_left_s: float
    agent: str
    obstacles: tuple[str, ...]


@dataclass(frozen=True)
class ExplainedPlacement:
    """The endpoints of a service, the chosen one first.

    :param permit_wait_s: if none can get the request now, the time until the rate of the first one
        leaves room, in seconds; ``None`` if that doesn't help either.
    :param omitted_count: endpoints that are not listed.
    :param is_overloaded: whether the chosen endpoint has so many requests that an entry without an
        answer of its agent refuses the request.
    """

    endpoints: tuple[ExplainedEndpoint, ...]
    permit_wait_s: float | None
    is_overloaded: bool
    omitted_count: int = 0


def explain_placement(
    placement: DirectPlacement,
    known: Collection[KnownEndpoint],
    engine: EnginePerformance | None,
    now: float,
) -> ExplainedPlacement:
    """Rank the endpoints of a service as the placement of a request would.

    :param engine: the engine's figures; ``None`` when they are unknown.
    """
    copied = replace(
        placement,
        random=Random(TIE_SEED),
        loads=dict(placement.loads),
        limits=dict(placement.limits),
    )
    usable = [each.heartbeat for each in known if each.is_used and not each.is_evacuated]
    ranks: dict[str, int] = {}
    first: EndpointCandidate | None = None
    while len(ranks) < MAX_RANKED:
        chosen = copied.select_endpoint(usable, ranks.keys(), now)
        if chosen is None:
            break
        first = first or chosen
        ranks[chosen.heartbeat.endpoint] = len(ranks) + 1
    ordered = sorted(
        known,
        key=lambda each: (
            ranks.get(each.heartbeat.endpoint, MAX_RANKED + 1),
            each.heartbeat.endpoint,
        ),
    )
    return ExplainedPlacement(
        tuple(_explain_endpoint(copied, each, ranks, now) for each in ordered[:MAX_LISTED]),
        _permit_wait_s(copied, usable, now) if first is None else 0.0,
        first is not None and copied.is_overloaded(first, engine),
        max(0, len(ordered) - MAX_LISTED),
    )


def _permit_wait_s(
    placement: DirectPlacement, usable: Collection[EndpointHeartbeat], now: float
) -> float | None:
    candidate = placement.select_by_permit(usable, (), now, float("inf"))
    if candidate is None:
        return None
    return max(0.0, placement.load(candidate.heartbeat).permit_expected_at - now)


def _explain_endpoint(
    placement: DirectPlacement, known: KnownEndpoint, ranks: dict[str, int], now: float
) -> ExplainedEndpoint:
    heartbeat = known.heartbeat
    load, capacity = placement.load(heartbeat), placement.capacity(heartbeat, now)
    requests = load.in_flight + load.estimated_others(now)
    return ExplainedEndpoint(
        heartbeat.endpoint,
        heartbeat.availability_zone,
        ranks.get(heartbeat.endpoint),
        round(requests / capacity, 2),
        capacity,
        known.requests_per_s,
        round(known.cold_left_s, 2),
        known.agent,
        tuple(_find_obstacles(placement, known, now)),
    )


def _find_obstacles(placement: DirectPlacement, known: KnownEndpoint, now: float) -> list[str]:
    heartbeat = known.heartbeat
    load = placement.load(heartbeat)
    found = {
        "its availability zone is evacuated": known.is_evacuated,
        "it is not among those that this entry uses now": not (known.is_used or known.is_evacuated),
        "it is leaving": heartbeat.phase is EndpointPhase.LEAVING,
        "its heartbeats are missing": heartbeat.phase is EndpointPhase.SILENT,
        f"it asked for a pause of another {load.paused_until - now:.2f} s": load.paused_until > now,
        f"it failed and is left out for another {load.ejected_until - now:.2f} s": (
            load.ejected_until > now
        ),
        "its rank group makes no progress": placement.rank_groups.is_stalled(
            heartbeat.address, now
        ),
        "it is slower than usual": load.is_slow(now),
        f"its rate leaves no room for another {load.permit_expected_at - now:.2f} s": (
            load.permit_expected_at > now
        ),
    }
    return [text for text, holds in found.items() if holds]
