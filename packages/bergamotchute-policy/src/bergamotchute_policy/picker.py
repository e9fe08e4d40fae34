"""The choice of an endpoint for one request."""

from __future__ import annotations

from random import Random

from bergamotchute_policy.endpoint_book import EndpointBook
from bergamotchute_policy.endpoint_record import EndpointRecord
from bergamotchute_policy.work import Work


def pick(
    book: EndpointBook, work: Work, availability_zone: str, random: Random, now: float
) -> EndpointRecord | None:
    """Return the endpoint that should run the request now, or ``None`` when none has room.

    Endpoints of the entry's own zone come first while one of them is lightly loaded. Of those that
    are left two are drawn, and the one that is expected to answer sooner is taken: drawing keeps
    entries that see the same late reports from all taking the same endpoint.
    """
    candidates = book.with_room(work.size, now)
    if work.avoid:
        fresh = [record for record in candidates if record.endpoint not in work.avoid]
        candidates = fresh or candidates
    if not candidates:
        return None
    near = _lightly_loaded(candidates, availability_zone, book.settings.spill_share)
    drawn = _draw(near or candidates, book.settings.choices, random)
    return min(drawn, key=lambda record: expected_seconds(book, record, work, now))


def expected_seconds(book: EndpointBook, record: EndpointRecord, work: Work, now: float) -> float:
    """Return the time that an endpoint is expected to take for the request and its backlog."""
    speed = book.speed_of(record)
    return (work.tokens + record.work_left(now, speed) / record.slots) / speed


def _lightly_loaded(
    candidates: list[EndpointRecord], availability_zone: str, spill_share: float
) -> list[EndpointRecord]:
    """Return the endpoints of the zone that are under the share from which work spills over."""
    return [
        record
        for record in candidates
        if record.availability_zone == availability_zone
        and record.busy() < record.slots * spill_share
    ]


def _draw(candidates: list[EndpointRecord], choices: int, random: Random) -> list[EndpointRecord]:
    """Return ``choices`` different endpoints at random; all of them for 0 or when there are fewer."""
    if not choices or len(candidates) <= choices:
        return candidates
    return random.sample(candidates, choices)
