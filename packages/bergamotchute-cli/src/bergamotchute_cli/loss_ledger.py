"""Books each request that was not served in time to one cause, from the logs of entries."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from bergamotchute_model.event_record import EventRecord
from bergamotchute_model.hybrid_clock import HybridStamp

STOOD_STILL_MS = 500
"""A pause of a stream from which its group stood still; the longest pass that was seen takes half."""

PASS_MARGIN_MS = 5
"""Between an entry and its callers a pause may grow by so much."""


class LossCause(StrEnum):
    """Why a request was not served in time."""

    WAITED_FOR_SLOT = "waited for a slot"
    BEGAN_LATE = "began late at the endpoint"
    ATTEMPT_LOST = "an earlier attempt was lost"
    PASSES_TOO_LONG = "passes too long"
    STOOD_STILL = "the stream stood still"
    REFUSED_FULL = "refused at once, all full"
    REFUSED_AFTER_WAIT = "refused after a wait"
    NO_CONFIGURATION = "no configuration at the entry"
    REFUSED_OTHERWISE = "refused otherwise"
    BROKEN_OFF = "broken off"
    NO_END = "no end logged: caller left, or entry lost"


@dataclass
class _Request:
    """What the logs say of one request.

    :param seconds: when it was seen first, since the first event of all.
    """

    seconds: float
    dispatched: list[EventRecord] = field(default_factory=list)
    ended: EventRecord | None = None


@dataclass
class LossLedger:
    """Requests and losses, whole and by second.

    :param asked: requests by the second in which each was seen first.
    :param losses: those not served in time, by second and cause.
    """

    asked: Counter[int] = field(default_factory=Counter)
    losses: Counter[tuple[int, LossCause]] = field(default_factory=Counter)

    @property
    def seconds(self) -> list[int]:
        """The seconds in which requests came, in order."""
        return sorted(self.asked)

    def by_cause(self) -> Counter[LossCause]:
        """Return the losses of all seconds."""
        total: Counter[LossCause] = Counter()
        for (_, cause), count in self.losses.items():
            total[cause] += count
        return total

    def worst_second(self, cause: LossCause) -> int:
        """Return the second in which a cause cost most."""
        return max(self.asked, key=lambda second: self.losses[second, cause], default=0)


def book_losses(records: Iterable[EventRecord]) -> LossLedger:
    """Book all requests of some events that are in the order of the time line."""
    requests: dict[str, _Request] = {}
    first_us: int | None = None
    for record in records:
        at_us = HybridStamp.parse(record.stamp).wall_us
        first_us = at_us if first_us is None else first_us
        if not record.request_id or record.role != "entry":
            continue
        seconds = (at_us - first_us) / 1e6
        request = requests.setdefault(record.request_id, _Request(seconds))
        if record.event == "request_dispatched":
            request.dispatched.append(record)
        elif record.event in ("request_completed", "request_refused", "request_failed"):
            request.ended = record
    ledger = LossLedger()
    for request in requests.values():
        if request.ended is not None and _is_callers_fault(request.ended):
            continue
        second = int(request.seconds)
        ledger.asked[second] += 1
        cause = _cause(request)
        if cause is not None:
            ledger.losses[second, cause] += 1
    return ledger


def _is_callers_fault(ended: EventRecord) -> bool:
    return ended.event == "request_refused" and 400 <= _number(ended, "status") < 429


def _cause(request: _Request) -> LossCause | None:
    """Return why a request was not served in time; ``None`` for one that was."""
    ended = request.ended
    if ended is None:
        return LossCause.NO_END
    if ended.event == "request_failed":
        return LossCause.BROKEN_OFF
    if ended.event == "request_refused":
        return _refusal_cause(str(ended.fields.get("reason", "")))
    return _late_cause(request, ended)


def _refusal_cause(reason: str) -> LossCause:
    if "waited" in reason:
        return LossCause.REFUSED_AFTER_WAIT
    if "full" in reason:
        return LossCause.REFUSED_FULL
    if "configuration" in reason:
        return LossCause.NO_CONFIGURATION
    return LossCause.REFUSED_OTHERWISE


def _late_cause(request: _Request, ended: EventRecord) -> LossCause | None:
    objective_ms = _number(ended, "objective_ms")
    pause_bound_ms = _number(ended, "pause_bound_ms")
    first_ms = _number(ended, "first_ms")
    pause_ms = _number(ended, "longest_pause_ms")
    if objective_ms and first_ms > objective_ms:
        last = request.dispatched[-1] if request.dispatched else None
        waited_ms = _number(last, "waited_ms") if last is not None else 0.0
        if _number(ended, "attempts") > 1:
            return LossCause.ATTEMPT_LOST
        # The wait is the cause where the rest alone would have been in time.
        if first_ms - waited_ms <= objective_ms:
            return LossCause.WAITED_FOR_SLOT
        return LossCause.BEGAN_LATE
    if pause_ms >= STOOD_STILL_MS:
        return LossCause.STOOD_STILL
    if pause_bound_ms and pause_ms > pause_bound_ms - PASS_MARGIN_MS:
        return LossCause.PASSES_TOO_LONG
    return None


def _number(record: EventRecord, name: str) -> float:
    value = record.fields.get(name, 0)
    return float(value) if isinstance(value, int | float) else 0.0
