"""Records of numbered events, in the logs of processes and in the merged timeline."""

from __future__ import annotations

import json
from dataclasses import dataclass
from functools import cache
from typing import TYPE_CHECKING

from bergamotchute_model.hybrid_clock import HybridTimestamp

if TYPE_CHECKING:
    from pydantic import TypeAdapter

FieldValue = str | int | float | bool

_JSON_LINE = json.JSONEncoder(separators=(",", ":"))


@dataclass(frozen=True)
class EventRecord:
    """A numbered event with its position in the order of events.

    :param stamp: the text form of a :class:`HybridTimestamp`.
    :param sequence: index of the event within one incarnation of a process, from 1.
    :param number: the number of an :class:`~bergamotchute_model.events.EventKind`.
    :param event: the short name of the kind.
    :param incarnation: identifies the run of the process.
    :param request_id: the request that the event concerns; empty if none.
    :param endpoint: the endpoint that the event concerns; empty if none.
    :param group: the rank group that the event concerns; empty if none.
    :param revision: the revision of the control state that the event concerns; -1 if none.
    :param fields: further values by name; must not contain secrets.
    """

    stamp: str
    sequence: int
    number: int
    event: str
    level: str
    process: str
    role: str
    incarnation: str
    request_id: str
    endpoint: str
    group: str
    revision: int
    fields: dict[str, FieldValue]

    @property
    def order(self) -> tuple[HybridTimestamp, str, str, int]:
        """Sort key of the merged timeline; independent of the VM that merges it."""
        stamp = HybridTimestamp.parse(self.stamp)
        return (stamp, self.process, self.incarnation, self.sequence)

    def to_json(self) -> str:
        """Return the event as a single line of JSON, without a newline."""
        return _JSON_LINE.encode(vars(self))


@cache
def _event_record_adapter() -> TypeAdapter[EventRecord]:
    """Return the validator; it is built at first use, as only readers of logs need it."""
    from pydantic import TypeAdapter

    return TypeAdapter(EventRecord)


def parse_event(line: str | bytes) -> EventRecord | None:
    """Parse a log line; return ``None`` if it is not a numbered event, such as a truncated line."""
    try:
        record = _event_record_adapter().validate_json(line)
        HybridTimestamp.parse(record.stamp)
    except ValueError:
        return None
    return record
