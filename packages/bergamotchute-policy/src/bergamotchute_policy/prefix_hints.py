"""Estimates which endpoints have cached a prompt prefix, from late and incomplete events."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

CONFIDENCE_HALF_LIFE_S = 60.0
GAP_TRUST_FACTOR = 0.5
MIN_CONFIDENCE = 0.2
MAX_PREFIX_COUNT = 8_192


@dataclass(frozen=True)
class PrefixCacheEvent:
    """Reports that an engine stored or dropped a prefix.

    :param sequence: number of the event within its incarnation; a skipped number is a lost event.
    :param prefix: hash of the prompt prefix.
    """

    endpoint: str
    incarnation: str
    sequence: int
    prefix: int
    is_stored: bool


@dataclass(slots=True)
class _EventSource:
    """The state of the event stream of one endpoint.

    :param sequence: sequence number of the newest event; -1 before the first.
    :param trust: from 0 to 1, reduced with each gap in the event stream.
    """

    incarnation: str
    sequence: int = -1
    trust: float = 1.0


@dataclass(slots=True)
class _PrefixHint:
    """A prefix cached at an endpoint.

    :param at: when the hint was recorded, in seconds on the runtime's clock.
    :param trust: trust of the event source at that time.
    """

    incarnation: str
    at: float
    trust: float


class PrefixHints:
    """Estimates the confidence that an endpoint has cached a prefix.

    Confidence decays with time, since engines evict unused prefixes, and halves with each gap in
    the events, since the lost events may have been evictions. A new incarnation starts with an
    empty cache. A dispatch counts as a hint too, as the engine caches the prefix when it reads the
    prompt.
    """

    def __init__(self) -> None:
        self.sources_by_endpoint: dict[str, _EventSource] = {}
        self.hints_by_prefix: OrderedDict[int, dict[str, _PrefixHint]] = OrderedDict()

    def on_cache_event(self, event: PrefixCacheEvent, now: float) -> None:
        """Apply an event unless a later one has arrived before."""
        source = self._event_source(event.endpoint, event.incarnation)
        if event.sequence <= source.sequence:
            return
        if event.sequence > source.sequence + 1 and source.sequence >= 0:
            source.trust *= GAP_TRUST_FACTOR
        source.sequence = event.sequence
        if event.is_stored:
            self._add_hint(event.prefix, event.endpoint, source, now)
        else:
            self.hints_by_prefix.get(event.prefix, {}).pop(event.endpoint, None)

    def on_dispatch(self, prefix: int, endpoint: str, incarnation: str, now: float) -> None:
        """Record the prefix of a prompt that is dispatched to an endpoint."""
        self._add_hint(prefix, endpoint, self._event_source(endpoint, incarnation), now)

    def on_endpoint_lapsed(self, endpoint: str) -> None:
        """Remove an endpoint whose announcement lapsed."""
        self.sources_by_endpoint.pop(endpoint, None)

    def confidence(self, prefix: int, endpoint: str, now: float) -> float:
        """Return the confidence, from 0 to 1, that the endpoint has cached the prefix.

        Confidence below ``MIN_CONFIDENCE`` counts as 0.
        """
        hint = self.hints_by_prefix.get(prefix, {}).get(endpoint)
        source = self.sources_by_endpoint.get(endpoint)
        if hint is None or source is None or hint.incarnation != source.incarnation:
            return 0.0
        decay = 0.5 ** (max(0.0, now - hint.at) / CONFIDENCE_HALF_LIFE_S)
        confidence = decay * min(1.0, source.trust / hint.trust)
        return confidence if confidence >= MIN_CONFIDENCE else 0.0

    def _event_source(self, endpoint: str, incarnation: str) -> _EventSource:
        """Return the event source of an endpoint; a new one for a new incarnation."""
        source = self.sources_by_endpoint.get(endpoint)
        if source is None or source.incarnation != incarnation:
            source = self.sources_by_endpoint[endpoint] = _EventSource(incarnation)
        return source

    def _add_hint(self, prefix: int, endpoint: str, source: _EventSource, now: float) -> None:
        """Record that an endpoint has cached a prefix; drop the oldest prefix if there are too many."""
        hints_by_endpoint = self.hints_by_prefix.setdefault(prefix, {})
        hints_by_endpoint[endpoint] = _PrefixHint(source.incarnation, now, source.trust)
        self.hints_by_prefix.move_to_end(prefix)
        if len(self.hints_by_prefix) > MAX_PREFIX_COUNT:
            self.hints_by_prefix.popitem(last=False)
