"""Takes an endpoint's heartbeat into a table, and logs what it changes there."""

from __future__ import annotations

import anyio

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.identifiers import Address
from bergamotchute_policy.endpoint_table import EndpointTable


def apply_heartbeat(
    table: EndpointTable,
    heartbeat: EndpointHeartbeat,
    log: EventLog,
    heard_by: Address | None = None,
) -> bool:
    """Take a heartbeat; return whether it says something that others should hear.

    :param heard_by: the control VM that passed it on; ``None`` where it came here.
    """
    is_news = table.on_heartbeat(heartbeat, anyio.current_time(), heard_by)
    if is_news:
        log.emit(
            events.ENDPOINT_HEARD,
            endpoint=heartbeat.endpoint,
            phase=heartbeat.phase,
            born_ms=heartbeat.born_ms,
            heartbeat=heartbeat.sequence,
        )
    return is_news
