"""Log replication: the leader's appends, quorum rounds and commits; the follower's replies."""

from __future__ import annotations

from bergamotchute_consensus import _snapshot_transfer
from bergamotchute_consensus.actions import ConfirmRead
from bergamotchute_consensus.log_entry import LogEntry
from bergamotchute_consensus.membership import Member
from bergamotchute_consensus.messages import AppendEntries, AppendEntriesReply
from bergamotchute_consensus.progress import Progress
from bergamotchute_consensus.replica_state import ReplicaState


def begin_quorum_round(state: ReplicaState, now: float) -> None:
    """Start a new quorum round: send every other replica a message that requires a reply."""
    state.round += 1
    state.next_heartbeat_at = now + state.settings.heartbeat_interval_s
    if state.read_queue.waiting and not state.read_queue.confirming and can_serve_reads(state):
        state.read_queue.begin_round(state.round)
    for member in state.membership.members:
        if member.replica != state.local_member.replica:
            _send_heartbeat(state, member)
    complete_reads(state, now)


def _send_heartbeat(state: ReplicaState, member: Member) -> None:
    peer = state.progress_by_replica[member.replica]
    if peer.next_index <= state.log.base_index:
        _snapshot_transfer.send_chunk(state, member, peer)
    elif peer.probing:
        peer.probe_sent = False
        send_entries(state, member, peer)
    else:
        _send_append(state, member, peer, with_entries=False)
        send_entries(state, member, peer)


def send_entries_to_all(state: ReplicaState) -> None:
    """Send every other replica the entries that flow control allows."""
    for member in state.membership.members:
        if member.replica != state.local_member.replica:
            send_entries(state, member, state.progress_by_replica[member.replica])


def send_entries(state: ReplicaState, member: Member, peer: Progress) -> None:
    """Send one replica the entries that flow control allows, without waiting for earlier replies.

    A replica whose last matching index is unknown gets one message at a time.
    """
    if peer.next_index <= state.log.base_index:
        if not peer.snapshot_index:
            _snapshot_transfer.send_chunk(state, member, peer)
        return
    if peer.probing:
        if not peer.probe_sent:
            peer.probe_sent = True
            _send_append(state, member, peer, with_entries=True)
        return
    while peer.next_index <= state.log.last_index and _may_send_more(state, peer):
        _send_append(state, member, peer, with_entries=True)


def _may_send_more(state: ReplicaState, peer: Progress) -> bool:
    return (
        len(peer.in_flight) < state.settings.max_in_flight_appends
        and peer.in_flight_bytes < state.settings.max_in_flight_bytes
    )


def _send_append(state: ReplicaState, member: Member, peer: Progress, with_entries: bool) -> None:
    entries = (
        state.log.batch(peer.next_index, state.settings.max_append_bytes) if with_entries else ()
    )
    message = _new_append(state, member, peer.next_index - 1, entries)
    _send_as_leader(state, member, message)
    if entries and not peer.probing:
        peer.record_sent(entries[-1].index, sum(len(entry.data) for entry in entries))


def _new_append(
    state: ReplicaState,
    member: Member,
    previous: int,
    entries: tuple[LogEntry, ...],
    successor: str = "",
) -> AppendEntries:
    previous_term = state.log.term_at(previous)
    assert previous_term is not None
    return AppendEntries(
        state.hard_state.cluster,
        state.local_member,
        member.replica,
        state.term,
        previous,
        previous_term,
        entries,
        state.commit_index,
        state.round,
        accepts_packed=True,
        successor=successor,
    )


def send_resignation(state: ReplicaState, now: float) -> None:
    """Tell all members that this leader gives up, and which voter should stand at once.

    A leader whose term isn't durable has sent nothing yet that names it as the leader.
    """
    successor = _choose_successor(state, now)
    if not successor or state.durable_index < state.term_start_index:
        return
    for member in state.membership.members:
        if member.replica != state.local_member.replica:
            peer = state.progress_by_replica[member.replica]
            previous = max(peer.next_index - 1, state.log.base_index)
            message = _new_append(state, member, previous, (), successor)
            _send_as_leader(state, member, message)


def _choose_successor(state: ReplicaState, now: float) -> str:
    """Return the voter that answered recently and holds most of the log; empty for none."""
    candidates = [
        (peer.match_index, peer.last_reply_at, replica)
        for replica, peer in state.progress_by_replica.items()
        if state.membership.is_voter(replica)
        and peer.acknowledged_round > 0
        and now - peer.last_reply_at < state.settings.election_timeout_s
    ]
    return max(candidates)[2] if candidates else ""


def _send_as_leader(state: ReplicaState, member: Member, message: AppendEntries) -> None:
    """Send without waiting for the leader's own writes, but not before its term is durable."""
    term_durable = state.durable_index >= state.term_start_index
    state.send(member, message, durable_first=not term_durable)


