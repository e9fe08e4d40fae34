"""A control voter: one replica of the log, its disk, its peers and the relays that it serves."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from functools import partial
from random import Random

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
from bergamotchute_consensus.membership import Member, RemoveMember
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
from bergamotchute_daemon._disk_writer import DiskWriter, RunBlocking
from bergamotchute_daemon._membership_planner import VoterPlanner
from bergamotchute_daemon._pending_requests import OnFailure, OnSuccess, VoterRequests
from bergamotchute_daemon._voter_peer_links import PeerLinks
from bergamotchute_daemon._voter_state import COMMAND_CODEC, RESULT_CODEC, VoterState
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_model.control_messages import (
    ControlMessage,
    LeaseGrant,
    ProposalFailed,
    Propose,
    Proposed,
    RenewLease,
    Subscribe,
)
from bergamotchute_model.identifiers import Address
from bergamotchute_model.status_messages import AskStatus, ControlStatus, StatusReport
from bergamotchute_wire.link import Dial, Link, LinkClosed
from bergamotchute_wire.message_codec import MessageCodec
from bergamotchute_wire.outbox import Outbox, open_outbox

CONSENSUS_CODEC: MessageCodec[ConsensusMessage] = MessageCodec(ConsensusMessage)
STATUS_CODEC: MessageCodec[ControlStatus] = MessageCodec(ControlStatus)

LEASE_S = 6.0
"""How long a confirmed view may be used."""

INTRODUCE_S = 0.5
PLAN_S = 1.0
INTRODUCTION_KEPT_S = 3.0
UNLED_S = 4.0
"""Time without a leader after which a member makes itself known again; several elections."""

REOPEN_S = 5.0
"""Wait before a folder whose disk failed is opened again."""


@dataclass(frozen=True)
class VoterSettings:
    """What a voter is told.

    :param address: where it listens for links.
    :param voters: addresses of the first voters, this one's too.
    :param bootstrap: found a new control group with these voters.
    :param min_voters: where no file names the voters, replicas join and leave by themselves,
        and dead ones are dropped down to so many; 0 to follow the files.
    """

    address: Address
    voters: tuple[Address, ...]
    bootstrap: bool
    min_voters: int = 0


async def run_in_thread(function: Callable[[], None]) -> None:
    """Run a function that blocks beside the event loop, to its end even when cancelled."""
    with anyio.CancelScope(shield=True):
        await anyio.to_thread.run_sync(function)


class Voter:
    """One replica of the control log and all that it talks to.

    :param disk: its data folder.
    :param dial: opens links to other voters.
    :param run_blocking: where disk writes run.
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
        self.requests = VoterRequests()
        self.planner = self._new_planner()
        self.replica: Replica | None = None
        self.writer: DiskWriter | None = None
        self.peers: PeerLinks | None = None
        self.inbox: deque[Event] = deque()
        self.proposals: list[Proposal] = []
        self.reads: list[str] = []
        self.held: deque[SendMessage] = deque()
        self.wake = anyio.Event()
        self.introductions: dict[Address, tuple[float, Introduction]] = {}
        self.listeners: list[Callable[[], None]] = []
        self.leader_known_at = float("-inf")

    def set_seeds(self, voters: tuple[Address, ...]) -> None:
        """Make this replica known at other addresses from now on."""
        self.settings = replace(self.settings, voters=voters)

    def resign(self) -> None:
        """Let another voter lead, if this one does."""
        self._post(ResignationRequested())

    async def run(self) -> None:
        """Take part until cancelled; after a disk failure, once the folder opens again."""
        async with anyio.create_task_group() as tasks:
            self.peers = PeerLinks(self.dial, self.random, tasks)
            while True:
                await self._run_replica()
                await anyio.sleep(REOPEN_S)

    async def _run_replica(self) -> None:
        """Open the folder and take part until the disk fails."""
        opened: list[Storage] = []
        try:
            await self.run_blocking(lambda: opened.append(Storage(self.disk, self._identity)))
        except CorruptStorageError as error:
            self.log.emit(events.VOTER_REFUSES, detail=str(error))
            await anyio.sleep_forever()
        except DiskError as error:
            self.log.emit(events.VOTER_DISK_FAILED, detail=str(error))
            return
        self._begin(opened[0])
        try:
            await self._run_tasks()
        finally:
            self._end()

    def _identity(self) -> str:
        return f"{self.random.getrandbits(128):032x}"

    def _begin(self, storage: Storage) -> None:
        recovered = storage.recovered
        me = Member(storage.identity, self.settings.address)
        self.replica = Replica(
            me, self.replica_settings, self.random, recovered, anyio.current_time()
        )
        self.state.reset(recovered.snapshot)
        self.planner = self._new_planner()
        self.writer = DiskWriter(storage, self._post, self.run_blocking)

    def _new_planner(self) -> VoterPlanner:
        return VoterPlanner(fewest_voters=self.settings.min_voters)

    async def _run_tasks(self) -> None:
        assert self.writer is not None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.writer.run)
            tasks.start_soon(self._introduce)
            tasks.start_soon(self._plan)
            await self._decide()
            tasks.cancel_scope.cancel()

    def _end(self) -> None:
        self.replica = None
        self.writer = None
        self.inbox.clear()
        self.proposals.clear()
        self.reads.clear()
        self.held.clear()
        self.requests.fail_all()

    def _post(self, event: Event) -> None:
        """Queue an event for the replica."""
        if self.replica is not None:
            self.inbox.append(event)
            self.wake.set()

    async def _decide(self) -> None:
        """Step the replica; what came in the meantime is taken as one batch."""
        assert self.replica is not None
        while not self.replica.failed:
            left = self.replica.next_tick_at - anyio.current_time()
            with anyio.move_on_after(max(0.0, left)):
                await self.wake.wait()
            self.wake = anyio.Event()
            self._step_all(self.replica)
        self.log.emit(events.VOTER_DISK_FAILED, detail="a write or a sync failed")

    def _step_all(self, replica: Replica) -> None:
        batch = list(self.inbox)
        self.inbox.clear()
        if self.proposals:
            batch.append(ProposalsRequested(tuple(self.proposals)))
            self.proposals.clear()
        if self.reads:
            batch.append(ReadsRequested(tuple(self.reads)))
            self.reads.clear()
        if anyio.current_time() >= replica.next_tick_at:
            batch.append(Tick())
        for event in batch:
            self._take(replica, replica.step(event, anyio.current_time()))
            if isinstance(event, Persisted):
                self._release(event.sequence)
        self.state.tell_followers()
        for listener in self.listeners:
            listener()
        self._take_snapshot(replica)

    def _take_snapshot(self, replica: Replica) -> None:
        if self.state.wants_snapshot:
            index = self.state.applied_index
            event = SnapshotTaken(index, self.state.take_snapshot())
            self._take(replica, replica.step(event, anyio.current_time()))

    def _release(self, sequence: int) -> None:
        """Send what waited for a write."""
        while self.held and self.held[0].after <= sequence:
            self._send(self.held.popleft())

    def _take(self, replica: Replica, actions: list[Action]) -> None:
        for action in actions:
            self._take_one(replica, action)

    def _take_one(self, replica: Replica, action: Action) -> None:
        match action:
            case Persist():
                assert self.writer is not None
                self.writer.put(action)
            case SendMessage(after=0):
                self._send(action)
            case SendMessage():
                self.held.append(action)
            case ApplyEntry():
                self._apply(action)
            case RestoreSnapshot(snapshot):
                self.state.restore(snapshot)
                self.log.emit(events.SNAPSHOT_INSTALLED, revision=snapshot.index)
                self.requests.on_applied(self.state.applied_index)
            case RejectProposal(token, committed_maybe, _, leader):
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
        self.peers.send(send.to.address, send.message)

    def _apply(self, action: ApplyEntry) -> None:
        """Apply an entry, answer its proposer and the reads that waited for it."""
        result = self.state.apply(action.entry)
        if action.entry.content is EntryContent.MEMBERSHIP:
            self.log.emit(events.MEMBERSHIP_CHANGED, revision=action.entry.index)
        if action.token:
            encoded = b"" if result is None else RESULT_CODEC.encode(result)
            self.requests.succeed(action.token, action.entry.index, encoded)
        if self.requests.reads:
            self.requests.on_applied(action.entry.index)

    async def serve_peer(self, link: Link[ConsensusMessage]) -> None:
        """Take messages of one other voter until its link closes."""
        with suppress(LinkClosed):
            while True:
                self.on_peer_message(await link.receive())

    def on_peer_message(self, message: ConsensusMessage) -> None:
        """Take one message of another voter."""
        match message:
            case Introduction():
                self.on_introduction(message)
            case ForwardedRequest():
                self.on_forwarded_request(message)
            case ForwardedAnswer():
                self.on_forwarded_answer(message)
            case _:
                self._post(MessageReceived(message))

    async def serve_relay(self, link: Link[ControlMessage]) -> None:
        """Serve one relay until its link closes."""
        async with open_outbox(link) as outbox:
            try:
                while True:
                    self.on_relay_message(outbox, await link.receive())
            finally:
                self.state.leave(outbox)

    def on_relay_message(self, outbox: Outbox[ControlMessage], message: ControlMessage) -> None:
        """Take one message of a relay."""
        match message:
            case RenewLease():
                self.on_renew_lease(outbox, message)
            case Subscribe():
                self.state.follow(outbox, message.revision)
            case Propose():
                self.on_propose(outbox, message)
            case AskStatus():
                self.on_ask_status(outbox, message)
            case _:
                pass

    def on_renew_lease(self, outbox: Outbox[ControlMessage], message: RenewLease) -> None:
        """Grant a lease once a quorum round that begins now confirms the view; else nothing."""

        def grant(_: int, __: bytes) -> None:
            self.state.tell_followers()
            outbox.post(LeaseGrant(message.number, LEASE_S, self.state.state.view_revision))

        self.ask(RequestPurpose.READ, b"", grant, lambda *_: None)

    def on_propose(self, outbox: Outbox[ControlMessage], message: Propose) -> None:
        """Commit a command, here or at the leader, and answer with its result."""

        def answer(index: int, result: bytes) -> None:
            decoded = RESULT_CODEC.decode(result)
            outbox.post(Proposed(message.proposal_id, index, decoded))

        def refuse(committed_maybe: bool, leader: Member | None) -> None:
            address = leader.address if leader else None
            failed = ProposalFailed(
                message.proposal_id, committed_maybe, "no leader took it", address
            )
            outbox.post(failed)

        self.ask(RequestPurpose.COMMAND, COMMAND_CODEC.encode(message.command), answer, refuse)

    def on_ask_status(self, outbox: Outbox[ControlMessage], message: AskStatus) -> None:
        """Report how the leader sees the group."""

        def answer(_: int, result: bytes) -> None:
            outbox.post(StatusReport(message.query_id, control=STATUS_CODEC.decode(result)))

        def refuse(_: bool, __: Member | None) -> None:
            outbox.post(StatusReport(message.query_id))

        self.ask(RequestPurpose.STATUS, b"", answer, refuse)

    def ask(
        self, purpose: RequestPurpose, command: bytes, success: OnSuccess, failure: OnFailure
    ) -> None:
        """Do what is asked if this voter leads, or pass it on to the leader."""
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
            self._do(replica, purpose, token, command)
        elif leader is not None and self.peers is not None:
            me = replica.state.local_member
            request = ForwardedRequest(me, leader.replica, token, purpose, command)
            self.peers.send(leader.address, request)

    def _do(self, replica: Replica, purpose: RequestPurpose, token: str, command: bytes) -> None:
        """Give a request to this voter's own replica, which leads."""
        if purpose is RequestPurpose.STATUS:
            status = self.planner.status(replica.state, anyio.current_time())
            self.requests.succeed(token, replica.state.commit_index, STATUS_CODEC.encode(status))
        elif purpose is RequestPurpose.COMMAND:
            self.proposals.append(Proposal(token, command))
        else:
            self.reads.append(token)
        self.wake.set()

    def on_forwarded_request(self, message: ForwardedRequest) -> None:
        """Do what another voter was asked for, if this voter leads."""
        replica = self.replica
        if replica is None or message.recipient != replica.state.local_member.replica:
            return
        refusal = ForwardedAnswer(
            replica.state.local_member, message.sender.replica, message.token, False, 0, b"", False
        )
        answer = partial(self._send_to, message.sender.address)
        if not replica.state.is_leader:
            answer(refusal)
            return
        token = self.requests.add(
            lambda index, result: answer(
                replace(refusal, success=True, index=index, result=result)
            ),
            lambda maybe, _: answer(replace(refusal, committed_maybe=maybe)),
            anyio.current_time(),
        )
        self._do(replica, message.purpose, token, message.command)

    def _send_to(self, address: Address, message: ConsensusMessage) -> None:
        if address != self.settings.address and self.peers is not None:
            self.peers.send(address, message)

    def on_forwarded_answer(self, message: ForwardedAnswer) -> None:
        """Hand the leader's answer to who asked; a read waits until this state is as new."""
        replica = self.replica
        if replica is None or message.recipient != replica.state.local_member.replica:
            return
        if not message.success:
            self.requests.fail(message.token, message.committed_maybe, None)
        elif message.result:
            self.requests.succeed(message.token, message.index, message.result)
        else:
            self.requests.allow_read(message.token, message.index, self.state.applied_index)

    async def _introduce(self) -> None:
        """Make this replica known while it is no member; found a cluster when told to.

        A member that no leader has served for long may have been removed meanwhile.
        """
        while True:
            replica = self.replica
            if replica is not None and self._is_outside(replica):
                mine = self._introduction(replica)
                for address in self.settings.voters:
                    self._send_to(address, mine)
                self._found(mine)
            await anyio.sleep(INTRODUCE_S)

    def _is_outside(self, replica: Replica) -> bool:
        now = anyio.current_time()
        if replica.state.leader is not None:
            self.leader_known_at = now
        if replica.state.membership.find_member(self._me(replica)) is None:
            return True
        return now - self.leader_known_at > UNLED_S

    def _me(self, replica: Replica) -> str:
        return replica.state.local_member.replica

    def _introduction(self, replica: Replica) -> Introduction:
        cluster = replica.state.hard_state.cluster
        founding = self.settings.bootstrap and not cluster
        voters = tuple(sorted(self.settings.voters))
        return Introduction(replica.state.local_member, cluster, founding, voters)

    def _found(self, mine: Introduction) -> None:
        oldest = anyio.current_time() - INTRODUCTION_KEPT_S
        fresh = {
            address: introduction
            for address, (heard_at, introduction) in self.introductions.items()
            if heard_at >= oldest
        }
        voters = founding_voters(mine, fresh)
        if voters is not None:
            self._post(FoundingRequested(self._identity(), voters))
            self.log.emit(events.CLUSTER_FOUNDED, voters=len(voters))

    def on_introduction(self, message: Introduction) -> None:
        """Note a replica that isn't a member; tell it of the cluster, if there is one."""
        replica = self.replica
        if replica is None:
            return
        self.introductions[message.sender.address] = (anyio.current_time(), message)
        cluster = replica.state.hard_state.cluster
        if message.cluster not in ("", cluster) or not cluster:
            return
        if replica.state.is_leader:
            self.planner.newcomers[message.sender.replica] = message.sender
        elif replica.state.leader is not None and message.sender != replica.state.leader:
            # Only the leader adds members, and a newcomer may know none but followers.
            self._send_to(replica.state.leader.address, message)
        if not message.cluster:
            self._send_to(message.sender.address, self._introduction(replica))

    async def _plan(self) -> None:
        """While leading, bring the membership to what the files want, one step at a time."""
        while True:
            await anyio.sleep(PLAN_S)
            now = anyio.current_time()
            self.requests.forget_old(now)
            replica = self.replica
            if replica is None or not replica.state.is_leader:
                self.planner.newcomers.clear()
                continue
            self.planner.note_commit(replica.state)
            if not replica.state.is_membership_committed:
                continue
            change = self.planner.next_change(replica.state, self.state.state, now)
            if change == RemoveMember(replica.state.local_member.replica):
                self._post(ResignationRequested())
            elif change is not None:
                token = self.requests.add(lambda *_: None, lambda *_: None, now)
                self._post(MembershipChangeRequested(token, change))
