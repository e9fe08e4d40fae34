"""Snapshot transfer, in chunks, to a replica that lags behind the retained log; own snapshots."""

from __future__ import annotations

from zlib import crc32

from bergamotchute_consensus.actions import RestoreSnapshot
from bergamotchute_consensus.membership import Member
from bergamotchute_consensus.messages import SnapshotChunk, SnapshotReply
from bergamotchute_consensus.progress import Progress
from bergamotchute_consensus.replica_state import IncomingSnapshot, ReplicaState
from bergamotchute_consensus.snapshot import Snapshot


def send_chunk(state: ReplicaState, member: Member, peer: Progress) -> None:
    """Send the next chunk of the newest snapshot; the reply names the next offset."""
    snapshot = state.snapshot
    if peer.snapshot_index != snapshot.index:
        peer.snapshot_index = snapshot.index
        peer.snapshot_offset = 0
    end = peer.snapshot_offset + state.settings.snapshot_chunk_bytes
    message = SnapshotChunk(
        state.hard_state.cluster,
        state.local_member,
        member.replica,
        state.term,
        snapshot.index,
        snapshot.term,
        snapshot.membership,
        peer.snapshot_offset,
        len(snapshot.data),
        state.snapshot_checksum,
        snapshot.data[peer.snapshot_offset : end],
        state.round,
    )
    state.send(member, message)


def on_snapshot_reply(state: ReplicaState, reply: SnapshotReply, now: float) -> None:
    """Continue the transfer at the offset that the replica reports."""
    peer = state.progress_by_replica.get(reply.sender.replica)
    member = state.membership.find_member(reply.sender.replica)
    if peer is None or member is None:
        return
    peer.record_reply(reply.round, now)
    if reply.installed:
        peer.match_index = max(peer.match_index, reply.index)
        peer.probe_from(peer.match_index + 1)
    elif reply.index == peer.snapshot_index == state.snapshot.index:
        _continue_transfer(state, member, peer, reply.received)


def _continue_transfer(state: ReplicaState, member: Member, peer: Progress, received: int) -> None:
    """Send the next chunk, unless it is already in flight or the reply is stale."""
    if received == peer.snapshot_offset and received > 0:
        return
    peer.snapshot_offset = received
    send_chunk(state, member, peer)


def on_snapshot_chunk(state: ReplicaState, message: SnapshotChunk, now: float) -> None:
    """Store a chunk; install a complete snapshot and confirm it once it is durable."""
    state.leader = message.sender
    state.leader_message_at = now
    state.reset_election_deadline(now)
    if message.index <= state.commit_index:
        state.incoming_snapshot = None
        _reply(state, message, message.total, True)
        return
    incoming = _matching_incoming_snapshot(state, message)
    if message.offset == len(incoming.data):
        incoming.data += message.data
    if len(incoming.data) < incoming.total:
        _reply(state, message, len(incoming.data), False)
        return
    state.incoming_snapshot = None
    if crc32(incoming.data) != incoming.checksum:
        _reply(state, message, 0, False)
        return
    _install(state, message, bytes(incoming.data))
    _reply(state, message, incoming.total, True)


def _matching_incoming_snapshot(state: ReplicaState, message: SnapshotChunk) -> IncomingSnapshot:
    """Return the bytes received so far of this snapshot, also from an earlier leader.

    The bytes of any other snapshot are dropped.
    """
    held = state.incoming_snapshot
    wanted = (message.index, message.index_term, message.total, message.checksum)
    if held is None or (held.index, held.index_term, held.total, held.checksum) != wanted:
        held = IncomingSnapshot(*wanted)
        state.incoming_snapshot = held
    return held


def _install(state: ReplicaState, message: SnapshotChunk, data: bytes) -> None:
    """Replace the log entries that the snapshot covers by the snapshot."""
    snapshot = Snapshot(message.index, message.index_term, message.membership, data)
    state.snapshot = snapshot
    if state.log.term_at(message.index) == message.index_term:
        state.log.drop_through(message.index)
        kept = tuple(state.log.entries)
    else:
        state.log.reset(message.index, message.index_term)
        kept = ()
        state.reset_durable_index()
    state.memberships = [(snapshot.index, snapshot.membership)]
    state.add_memberships(kept)
    state.commit_index = snapshot.index
    state.applied_index = snapshot.index
    state.persist(snapshot=snapshot)
    state.actions.append(RestoreSnapshot(snapshot))


def on_snapshot_taken(state: ReplicaState, index: int, data: bytes) -> None:
    """Persist a snapshot of the state machine, and drop entries well behind it."""
    if index <= state.snapshot.index:
        return
    term = state.log.term_at(index)
    assert term is not None
    state.snapshot = Snapshot(index, term, state.membership_at(index), data)
    state.persist(snapshot=state.snapshot)
    keep_from = max(
        index - state.settings.trailing_entries,
        state.log.index_before(index, state.settings.trailing_bytes),
    )
    if keep_from > state.log.base_index:
        state.log.drop_through(keep_from)
    _prune_memberships(state)


def _prune_memberships(state: ReplicaState) -> None:
    """Drop the memberships older than the one in effect at the snapshot's index."""
    while len(state.memberships) > 1 and state.memberships[1][0] <= state.snapshot.index:
        state.memberships.pop(0)


def _reply(state: ReplicaState, message: SnapshotChunk, received: int, installed: bool) -> None:
    reply = SnapshotReply(
        state.hard_state.cluster,
        state.local_member,
        message.sender.replica,
        state.term,
        message.index,
        received,
        installed,
        message.round,
    )
    state.send(message.sender, reply)
