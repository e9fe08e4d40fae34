"""Attribute each request that was not served in time to one cause, from the logs of entries."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from bergamotchute_model.event_record import EventRecord
from bergamotchute_model.hybrid_clock import HybridTimestamp

STALL_THRESHOLD_MS = 500
"""Pause of a stream that counts as a stalled rank group; the longest pass seen takes half of it."""

PAUSE_MARGIN_MS = 5
"""How much longer a pause may get on the way from an entry to its caller."""


class LossCause(StrEnum):
    """Why a request was not served in time."""

    WAITED_FOR_SLOT = "waited for a slot"
    STARTED_LATE = "began late at the endpoint"
    ATTEMPT_LOST = "an earlier attempt was lost"
    SLOW_PASSES = "passes too long"
    STREAM_STALLED = "the stream stood still"
    REFUSED_AT_CAPACITY = "refused at once, all full"
    REFUSED_AFTER_WAIT = "refused after a wait"
    NO_CONFIGURATION = "no configuration at the entry"
    REFUSED_OTHER = "refused otherwise"
    INTERRUPTED = "broken off"
    NO_END_LOGGED = "no end logged: caller left, or entry lost"


@dataclass
class _RequestEvents:
    """Logged events of one request.

    :param first_seen_s: when the request was first seen, in seconds since the first event of all.
    :param ended: the event that ended the request; ``None`` when there is none.
    """

    first_seen_s: float
    dispatch_events: list[EventRecord] = field(default_factory=list)
    ended: EventRecord | None = None


@dataclass
class LossReport:
    """Counts of requests and of those not served in time.

    :param request_counts: requests by the second in which each was first seen.
    :param losses: requests not served in time, by second and cause.
    """

    request_counts: Counter[int] = field(default_factory=Counter)
    losses: Counter[tuple[int, LossCause]] = field(default_factory=Counter)

    @property
    def seconds(self) -> list[int]:
        """The seconds in which requests were first seen, sorted."""
        return sorted(self.request_counts)

    def count_by_cause(self) -> Counter[LossCause]:
        """Return the number of losses per cause over all seconds."""
        total: Counter[LossCause] = Counter()
        for (_, cause), count in self.losses.items():
            total[cause] += count
        return total

    def worst_second(self, cause: LossCause) -> int:
        """Return the second with the most losses from a cause."""
        return max(self.request_counts, key=lambda second: self.losses[second, cause], default=0)


def attribute_losses(records: Iterable[EventRecord]) -> LossReport:
    """Attribute the losses among all requests of ``records``, which must be in timeline order."""
    requests: dict[str, _RequestEvents] = {}
    start_us: int | None = None
    for record in records:
        at_us = HybridTimestamp.parse(record.stamp).wall_us
        start_us = at_us if start_us is None else start_us
        if not record.request_id or record.role != "entry":
            continue
        seconds = (at_us - start_us) / 1e6
        request = requests.setdefault(record.request_id, _RequestEvents(seconds))
        if record.event == "request_dispatched":
            request.dispatch_events.append(record)
        elif record.event in ("request_completed", "request_refused", "request_failed"):
            request.ended = record
    report = LossReport()
    for request in requests.values():
        if request.ended is not None and _is_caller_error(request.ended):
            continue
        second = int(request.first_seen_s)
        report.request_counts[second] += 1
        cause = _find_cause(request)
        if cause is not None:
            report.losses[second, cause] += 1
    return report


def _is_caller_error(ended: EventRecord) -> bool:
    return ended.event == "request_refused" and 400 <= _read_number(ended, "status") < 429


def _find_cause(request: _RequestEvents) -> LossCause | None:
    """Return why a request was not served in time; ``None`` for one that was."""
    ended = request.ended
    if ended is None:
        return LossCause.NO_END_LOGGED
    if ended.event == "request_failed":
        return LossCause.INTERRUPTED
    if ended.event == "request_refused":
        return _find_refusal_cause(str(ended.fields.get("reason", "")))
    return _find_lateness_cause(request, ended)


def _find_refusal_cause(reason: str) -> LossCause:
    if "waited" in reason:
        return LossCause.REFUSED_AFTER_WAIT
    if "full" in reason:
        return LossCause.REFUSED_AT_CAPACITY
    if "configuration" in reason:
        return LossCause.NO_CONFIGURATION
    return LossCause.REFUSED_OTHER


def _find_lateness_cause(request: _RequestEvents, ended: EventRecord) -> LossCause | None:
    objective_ms = _read_number(ended, "objective_ms")
    pause_bound_ms = _read_number(ended, "pause_bound_ms")
    first_ms = _read_number(ended, "first_ms")
    pause_ms = _read_number(ended, "longest_pause_ms")
    if objective_ms and first_ms > objective_ms:
        last_dispatch = request.dispatch_events[-1] if request.dispatch_events else None
        waited_ms = _read_number(last_dispatch, "waited_ms") if last_dispatch is not None else 0.0
        if _read_number(ended, "attempts") > 1:
            return LossCause.ATTEMPT_LOST
        # The wait for a slot is the cause if the request would have been in time without it.
        if first_ms - waited_ms <= objective_ms:
            return LossCause.WAITED_FOR_SLOT
        return LossCause.STARTED_LATE
    if pause_ms >= STALL_THRESHOLD_MS:
        return LossCause.STREAM_STALLED
    if pause_bound_ms and pause_ms > pause_bound_ms - PAUSE_MARGIN_MS:
        return LossCause.SLOW_PASSES
    return None


def _read_number(record: EventRecord, name: str) -> float:
    value = record.fields.get(name, 0)
    return float(value) if isinstance(value, int | float) else 0.0
