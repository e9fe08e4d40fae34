"""Applies heartbeats of endpoints to an endpoint table and logs changes."""

from __future__ import annotations

import anyio

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import HeartbeatsReceived
from bergamotchute_policy.endpoint_table import EndpointTable


def apply_heartbeat(
    table: EndpointTable,
    heartbeat: EndpointHeartbeat,
    log: EventLog,
    monitored_by: Address | None = None,
) -> bool:
    """Apply a heartbeat; return whether it changed the table, so that peers must be notified.

    :param monitored_by: control VM that forwarded the heartbeat; ``None`` if received directly.
    """
    is_change = table.on_heartbeat(heartbeat, anyio.current_time(), monitored_by)
    if is_change:
        log.emit(
            events.ENDPOINT_STATE_CHANGED,
            endpoint=heartbeat.endpoint,
            phase=heartbeat.phase,
            born_ms=heartbeat.born_ms,
            heartbeat=heartbeat.sequence,
            cold_left_ms=round(1000 * heartbeat.cold_left_s),
        )
    return is_change


def all_heartbeats(table: EndpointTable) -> HeartbeatsReceived:
    """Return the message that tells an entry of all endpoints."""
    return HeartbeatsReceived(table.all_heartbeats(anyio.current_time()))


def local_heartbeats(table: EndpointTable) -> HeartbeatsReceived:
    """Return the message that tells another control VM of the endpoints monitored here."""
    return HeartbeatsReceived(table.local_heartbeats(anyio.current_time()))