def on_append(state: ReplicaState, message: AppendEntries, now: float) -> None:
    """Handle a leader's entries and reply with the last matching index.

    The reply is sent once these entries are durable.
    """
    state.leader = message.sender
    state.leader_message_at = now
    state.reset_election_deadline(now)
    entries = message.entries
    previous, previous_term = message.previous_index, message.previous_term
    base = state.log.base_index
    if previous < base:
        covered = [entry for entry in entries if entry.index <= base]
        if not covered or covered[-1].index < base:
            _reply(state, message, True, min(base, previous + len(entries)))
            return
        entries = entries[len(covered) :]
        previous, previous_term = base, state.log.base_term
    if state.log.term_at(previous) != previous_term:
        _reply(state, message, False, _next_probe_index(state, previous))
        return
    _merge_entries(state, entries)
    match = previous + len(entries)
    state.commit_through(min(message.commit, match))
    _reply(state, message, True, match)


def _next_probe_index(state: ReplicaState, previous: int) -> int:
    """Return an index before ``previous`` at which the two logs may match."""
    if previous > state.log.last_index:
        return state.log.last_index
    return max(state.log.first_index_of_term(previous) - 1, state.commit_index)


def _merge_entries(state: ReplicaState, entries: tuple[LogEntry, ...]) -> None:
    """Append the entries that the log lacks, and replace conflicting ones."""
    for position, entry in enumerate(entries):
        held = state.log.term_at(entry.index)
        if held == entry.term:
            continue
        if held is not None:
            state.truncate_from(entry.index)
        state.append_entries(entries[position:])
        return


def _reply(state: ReplicaState, message: AppendEntries, success: bool, match: int) -> None:
    reply = AppendEntriesReply(
        state.hard_state.cluster,
        state.local_member,
        message.sender.replica,
        state.term,
        success,
        match,
        message.previous_index,
        message.round,
        accepts_packed=True,
    )
    state.send(message.sender, reply)


def on_append_reply(state: ReplicaState, reply: AppendEntriesReply, now: float) -> None:
    """Update the progress of a replica from its reply."""
    peer = state.progress_by_replica.get(reply.sender.replica)
    if peer is None:
        return
    peer.record_reply(reply.round, now)
    if reply.success:
        peer.advance_match_index(reply.match)
    elif _is_current_rejection(peer, reply):
        peer.probe_from(min(reply.previous_index, reply.match + 1))


def _is_current_rejection(peer: Progress, reply: AppendEntriesReply) -> bool:
    """Return whether a rejection is current: no later reply or probe supersedes it."""
    if peer.probing:
        return reply.previous_index == peer.next_index - 1
    return reply.previous_index > peer.match_index


def continue_after_reply(state: ReplicaState, replica: str, now: float) -> None:
    """Commit entries, send more and complete reads, as a reply of ``replica`` allows."""
    advance_commit(state)
    peer = state.progress_by_replica.get(replica)
    member = state.membership.find_member(replica)
    if peer is not None and member is not None:
        send_entries(state, member, peer)
    complete_reads(state, now)


def advance_commit(state: ReplicaState) -> None:
    """Commit what a majority of the voters holds durably, if it includes this term's entry."""
    held = sorted(
        (_durable_index_of(state, voter.replica) for voter in state.membership.voters), reverse=True
    )
    index = held[state.membership.quorum - 1]
    if index >= state.term_start_index and index > state.commit_index:
        state.commit_through(index)


def _durable_index_of(state: ReplicaState, replica: str) -> int:
    if replica == state.local_member.replica:
        return state.durable_index
    return state.progress_by_replica[replica].match_index


def can_serve_reads(state: ReplicaState) -> bool:
    """Return whether an entry of this term is committed, which makes the commit index current."""
    return state.commit_index >= state.term_start_index


def on_reads_requested(state: ReplicaState, tokens: tuple[str, ...], now: float) -> None:
    """Queue reads for the next quorum round; only one round for reads runs at a time."""
    state.read_queue.waiting.extend(tokens)
    complete_reads(state, now)


def complete_reads(state: ReplicaState, now: float) -> None:
    """Allow reads whose quorum round is confirmed, and start a round for waiting reads."""
    reads = state.read_queue
    if reads.confirming and _round_confirmed(state, reads.round):
        for token in reads.take_confirmed():
            state.actions.append(ConfirmRead(token, state.commit_index))
    if reads.waiting and not reads.confirming and can_serve_reads(state):
        begin_quorum_round(state, now)


def _round_confirmed(state: ReplicaState, number: int) -> bool:
    answered = {
        replica
        for replica, peer in state.progress_by_replica.items()
        if peer.acknowledged_round >= number
    }
    answered.add(state.local_member.replica)
    return state.membership.has_quorum(answered)
