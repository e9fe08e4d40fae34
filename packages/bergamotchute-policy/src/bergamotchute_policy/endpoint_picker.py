"""Selects the endpoint for a request."""

from __future__ import annotations

from random import Random

from bergamotchute_policy.endpoint_record import EndpointRecord
from bergamotchute_policy.endpoint_tracker import EndpointTracker
from bergamotchute_policy.prefix_hints import PrefixHints
from bergamotchute_policy.work import Work

LOAD_PENALTY_FACTOR = 4.0
LOAD_PENALTY_EXPONENT = 4


def pick_endpoint(
    tracker: EndpointTracker,
    work: Work,
    availability_zone: str,
    random: Random,
    now: float,
    *,
    spare: bool = True,
    hints: PrefixHints | None = None,
) -> EndpointRecord | None:
    """Return the endpoint that should run the request now; ``None`` if none has capacity.

    Endpoints with capacity are compared by the expected time per token, which depends on their
    speed and load. Endpoints in the entry's zone and endpoints that have probably cached the
    prompt's prefix are preferred until they are notably more loaded. Ties are broken at random.

    :param availability_zone: the availability zone of the entry.
    :param spare: whether a short request may go to an endpoint where it has to wait for a slot.
    :param hints: the prefixes that endpoints have probably cached.
    """
    candidates = tracker.records_with_capacity(work.size, now, spare)
    if work.avoided_endpoints:
        fresh = [record for record in candidates if record.endpoint not in work.avoided_endpoints]
        candidates = fresh or candidates
    if not candidates:
        return None

    def cost(record: EndpointRecord) -> tuple[float, float]:
        token_s = expected_token_s(tracker, record)
        if record.availability_zone != availability_zone:
            token_s *= tracker.settings.other_zone_factor
        if hints is not None and work.prefix_hash:
            held = hints.confidence(work.prefix_hash, record.endpoint, now)
            token_s *= 1.0 - (1.0 - tracker.settings.cached_prefix_factor) * held
        return token_s, random.random()

    return min(candidates, key=cost)


def expected_token_s(tracker: EndpointTracker, record: EndpointRecord) -> float:
    """Return the expected time per token in seconds, which grows as the slots fill up."""
    full = record.busy() / record.slots
    return (1.0 + LOAD_PENALTY_FACTOR * full**LOAD_PENALTY_EXPONENT) / tracker.estimated_speed(
        record
    )
