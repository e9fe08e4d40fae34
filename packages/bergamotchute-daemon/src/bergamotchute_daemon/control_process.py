"""A control VM: a voter, the endpoints whose heartbeats it receives, and the links of followers."""

from __future__ import annotations

from dataclasses import dataclass

import anyio

from bergamotchute_daemon.control_log import ControlLog, ControlUnavailable
from bergamotchute_daemon.evacuations.evacuation_orders import EvacuationOrders
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.event_loop_monitor import EventLoopMonitor
from bergamotchute_daemon.heartbeat_updates import apply_heartbeat
from bergamotchute_daemon.node_hub import COMMIT_TIMEOUT_S, NodeHub
from bergamotchute_daemon.voter import Voter
from bergamotchute_model import events
from bergamotchute_model.commands import ConfigurationPut, PutConfiguration
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import ControlGroup
from bergamotchute_policy.endpoint_table import EndpointTable
from bergamotchute_state.configuration_store import ConfigurationStore

STATE_CHECK_INTERVAL_S = 0.2
"""How often silent endpoints and changes of the control group are checked for."""

UPDATE_INTERVAL_S = 0.1
"""How often changed loads and nodes are sent, in batches; agents read loads every 0.2 s."""

LEADERLESS_TIMEOUT_S = 2.5
"""Time without a leader after which followers choose other control VMs; some elections long."""

DRAIN_DURATION_S = 1.0
"""How long a stopping control VM keeps answering while another one takes over leadership."""

DISK_GRACE_S = 0.5
"""How long the disk may fail before operators' calls are refused at once; a shorter failure ends
within the time that a call may wait."""


