"""A control voter: one replica of the log with its disk, peer links and relay connections."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import anyio
import anyio.to_thread

from bergamotchute_consensus.actions import (
    Action,
    ApplyEntry,
    ConfirmRead,
    Persist,
    RejectProposal,
    RejectRead,
    ReportLeadership,
    RestoreSnapshot,
    SendMessage,
)
from bergamotchute_consensus.disk import Disk
from bergamotchute_consensus.events import (
    Event,
    FoundingRequested,
    MembershipChangeRequested,
    MessageReceived,
    Persisted,
    Proposal,
    ProposalsRequested,
    ReadsRequested,
    ResignationRequested,
    SnapshotTaken,
    Tick,
)
from bergamotchute_consensus.founding import founding_voters
from bergamotchute_consensus.log_entry import EntryContent
from bergamotchute_consensus.membership import Member, RemoveMember, decode_membership
from bergamotchute_consensus.messages import (
    ConsensusMessage,
    ForwardedAnswer,
    ForwardedRequest,
    Introduction,
    RequestPurpose,
)
from bergamotchute_consensus.replica import Replica
from bergamotchute_consensus.replica_settings import ReplicaSettings
from bergamotchute_consensus.storage import Storage
from bergamotchute_consensus.storage_errors import CorruptStorageError, DiskError
from bergamotchute_daemon._disk_recovery import DiskRecovery
from bergamotchute_daemon._disk_writer import DiskWriter, RunBlocking
from bergamotchute_daemon._membership_planner import MembershipPlanner
from bergamotchute_daemon._message_packer import MessagePacker
from bergamotchute_daemon._pending_requests import OnFailure, OnSuccess, PendingRequests
from bergamotchute_daemon._proposed_commands import ProposedCommands
from bergamotchute_daemon._voter_peer_links import VoterPeerLinks
from bergamotchute_daemon._voter_state import RESULT_CODEC, VoterState
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_model.identifiers import Address
from bergamotchute_model.status_messages import ControlStatus
from bergamotchute_wire.link import Dial, Link, LinkClosed
from bergamotchute_wire.message_codec import MalformedMessageError, MessageCodec

if TYPE_CHECKING:
    from bergamotchute_model.control_messages import ControlMessage

CONSENSUS_CODEC: MessageCodec[ConsensusMessage] = MessageCodec(ConsensusMessage)
STATUS_CODEC: MessageCodec[ControlStatus] = MessageCodec(ControlStatus)

VIEW_LEASE_S = 6.0
"""How long a relay may use a view after a quorum has confirmed it."""

INTRODUCTION_INTERVAL_S = 0.5
MEMBERSHIP_CHECK_INTERVAL_S = 0.5
INTRODUCTION_LIFETIME_S = 3.0
LEADERLESS_TIMEOUT_S = 4.0
"""Time without a leader after which a member introduces itself again; several elections fit in."""


@dataclass(frozen=True)
class VoterSettings:
    """Settings of a voter.

    :param address: the address on which it accepts links.
    :param voters: addresses of the initial voters, including this one.
    :param bootstrap: whether to form a new control group with these voters.
    :param min_voters: the size down to which unreachable voters are removed where no file
        names the voters, so that replicas join and leave automatically; 0 to follow the files.
    """

    address: Address
    voters: tuple[Address, ...]
    bootstrap: bool
    min_voters: int = 0


async def run_in_thread(function: Callable[[], None]) -> None:
    """Run a blocking function in a thread; wait for its end even when cancelled."""
    with anyio.CancelScope(shield=True):
        await anyio.to_thread.run_sync(function)


class Voter:
    """One replica of the control log, with its links to other voters and to relays.

    :param disk: the data folder of the replica.
    :param dial: opens links to other voters.
    :param run_blocking: runs disk writes without blocking the event loop.
    """

    def __init__(
        self,
        settings: VoterSettings,
        disk: Disk,
        dial: Dial[ConsensusMessage],
        *,
        log: EventLog,
        random: Random,
        run_blocking: RunBlocking = run_in_thread,
        replica_settings: ReplicaSettings | None = None,
    ) -> None:
        self.settings = settings
        self.disk = disk
        self.dial = dial
        self.log = log
        self.random = random
        self.run_blocking = run_blocking
        self.replica_settings = replica_settings or ReplicaSettings()
        self.state = VoterState()
        self.requests = PendingRequests(log.incarnation)
        self.proposed_commands = ProposedCommands()
        self.packer = MessagePacker()
        self.membership_planner = self._new_membership_planner()
        self.replica: Replica | None = None
        self.disk_writer: DiskWriter | None = None
        self.peers: VoterPeerLinks | None = None
        self.pending_events: deque[Event] = deque()
        self.pending_proposals: list[Proposal] = []
        self.pending_reads: list[str] = []
        self.held: deque[SendMessage] = deque()
        self.wake_event = anyio.Event()
        self.received_introductions: dict[Address, tuple[float, Introduction]] = {}
        self.step_listeners: list[Callable[[], None]] = []
        self.folder_opened_listeners: list[Callable[[], None]] = []
        self.leader_last_known_at = float("-inf")
        self.has_refused_folder = False
        self.disk_recovery = DiskRecovery(disk, log, random, self._run_blocking)

    @property
    def leader_address(self) -> str:
        """The address of the leader as known here; empty if none is known."""
        leader = self.replica.state.leader if self.replica is not None else None
        return str(leader.address) if leader is not None else ""

    @property
    def snapshots_left_out(self) -> int:
        """How many snapshots had no room on the disk since the folder was opened."""
        return self.disk_writer.storage.skipped_snapshot_count if self.disk_writer else 0

    def set_seeds(self, voters: tuple[Address, ...]) -> None:
        """Replace the addresses to which this replica introduces itself."""
        self.settings = replace(self.settings, voters=voters)

    def resign(self) -> None:
        """Give up leadership, if this voter leads."""
        self._post_event(ResignationRequested())

    async def run(self) -> None:
        """Run the replica until cancelled; after a disk failure, reopen the data folder."""
        async with anyio.create_task_group() as tasks:
            self.peers = VoterPeerLinks(self.dial, self.random, tasks)
            while True:
                await self._run_replica()
                await self.disk_recovery.wait_for_disk()

    async def _run_replica(self) -> None:
        """Open the data folder and run the replica until the disk fails."""
        storages: list[Storage] = []
        try:
            await self.run_blocking(lambda: storages.append(Storage(self.disk, self._new_identity)))
        except CorruptStorageError as error:
            self.has_refused_folder = True
            self.log.emit(events.VOTER_FOLDER_DAMAGED, detail=str(error))
            await anyio.sleep_forever()
        except DiskError as error:
            self.disk_recovery.on_failed(str(error))
            return
        self.disk_recovery.on_opened()
        self._start_replica(storages[0])
        try:
            await self._run_tasks()
        finally:
            self._stop_replica()

    async def _run_blocking(self, function: Callable[[], None]) -> None:
        """Run a blocking function as :attr:`run_blocking` says when it is called."""
        await self.run_blocking(function)

    def _new_identity(self) -> str:
        return f"{self.random.getrandbits(128):032x}"

    def _start_replica(self, storage: Storage) -> None:
        recovered = storage.recovered
        me = Member(storage.identity, self.settings.address)
        self.replica = Replica(
            me, self.replica_settings, self.random, recovered, anyio.current_time()
        )
        self.state.reset(recovered.snapshot)
        for listener in self.folder_opened_listeners:
            listener()
        self.membership_planner = self._new_membership_planner()
        self.disk_writer = DiskWriter(storage, self._post_event, self.run_blocking)

    def _new_membership_planner(self) -> MembershipPlanner:
        return MembershipPlanner(min_voters=self.settings.min_voters)

    async def _run_tasks(self) -> None:
        assert self.disk_writer is not None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.disk_writer.run)
            tasks.start_soon(self._introduce_replica)
            tasks.start_soon(self._plan_membership)
            await self._step_until_failed()
            tasks.cancel_scope.cancel()

    def _stop_replica(self) -> None:
        self.replica = None
        self.disk_writer = None
        self.pending_events.clear()
        self.pending_proposals.clear()
        self.pending_reads.clear()
        self.held.clear()
        self.proposed_commands.clear()
        self.requests.fail_all()

    def _post_event(self, event: Event) -> None:
        """Queue an event for the replica."""
        if self.replica is not None:
            self.pending_events.append(event)
            self.wake_event.set()

    async def _step_until_failed(self) -> None:
        """Step the replica until its disk fails; events that arrived together form one batch."""
        assert self.replica is not None
        while not self.replica.failed:
            remaining_s = self.replica.next_tick_at - anyio.current_time()
            with anyio.move_on_after(max(0.0, remaining_s)):
                await self.wake_event.wait()
            self.wake_event = anyio.Event()
            self._step_pending_events(self.replica)
        assert self.disk_writer is not None
        self.disk_recovery.on_failed(self.disk_writer.failure)

    def _step_pending_events(self, replica: Replica) -> None:
        batch = list(self.pending_events)
        self.pending_events.clear()
        if self.pending_proposals:
            batch.append(ProposalsRequested(tuple(self.pending_proposals)))
            self.pending_proposals.clear()
        if self.pending_reads:
            batch.append(ReadsRequested(tuple(self.pending_reads)))
            self.pending_reads.clear()
        if anyio.current_time() >= replica.next_tick_at:
            batch.append(Tick())
        for event in batch:
            self._perform_actions(replica, replica.step(event, anyio.current_time()))
            if isinstance(event, Persisted):
                self._send_held(event.sequence)
        self.state.send_changes()
        for listener in self.step_listeners:
            listener()
        self._take_due_snapshot(replica)

    def _take_due_snapshot(self, replica: Replica) -> None:
        if self.state.is_snapshot_due:
            index = self.state.applied_index
            event = SnapshotTaken(index, self.state.take_snapshot())
            self._perform_actions(replica, replica.step(event, anyio.current_time()))

    def _send_held(self, sequence: int) -> None:
        """Send the messages that were held until this write was durable."""
        while self.held and self.held[0].after <= sequence:
            self._send(self.held.popleft())

    def _perform_actions(self, replica: Replica, actions: list[Action]) -> None:
        for action in actions:
            self._perform_action(replica, action)

    def _perform_action(self, replica: Replica, action: Action) -> None:
        match action:
            case Persist():
                assert self.disk_writer is not None
                self.disk_writer.put(action)
            case SendMessage(after=0):
                self._send(action)
            case SendMessage():
                self.held.append(action)
            case ApplyEntry():
                self._apply_entry(action)
            case RestoreSnapshot(snapshot):
                self.state.restore(snapshot)
                self.log.emit(events.SNAPSHOT_INSTALLED, revision=snapshot.index)
                self.requests.on_applied(self.state.applied_index)
            case RejectProposal(proposal, committed_maybe, _, leader):
                for token in self.proposed_commands.take_tokens(proposal):
                    self.requests.fail(token, committed_maybe, leader)
            case ConfirmRead(token, index):
                self.requests.allow_read(token, index, self.state.applied_index)
            case RejectRead(token, leader):
                self.requests.fail(token, False, leader)
            case ReportLeadership(term, leading):
                kind = events.LEADER_ELECTED if leading else events.LEADER_STEPPED_DOWN
                self.log.emit(kind, term=term, replica=replica.state.local_member.replica)

    def _send(self, send: SendMessage) -> None:
        assert self.peers is not None
        self.peers.send(send.to.address, self.packer.pack(send.to.replica, send.message))

    def _apply_entry(self, action: ApplyEntry) -> None:
        """Apply an entry; answer its proposer and the reads that waited for it."""
        result = self.state.apply(action.entry)
        if action.entry.content is EntryContent.MEMBERSHIP:
            membership = decode_membership(action.entry.data)
            self.log.emit(
                events.MEMBERSHIP_CHANGED,
                revision=action.entry.index,
                voters=_member_names(membership.voters),
                learners=_member_names(membership.learners),
            )
        if action.token:
            encoded = b"" if result is None else RESULT_CODEC.encode(result)
            for token in self.proposed_commands.take_tokens(action.token):
                self.requests.succeed(token, action.entry.index, encoded)
        if self.requests.waiting_reads:
            self.requests.on_applied(action.entry.index)

    async def serve_peer(self, link: Link[ConsensusMessage]) -> None:
        """Handle the messages of another voter until its link closes."""
        with suppress(LinkClosed):
            while True:
                message = await link.receive()
                try:
                    self.on_peer_message(self.packer.unpack(message))
                except MalformedMessageError as error:
                    self.log.emit(events.LINK_CLOSED, peer=link.peer, detail=str(error))
                    return

    def on_peer_message(self, message: ConsensusMessage) -> None:
        """Handle one message of another voter."""
        match message:
            case Introduction():
                self.on_introduction(message)
            case ForwardedRequest():
                self.on_forwarded_request(message)
            case ForwardedAnswer():
                self.on_forwarded_answer(message)
            case _:
                self._post_event(MessageReceived(message))

    async def serve_relay(self, link: Link[ControlMessage]) -> None:
        """Serve one relay until its link closes."""
        # A late import: control VMs without relays start without the messages of relays.
        from bergamotchute_daemon._voter_relay_link import serve_relay

        await serve_relay(self, link)

    def submit_request(
        self, purpose: RequestPurpose, command: bytes, success: OnSuccess, failure: OnFailure
    ) -> None:
        """Process a request if this voter leads, else forward it to the leader."""
        replica = self.replica
        if replica is None or replica.failed:
            failure(False, None)
            return
        leader = replica.state.leader
        if not replica.state.is_leader and leader is None:
            failure(False, None)
            return
        token = self.requests.add(success, failure, anyio.current_time())
        if replica.state.is_leader:
            self._submit_to_replica(replica, purpose, token, command)
        elif leader is not None and self.peers is not None:
            me = replica.state.local_member
            request = ForwardedRequest(me, leader.replica, token, purpose, command)
            self.peers.send(leader.address, self.packer.pack(leader.replica, request))

    def _submit_to_replica(
        self, replica: Replica, purpose: RequestPurpose, token: str, command: bytes
    ) -> None:
        """Process a request at this voter's replica, which leads."""
        if purpose is RequestPurpose.STATUS:
            status = self.membership_planner.status(replica.state, anyio.current_time())
            self.requests.succeed(token, replica.state.commit_index, STATUS_CODEC.encode(status))
        elif purpose is RequestPurpose.COMMAND:
            known = self.state.known_result(command)
            if known is not None:
                self.requests.succeed(token, self.state.applied_index, RESULT_CODEC.encode(known))
            elif self.proposed_commands.join(command, token):
                self.pending_proposals.append(Proposal(token, command))
        else:
            self.pending_reads.append(token)
        self.wake_event.set()

    def on_forwarded_request(self, message: ForwardedRequest) -> None:
        """Process a request that another voter forwarded, if this voter leads."""
        replica = self.replica
        if replica is None or message.recipient != replica.state.local_member.replica:
            return
        refusal = ForwardedAnswer(
            replica.state.local_member, message.sender.replica, message.token, False, 0, b"", False
        )
        answer = partial(self._send_to_peer, message.sender.address)
        if not replica.state.is_leader:
            answer(refusal)
            return
        token = self.requests.add(
            lambda index, result: answer(
                replace(refusal, success=True, index=index, result=result)
            ),
            lambda may_be_committed, _: answer(replace(refusal, committed_maybe=may_be_committed)),
            anyio.current_time(),
        )
        self._submit_to_replica(replica, message.purpose, token, message.command)

    def _send_to_peer(self, address: Address, message: ConsensusMessage) -> None:
        if address != self.settings.address and self.peers is not None:
            self.peers.send(address, message)

    def on_forwarded_answer(self, message: ForwardedAnswer) -> None:
        """Complete a forwarded request; a read waits until the local state has caught up."""
        replica = self.replica
        if replica is None or message.recipient != replica.state.local_member.replica:
            return
        if message.token not in self.requests.waiting:
            self.log.emit(
                events.FORWARDED_ANSWER_UNMATCHED,
                peer=str(message.sender.address),
                request=message.token,
                revision=message.index,
                outcome="success" if message.success else "failure",
            )
            return
        if not message.success:
            self.requests.fail(message.token, message.committed_maybe, None)
        elif message.result:
            self.requests.succeed(message.token, message.index, message.result)
        else:
            self.requests.allow_read(message.token, message.index, self.state.applied_index)

    async def _introduce_replica(self) -> None:
        """Introduce this replica while it is not a member; found a cluster when configured to.

        A member that has had no leader for long may have been removed in the meantime.
        """
        while True:
            replica = self.replica
            if replica is not None and self._needs_introduction(replica):
                own_introduction = self._new_introduction(replica)
                for address in self.settings.voters:
                    self._send_to_peer(address, own_introduction)
                self._found_cluster(own_introduction)
            await anyio.sleep(INTRODUCTION_INTERVAL_S)

    def _needs_introduction(self, replica: Replica) -> bool:
        now = anyio.current_time()
        if replica.state.leader is not None:
            self.leader_last_known_at = now
        if replica.state.membership.find_member(self._replica_identity(replica)) is None:
            return True
        return now - self.leader_last_known_at > LEADERLESS_TIMEOUT_S

    def _replica_identity(self, replica: Replica) -> str:
        return replica.state.local_member.replica

    def _new_introduction(self, replica: Replica) -> Introduction:
        cluster = replica.state.hard_state.cluster
        founding = self.settings.bootstrap and not cluster
        voters = tuple(sorted(self.settings.voters))
        heard = (message.sender.replica for _, message in self.received_introductions.values())
        return Introduction(
            replica.state.local_member, cluster, founding, voters, heard=tuple(sorted(heard))
        )

    def _found_cluster(self, own_introduction: Introduction) -> None:
        oldest_heard_at = anyio.current_time() - INTRODUCTION_LIFETIME_S
        fresh = {
            address: introduction
            for address, (heard_at, introduction) in self.received_introductions.items()
            if heard_at >= oldest_heard_at
        }
        voters = founding_voters(own_introduction, fresh)
        if voters is not None:
            self._post_event(FoundingRequested(self._new_identity(), voters))
            self.log.emit(events.CLUSTER_FOUNDED, voters=len(voters))

    def on_introduction(self, message: Introduction) -> None:
        """Record a replica that isn't a member; introduce the cluster to it, if there is one."""
        replica = self.replica
        if replica is None:
            return
        _, previous = self.received_introductions.get(message.sender.address, (0.0, None))
        self.received_introductions[message.sender.address] = (anyio.current_time(), message)
        cluster = replica.state.hard_state.cluster
        if message.founding and not cluster and previous != message:
            # The replica that founds waits until all others name it.
            self._send_to_peer(message.sender.address, self._new_introduction(replica))
        if message.cluster not in ("", cluster) or not cluster:
            return
        if replica.state.is_leader:
            self.membership_planner.newcomers[message.sender.replica] = message.sender
        elif replica.state.leader is not None and message.sender != replica.state.leader:
            # Only the leader adds members, and a newcomer may know only followers.
            self._send_to_peer(replica.state.leader.address, message)
        if not message.cluster:
            self._send_to_peer(message.sender.address, self._new_introduction(replica))

    async def _plan_membership(self) -> None:
        """While leading, change the membership towards the configured one, one step at a time."""
        while True:
            await anyio.sleep(MEMBERSHIP_CHECK_INTERVAL_S)
            now = anyio.current_time()
            self.requests.expire_requests(now)
            replica = self.replica
            if replica is None or not replica.state.is_leader:
                self.membership_planner.newcomers.clear()
                continue
            self.membership_planner.record_commit_index(replica.state)
            if not replica.state.is_membership_committed:
                continue
            change = self.membership_planner.next_change(replica.state, self.state.state, now)
            if change == RemoveMember(replica.state.local_member.replica):
                self._post_event(ResignationRequested())
            elif change is not None:
                token = self.requests.add(lambda *_: None, lambda *_: None, now)
                self._post_event(MembershipChangeRequested(token, change))


def _member_names(members: tuple[Member, ...]) -> str:
    return ",".join(f"{member.address}/{member.replica[:8]}" for member in members)
