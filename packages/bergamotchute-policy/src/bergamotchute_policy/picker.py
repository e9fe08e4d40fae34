"""The choice of an endpoint for one request."""

from __future__ import annotations

from random import Random

from bergamotchute_policy.endpoint_book import EndpointBook
from bergamotchute_policy.endpoint_record import EndpointRecord
from bergamotchute_policy.prefix_hints import PrefixHints
from bergamotchute_policy.work import Work

CROWD_FACTOR = 4.0
CROWD_POWER = 4


def pick(
    book: EndpointBook,
    work: Work,
    availability_zone: str,
    random: Random,
    now: float,
    *,
    spare: bool = True,
    hints: PrefixHints | None = None,
) -> EndpointRecord | None:
    """Return the endpoint that should run the request now, or ``None`` when none has room.

    All endpoints with room are compared by their speed, by how full they are and by their zone:
    those of the entry's own come first until they are notably fuller, and so do those that hold the
    beginning of the prompt. Equals are drawn.

    :param spare: whether a short request may go where it has to wait for a slot.
    :param hints: who holds which prompt's beginning.
    """
    candidates = book.records_with_capacity(work.size, now, spare)
    if work.avoid:
        fresh = [record for record in candidates if record.endpoint not in work.avoid]
        candidates = fresh or candidates
    if not candidates:
        return None

    def cost(record: EndpointRecord) -> tuple[float, float]:
        seconds = token_seconds(book, record)
        if record.availability_zone != availability_zone:
            seconds *= book.settings.other_zone_factor
        if hints is not None and work.prefix:
            held = hints.confidence(work.prefix, record.endpoint, now)
            seconds *= 1.0 - (1.0 - book.settings.cached_factor) * held
        return seconds, random.random()

    return min(candidates, key=cost)


def token_seconds(book: EndpointBook, record: EndpointRecord) -> float:
    """Return the time that a token is expected to take, which grows as the slots fill up."""
    full = record.busy() / record.slots
    return (1.0 + CROWD_FACTOR * full**CROWD_POWER) / book.estimated_speed(record)
