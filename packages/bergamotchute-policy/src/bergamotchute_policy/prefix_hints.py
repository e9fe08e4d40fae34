"""Where a prompt's beginning is probably cached, from events that come late and with gaps."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

HALF_LIFE_S = 60.0
GAP_FACTOR = 0.5
MIN_CONFIDENCE = 0.2
MAX_PREFIXES = 8_192


@dataclass(frozen=True)
class CacheEvent:
    """An engine stored or dropped a prefix.

    :param sequence: counts the events of one incarnation; a jump is a gap.
    :param prefix: the hash of the prompt's beginning.
    """

    endpoint: str
    incarnation: str
    sequence: int
    prefix: int
    stored: bool


@dataclass(slots=True)
class _Source:
    """The events of one endpoint so far.

    :param trust: from 0 to 1, how far hints from before a gap still hold.
    """

    incarnation: str
    sequence: int = -1
    trust: float = 1.0


@dataclass(slots=True)
class _Hint:
    """A prefix at an endpoint, with its source's trust when it was heard of."""

    incarnation: str
    at: float
    trust: float


class PrefixHints:
    """Says with what confidence an endpoint holds a prefix.

    Confidence fades with time, since engines drop what they don't use, and by half with each gap,
    since the lost events may have been drops. A new incarnation starts without a cache. A dispatch
    counts as a hint of its own: the engine has the prefix once it read the prompt.
    """

    def __init__(self) -> None:
        self.sources: dict[str, _Source] = {}
        self.hints: OrderedDict[int, dict[str, _Hint]] = OrderedDict()

    def on_event(self, event: CacheEvent, now: float) -> None:
        """Take an event; one that is out of order is ignored."""
        source = self._source(event.endpoint, event.incarnation)
        if event.sequence <= source.sequence:
            return
        if event.sequence > source.sequence + 1 and source.sequence >= 0:
            source.trust *= GAP_FACTOR
        source.sequence = event.sequence
        if event.stored:
            self._store(event.prefix, event.endpoint, source, now)
        else:
            self.hints.get(event.prefix, {}).pop(event.endpoint, None)

    def on_dispatch(self, prefix: int, endpoint: str, incarnation: str, now: float) -> None:
        """Count a prompt that is sent to an endpoint."""
        self._store(prefix, endpoint, self._source(endpoint, incarnation), now)

    def on_lapse(self, endpoint: str) -> None:
        """Forget an endpoint."""
        self.sources.pop(endpoint, None)

    def confidence(self, prefix: int, endpoint: str, now: float) -> float:
        """Return from 0 to 1 how sure it is that the endpoint holds the prefix."""
        hint = self.hints.get(prefix, {}).get(endpoint)
        source = self.sources.get(endpoint)
        if hint is None or source is None or hint.incarnation != source.incarnation:
            return 0.0
        faded = 0.5 ** (max(0.0, now - hint.at) / HALF_LIFE_S)
        confidence = faded * min(1.0, source.trust / hint.trust)
        return confidence if confidence >= MIN_CONFIDENCE else 0.0

    def _source(self, endpoint: str, incarnation: str) -> _Source:
        """Return the source for this life of an endpoint."""
        source = self.sources.get(endpoint)
        if source is None or source.incarnation != incarnation:
            source = self.sources[endpoint] = _Source(incarnation)
        return source

    def _store(self, prefix: int, endpoint: str, source: _Source, now: float) -> None:
        """Note that an endpoint holds a prefix."""
        hints = self.hints.setdefault(prefix, {})
        hints[endpoint] = _Hint(source.incarnation, now, source.trust)
        self.hints.move_to_end(prefix)
        if len(self.hints) > MAX_PREFIXES:
            self.hints.popitem(last=False)
