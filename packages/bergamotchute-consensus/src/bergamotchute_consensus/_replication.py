"""Replication: the leader's appends, rounds and commits, and the follower's answers."""

from __future__ import annotations

from bergamotchute_consensus import _snapshot_transfer
from bergamotchute_consensus.actions import ConfirmRead
from bergamotchute_consensus.log_entry import LogEntry
from bergamotchute_consensus.membership import Member
from bergamotchute_consensus.messages import Append, AppendReply
from bergamotchute_consensus.progress import Progress
from bergamotchute_consensus.replica_state import ReplicaState


def begin_round(state: ReplicaState, now: float) -> None:
    """Send every replica something that it will answer, in a new quorum round."""
    state.round += 1
    state.heartbeat_due = now + state.settings.heartbeat_interval_s
    if state.reads.waiting and not state.reads.confirming and may_read(state):
        state.reads.begin(state.round)
    for member in state.membership.members:
        if member.replica != state.local_member.replica:
            _send_heartbeat(state, member)
    finish_reads(state, now)


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


def send_all(state: ReplicaState) -> None:
    """Send every replica the entries it may get now."""
    for member in state.membership.members:
        if member.replica != state.local_member.replica:
            send_entries(state, member, state.progress_by_replica[member.replica])


def send_entries(state: ReplicaState, member: Member, peer: Progress) -> None:
    """Send one replica the entries it may get now, without waiting for earlier answers.

    A replica whose log's end is unknown gets one message at a time.
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
    while (
        peer.next_index <= state.log.last_index
        and len(peer.in_flight) < state.settings.in_flight_appends
    ):
        _send_append(state, member, peer, with_entries=True)


def _send_append(state: ReplicaState, member: Member, peer: Progress, with_entries: bool) -> None:
    previous = peer.next_index - 1
    entries = (
        state.log.batch(peer.next_index, state.settings.max_append_bytes) if with_entries else ()
    )
    previous_term = state.log.term_at(previous)
    assert previous_term is not None
    message = Append(
        state.hard_state.cluster,
        state.local_member,
        member.replica,
        state.term,
        previous,
        previous_term,
        entries,
        state.commit_index,
        state.round,
    )
    _send_as_leader(state, member, message)
    if entries and not peer.probing:
        peer.next_index = entries[-1].index + 1
        peer.in_flight.append(entries[-1].index)


def _send_as_leader(state: ReplicaState, member: Member, message: Append) -> None:
    """Send without waiting for the leader's own disk, but not before its term is durable."""
    term_durable = state.durable_index >= state.term_start_index
    state.send(member, message, durable_first=not term_durable)


def on_append(state: ReplicaState, message: Append, now: float) -> None:
    """Take a leader's entries; all that is durable here is said in the answer."""
    state.leader = message.sender
    state.leader_heard_at = now
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
        _reply(state, message, False, _place_to_try(state, previous))
        return
    _take_entries(state, entries)
    match = previous + len(entries)
    state.commit_through(min(message.commit, match))
    _reply(state, message, True, match)


def _place_to_try(state: ReplicaState, previous: int) -> int:
    """Return an index before ``previous`` where the logs may agree."""
    if previous > state.log.last_index:
        return state.log.last_index
    return max(state.log.first_index_of_term(previous) - 1, state.commit_index)


def _take_entries(state: ReplicaState, entries: tuple[LogEntry, ...]) -> None:
    """Put those entries into the log that it doesn't hold, in place of others."""
    for position, entry in enumerate(entries):
        held = state.log.term_at(entry.index)
        if held == entry.term:
            continue
        if held is not None:
            state.truncate_from(entry.index)
        state.append_entries(entries[position:])
        return


def _reply(state: ReplicaState, message: Append, success: bool, match: int) -> None:
    reply = AppendReply(
        state.hard_state.cluster,
        state.local_member,
        message.sender.replica,
        state.term,
        success,
        match,
        message.previous_index,
        message.round,
    )
    state.send(message.sender, reply)


def on_append_reply(state: ReplicaState, reply: AppendReply, now: float) -> None:
    """Note what a replica holds, and send it what follows."""
    peer = state.progress_by_replica.get(reply.sender.replica)
    if peer is None:
        return
    peer.note_answer(reply.round, now)
    if reply.success:
        peer.advance(reply.match)
    elif _rejects_last_sent(peer, reply):
        peer.probe_from(min(reply.previous_index, reply.match + 1))


def _rejects_last_sent(peer: Progress, reply: AppendReply) -> bool:
    """Return whether a rejection is news: not overtaken by an answer or by a later probe."""
    if peer.probing:
        return reply.previous_index == peer.next_index - 1
    return reply.previous_index > peer.match_index


def after_answer(state: ReplicaState, replica: str, now: float) -> None:
    """Commit, answer reads and send more, as an answer of ``replica`` allows."""
    advance_commit(state)
    peer = state.progress_by_replica.get(replica)
    member = state.membership.find_member(replica)
    if peer is not None and member is not None:
        send_entries(state, member, peer)
    finish_reads(state, now)


def advance_commit(state: ReplicaState) -> None:
    """Commit what a majority of the voters holds durably, once that reaches this term."""
    held = sorted(
        (_durable_at(state, voter.replica) for voter in state.membership.voters), reverse=True
    )
    index = held[state.membership.quorum - 1]
    if index >= state.term_start_index and index > state.commit_index:
        state.commit_through(index)


def _durable_at(state: ReplicaState, replica: str) -> int:
    if replica == state.local_member.replica:
        return state.durable_index
    return state.progress_by_replica[replica].match_index


def may_read(state: ReplicaState) -> bool:
    """Return whether an entry of this term is committed, so that the commit index is current."""
    return state.commit_index >= state.term_start_index


def on_reads_requested(state: ReplicaState, tokens: tuple[str, ...], now: float) -> None:
    """Let reads join the next quorum round; at most one is under way for reads."""
    state.reads.waiting.extend(tokens)
    finish_reads(state, now)


def finish_reads(state: ReplicaState, now: float) -> None:
    """Allow the reads whose round a quorum answered, and begin a round for those that wait."""
    reads = state.reads
    if reads.confirming and _round_confirmed(state, reads.round):
        for token in reads.take_confirmed():
            state.actions.append(ConfirmRead(token, state.commit_index))
    if reads.waiting and not reads.confirming and may_read(state):
        begin_round(state, now)


def _round_confirmed(state: ReplicaState, number: int) -> bool:
    answered = {
        replica
        for replica, peer in state.progress_by_replica.items()
        if peer.acknowledged_round >= number
    }
    answered.add(state.local_member.replica)
    return state.membership.has_quorum(answered)
