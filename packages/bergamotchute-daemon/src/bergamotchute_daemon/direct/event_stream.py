"""A stream of server-sent events that may be continued by another endpoint."""

from __future__ import annotations

from bergamotchute_daemon._event_splitter import EVENT_END, EventSplitter

MAX_BYTES_WITHOUT_EVENT = 32_768
"""Bytes without a numbered event after which a stream fails; an event has some hundred bytes."""

MAX_CHUNKS_WITHOUT_EVENT = 2_048
"""Chunks without a numbered event after which a stream fails; an engine sends an event whole."""


class InvalidEventStream(Exception):
    """An endpoint's stream does not continue the events that the caller already has."""


class EventStream:
    """Splits a stream into complete events and remembers the last event id.

    Another endpoint can resume the stream after that event.

    :param resume_after: the id of the last event that the caller had before this response.
    """

    def __init__(self, resume_after: str) -> None:
        self.last_event_id = resume_after
        self.splitter = EventSplitter()
        self.events = 0
        self.bytes_without_event = 0
        self.chunks_without_event = 0

    def discard_partial_event(self) -> None:
        """Discard the incomplete event of an earlier endpoint, before another one continues."""
        self.splitter = EventSplitter()
        self.bytes_without_event = 0
        self.chunks_without_event = 0

    def feed(self, data: bytes) -> bytes:
        """Add data from an endpoint and return the complete events to forward.

        :raises InvalidEventStream: if an event id is not higher than the last one, or there is too
            much data without a numbered event.
        """
        self.bytes_without_event += len(data)
        self.chunks_without_event += 1
        whole, count = self.splitter.feed(data)
        for event in whole.split(EVENT_END)[:-1]:
            self._record_event(event)
        self.events += count
        if (
            self.bytes_without_event > MAX_BYTES_WITHOUT_EVENT
            or self.chunks_without_event > MAX_CHUNKS_WITHOUT_EVENT
        ):
            raise InvalidEventStream("too many bytes or chunks without a numbered event")
        return whole

    @property
    def has_partial_event(self) -> bool:
        """Whether part of an event was received without its end."""
        return bool(self.splitter.buffer)

    def _record_event(self, event: bytes) -> None:
        for line in event.split(b"\n"):
            name, separator, value = line.partition(b":")
            if separator and name == b"id":
                self._record_event_id(value.strip().decode("latin-1"))
                return

    def _record_event_id(self, event_id: str) -> None:
        if (
            event_id.isdecimal()
            and self.last_event_id.isdecimal()
            and self._is_out_of_order(event_id)
        ):
            raise InvalidEventStream(
                f"event id {event_id} is not higher than the last one, {self.last_event_id}"
            )
        self.last_event_id = event_id
        self.bytes_without_event = 0
        self.chunks_without_event = 0

    def _is_out_of_order(self, event_id: str) -> bool:
        return _number_order(event_id) <= _number_order(self.last_event_id)


def _number_order(digits: str) -> tuple[int, str]:
    """Return the sort key of a number of any length, which conversion to an integer limits."""
    significant = digits.lstrip("0")
    return len(significant), significant
