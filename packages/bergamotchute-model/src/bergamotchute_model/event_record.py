"""One numbered event as it stands in a process's log and in the merged time line."""

from __future__ import annotations

import json
from dataclasses import dataclass
from functools import cache
from typing import TYPE_CHECKING

from bergamotchute_model.hybrid_clock import HybridStamp

if TYPE_CHECKING:
    from pydantic import TypeAdapter

FieldValue = str | int | float | bool


@dataclass(frozen=True)
class EventRecord:
    """A numbered event with its place in the order of events.

    :param stamp: the text form of a :class:`HybridStamp`.
    :param sequence: counts the events of one life of one process, from 1.
    :param number: the number of an :class:`~bergamotchute_model.events.EventKind`.
    :param event: the short name of the kind.
    :param incarnation: the life of the process.
    :param request_id: the request it is about; empty for none.
    :param endpoint: the endpoint it is about; empty for none.
    :param group: the rank group it is about; empty for none.
    :param revision: the revision of the control state it is about; -1 for none.
    :param fields: further values by name; never a secret.
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
    def order(self) -> tuple[HybridStamp, str, str, int]:
        """Sort key of the merged time line; the same on every machine."""
        stamp = HybridStamp.parse(self.stamp)
        return (stamp, self.process, self.incarnation, self.sequence)

    def to_json(self) -> str:
        """Return the event as one line of JSON, without a line end."""
        return json.dumps(vars(self), separators=(",", ":"))


@cache
def _event_record_adapter() -> TypeAdapter[EventRecord]:
    """Return the schema, built at first use: only readers of logs need it."""
    from pydantic import TypeAdapter

    return TypeAdapter(EventRecord)


def parse_event(line: str | bytes) -> EventRecord | None:
    """Read one log line; ``None`` for a line that is no numbered event, such as a torn one."""
    try:
        record = _event_record_adapter().validate_json(line)
        HybridStamp.parse(record.stamp)
    except ValueError:
        return None
    return record
