"""A stream of events on its way to a caller, possibly from more than one endpoint."""

from __future__ import annotations

from bergamotchute_daemon._event_splitter import EVENT_END, EventSplitter

BYTES_WITHOUT_EVENT_MAX = 32_768
"""Bytes without a numbered event after which a stream has failed; an event has some hundred bytes."""

PARTS_WITHOUT_EVENT_MAX = 2_048
"""Parts without a numbered event after which a stream has failed; an engine sends an event whole."""


class StreamMismatch(Exception):
    """An endpoint's stream does not continue what the caller already has."""


class EventStream:
    """Passes on whole events and remembers the last one, so that a stream can go on elsewhere.

    :param resume_after: the last event that the caller had before this answer.
    """

    def __init__(self, resume_after: str) -> None:
        self.last_id = resume_after
        self.splitter = EventSplitter()
        self.events = 0
        self.bytes_without_event = 0
        self.parts_without_event = 0

    def begin_attempt(self) -> None:
        """Drop the part of an event that an earlier endpoint left unfinished."""
        self.splitter = EventSplitter()
        self.bytes_without_event = 0
        self.parts_without_event = 0

    def take(self, data: bytes) -> bytes:
        """Take bytes of an endpoint and return the whole events to pass on.

        :raises StreamMismatch: when an event does not have a higher number than the last, or no
            event comes for too long.
        """
        self.bytes_without_event += len(data)
        self.parts_without_event += 1
        whole, count = self.splitter.feed(data)
        for event in whole.split(EVENT_END)[:-1]:
            self._note(event)
        self.events += count
        if (
            self.bytes_without_event > BYTES_WITHOUT_EVENT_MAX
            or self.parts_without_event > PARTS_WITHOUT_EVENT_MAX
        ):
            raise StreamMismatch("too many bytes without an event")
        return whole

    @property
    def unfinished(self) -> bool:
        """Whether part of an event waits for its end."""
        return bool(self.splitter.rest)

    def _note(self, event: bytes) -> None:
        for line in event.split(b"\n"):
            name, separator, value = line.partition(b":")
            if separator and name == b"id":
                self._note_id(value.strip().decode("latin-1"))
                return

    def _note_id(self, event_id: str) -> None:
        if event_id.isdecimal() and self.last_id.isdecimal() and self._jumps(event_id):
            raise StreamMismatch(f"event {event_id} follows {self.last_id}")
        self.last_id = event_id
        self.bytes_without_event = 0
        self.parts_without_event = 0

    def _jumps(self, event_id: str) -> bool:
        return int(event_id) <= int(self.last_id)