@dataclass
class ControlProcess:
    """Serves operators and endpoints, and the nodes that follow this control VM.

    :param address: the address at which this control VM accepts links.
    """

    address: Address
    voter: Voter
    control: ControlLog
    endpoint_table: EndpointTable
    node_hub: NodeHub
    evacuations: EvacuationOrders
    log: EventLog
    leader_last_known_at: float = float("-inf")
    was_current: bool = False

    def __post_init__(self) -> None:
        self.loop_monitor = EventLoopMonitor(self.log)

    async def run(self) -> None:
        """Run the control VM until cancelled."""
        self.voter.step_listeners.append(self.node_hub.on_log_applied)
        self.voter.folder_opened_listeners.append(self.node_hub.on_folder_opened)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.voter.run)
            tasks.start_soon(self._check_state)
            tasks.start_soon(self.node_hub.peers.run)
            tasks.start_soon(self.node_hub.confirm_followers)
            tasks.start_soon(self._send_updates)

    async def _send_updates(self) -> None:
        while True:
            await anyio.sleep(UPDATE_INTERVAL_S)
            self.node_hub.send_changed_loads()
            self.node_hub.send_node_changes()

    async def drain(self) -> None:
        """Give up leadership, and keep answering requests in flight meanwhile."""
        self.voter.resign()
        await anyio.sleep(DRAIN_DURATION_S)

    async def _check_state(self) -> None:
        while True:
            await self.loop_monitor.sleep(STATE_CHECK_INTERVAL_S)
            self.node_hub.prompt_evidence.update()
            silent = self.endpoint_table.mark_silent_endpoints(anyio.current_time())
            for heartbeat in silent:
                self.log.emit(
                    events.ENDPOINT_SILENT, endpoint=heartbeat.endpoint, born_ms=heartbeat.born_ms
                )
            self.node_hub.send_heartbeats(tuple(silent))
            term = self.leading_term()
            self.node_hub.assign_commanders(term)
            is_current = self.is_current()
            self._log_group_contact(is_current)
            self.node_hub.send_control_group(
                ControlGroup(
                    self.control_addresses(),
                    term,
                    is_current,
                    self.node_hub.linked_nodes.entry_count(),
                    accepts_prompt_evidence=True,
                    accepts_rate_limits=True,
                )
            )

    def _log_group_contact(self, is_current: bool) -> None:
        if is_current == self.was_current:
            return
        self.was_current = is_current
        self.log.emit(
            events.CONTROL_GROUP_REACHED if is_current else events.CONTROL_GROUP_LOST,
            leader=self.voter.leader_address,
            followers=len(self.node_hub.followers),
        )

    def is_current(self) -> bool:
        """Return whether this control VM has known a leader recently."""
        replica = self.voter.replica
        now = anyio.current_time()
        if replica is not None and replica.state.leader is not None:
            self.leader_last_known_at = now
        return now - self.leader_last_known_at < LEADERLESS_TIMEOUT_S

    def leading_term(self) -> int:
        """Return the term in which this control VM leads with a current state, or 0."""
        replica = self.voter.replica
        if replica is None or not replica.state.is_leader:
            return 0
        state = replica.state
        return state.term if state.commit_index >= state.term_start_index else 0

    def control_addresses(self) -> tuple[Address, ...]:
        """Return the link addresses of the control group's members, as known to this control VM."""
        replica = self.voter.replica
        members = replica.state.membership.members if replica is not None else ()
        return tuple(sorted({member.address for member in members}))

    def gauges(self) -> dict[str, float]:
        """Return the gauges of this control VM by name."""
        replica = self.voter.replica
        state = replica.state if replica is not None else None
        return {
            "leading_term": float(self.leading_term()),
            "term": float(state.term if state else 0),
            "commit_index": float(state.commit_index if state else 0),
            "voters": float(len(state.membership.voters) if state else 0),
            "followers": float(len(self.node_hub.followers)),
            "peers": float(len(self.node_hub.peers.outboxes)),
            "open_entries": float(len(self.node_hub.linked_nodes.open_entries())),
            "endpoints": float(len(self.endpoint_table.endpoints)),
            "folder_refused": float(self.voter.has_refused_folder),
            "snapshots_left_out": float(self.voter.snapshots_left_out),
            "disk_failed_s": self.voter.disk_recovery.outage_s,
            "is_current": float(self.was_current),
            "longest_loop_delay_s": self.loop_monitor.longest_delay_s,
            "configuration_version": float(self.voter.state.state.configuration.version),
            **self.node_hub.prompt_evidence.gauges(),
            **self.node_hub.rate_limits.gauges(),
            **self.node_hub.permits.gauges(),
            **self.evacuations.gauges(),
        }

    async def put_configuration(self, version: int, text: bytes) -> bool:
        """Commit a valid configuration; return whether that succeeded.

        A version that is not higher than the one in force is committed without effect.
        """
        began = anyio.current_time()
        command = PutConfiguration(version, text)
        try:
            if self.voter.state.state.known_result(command) is None:
                self.check_disk()
            committed = await self.control.commit(command, COMMIT_TIMEOUT_S)
        except ControlUnavailable as error:
            self.log.emit(
                events.CONFIGURATION_UNCONFIRMED,
                version=version,
                bytes=len(text),
                attempts=error.attempts,
                leader=error.leader,
                detail=str(error),
            )
            return False
        result = committed.result
        self.log.emit(
            events.CONFIGURATION_PUT,
            version=version,
            changed=isinstance(result, ConfigurationPut) and result.changed,
            bytes=len(text),
            attempts=committed.attempts,
            index=committed.index,
            leader=self.voter.leader_address,
            took_ms=round(1000 * (anyio.current_time() - began)),
        )
        return True

    async def read_configuration(self) -> ConfigurationStore | None:
        """Return the newest configuration, or ``None`` when no quorum confirms it in time."""
        began = anyio.current_time()
        try:
            self.check_disk()
            attempts = await self.control.confirm(COMMIT_TIMEOUT_S)
        except ControlUnavailable as error:
            self.log.emit(
                events.CONFIGURATION_READ_UNCONFIRMED,
                attempts=error.attempts,
                leader=error.leader,
                detail=str(error),
            )
            return None
        held = self.voter.state.state.configuration
        self.log.emit(
            events.CONFIGURATION_READ,
            version=held.version,
            attempts=attempts,
            index=self.voter.state.applied_index,
            leader=self.voter.leader_address,
            took_ms=round(1000 * (anyio.current_time() - began)),
        )
        return held

    def check_disk(self) -> None:
        """Refuse an operator's call while the disk keeps failing, as another VM can serve it.

        :raises ControlUnavailable: when the disk has failed for longer than a moment.
        """
        outage_s = self.voter.disk_recovery.outage_s
        if outage_s >= DISK_GRACE_S:
            raise ControlUnavailable(f"the disk has failed for {outage_s:.1f} s", 0, "")

    async def on_heartbeat(self, heartbeat: EndpointHeartbeat) -> bool:
        """Process an endpoint's heartbeat; return whether it may be acknowledged.

        A leaving endpoint is acknowledged only once its departure is committed to the log.
        """
        leaving = heartbeat.phase is EndpointPhase.LEAVING
        if leaving and not await self.record_endpoint_departure(
            heartbeat.endpoint, heartbeat.born_ms
        ):
            return False
        if apply_heartbeat(self.endpoint_table, heartbeat, self.log):
            self.node_hub.send_heartbeats((heartbeat,))
        return True

    async def record_endpoint_departure(self, endpoint: str, born_ms: int) -> bool:
        """Record that an incarnation takes no new work; return whether this was committed."""
        return await self.node_hub.record_departure(endpoint, born_ms)
