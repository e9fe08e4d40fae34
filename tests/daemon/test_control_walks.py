"""Random walks over whole control VMs: late messages, restarts, failing disks, cut links."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest

from bergamotchute_consensus import membership_plan
from bergamotchute_consensus.membership import MembershipChange, RemoveMember
from bergamotchute_consensus.messages import RequestPurpose
from bergamotchute_consensus.replica import Replica
from bergamotchute_consensus.replica_state import ReplicaState
from bergamotchute_daemon._membership_planner import MembershipPlanner
from bergamotchute_daemon._pending_requests import (
    REQUEST_TIMEOUT_S,
    OnFailure,
    OnSuccess,
    PendingRequest,
    PendingRequests,
)
from bergamotchute_daemon._voter_state import RESULT_CODEC
from bergamotchute_daemon.follower import Follower
from bergamotchute_daemon.node_hub import NodeHub
from bergamotchute_daemon.voter import Voter
from bergamotchute_model.commands import ConfigurationPut
from bergamotchute_model.node_messages import AgentState, DeparturesRecorded, EntryState
from support.configuration_history import ConfigurationHistory, FollowedVersions, HistoryViolation
from support.control_walk import (
    ControlWalk,
    EmptyingWalk,
    LivenessViolation,
    RestartingWalk,
    run_walk,
)

MAX_MUTANT_SEEDS = 20
"""Seeds within which a walk must find a mutant."""


@pytest.mark.parametrize(
    ("kind", "size", "seed"),
    [(ControlWalk, 3, 1), (ControlWalk, 5, 3), (RestartingWalk, 3, 0), (EmptyingWalk, 3, 2)],
)
def test_clients_of_control_vms_see_one_history(
    kind: type[ControlWalk], size: int, seed: int, capsys: pytest.CaptureFixture[str]
) -> None:
    totals: Counter[str] = Counter()
    run_walk(seed, totals, size, kind)
    with capsys.disabled():
        print(f"\n{kind.__name__}, {size} control VMs, seed {seed}: {dict(totals)}")
    assert totals["acknowledged"] > 0
    assert totals["reads"] > 0
    assert totals["late after restart"] > 0


def test_history_rejects_an_older_read_and_a_text_that_nobody_put() -> None:
    history = ConfigurationHistory()
    history.begin_put(1, b"one")
    history.begin_put(2, b"two")
    history.acknowledge(2)
    history.end_read(0, 1, b"one")
    history.end_read(history.in_effect, 2, b"two")
    with pytest.raises(HistoryViolation, match="was in effect before it"):
        history.end_read(history.in_effect, 1, b"one")
    with pytest.raises(HistoryViolation, match="nobody put"):
        history.end_read(0, 2, b"one")
    with pytest.raises(HistoryViolation, match="never put"):
        history.end_read(0, 3, b"three")


def test_history_rejects_two_texts_of_a_version() -> None:
    history = ConfigurationHistory()
    history.begin_put(1, b"one")
    history.begin_put(1, b"another")
    history.end_read(0, 1, b"one")
    with pytest.raises(HistoryViolation, match="two texts"):
        history.end_read(0, 1, b"another")


def test_history_rejects_a_follower_that_is_told_an_older_version() -> None:
    history = ConfigurationHistory()
    history.begin_put(1, b"one")
    history.begin_put(2, b"two")
    history.acknowledge(2)
    seen = FollowedVersions(history, history.in_effect)
    seen.on_confirmed()
    seen.on_version(1)
    with pytest.raises(HistoryViolation, match="before it connected"):
        seen.check_first_version()
    with pytest.raises(HistoryViolation, match="was told version 1"):
        seen.on_version(1)


def first_violation(kind: type[ControlWalk], size: int, first_seed: int) -> Exception | None:
    """Return what the first walk saw that found a violation.

    :param first_seed: a seed shortly before one that is known to find the mutant, to save time.
    """
    for seed in range(first_seed, first_seed + MAX_MUTANT_SEEDS):
        try:
            run_walk(seed, Counter(), size, kind)
        except (HistoryViolation, LivenessViolation) as violation:
            return violation
    return None


def number_requests_from_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let each run of a process number its requests from 1."""

    def add(self: PendingRequests, success: OnSuccess, failure: OnFailure, now: float) -> str:
        self.request_count += 1
        token = str(self.request_count)
        self.waiting[token] = PendingRequest(success, failure, now + REQUEST_TIMEOUT_S)
        return token

    monkeypatch.setattr(PendingRequests, "add", add)


def read_without_quorum_round(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a control VM that knows a leader answer reads from its own state."""
    submit = Voter.submit_request

    def answer_reads(
        self: Voter,
        purpose: RequestPurpose,
        command: bytes,
        success: OnSuccess,
        failure: OnFailure,
    ) -> None:
        if purpose is RequestPurpose.READ and self.leader_address:
            success(self.state.applied_index, b"")
        else:
            submit(self, purpose, command, success, failure)

    monkeypatch.setattr(Voter, "submit_request", answer_reads)


def acknowledge_before_commit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a leader acknowledge a command as soon as it is in its own log."""
    submit = Voter._submit_to_replica

    def submit_and_acknowledge(
        self: Voter, replica: Replica, purpose: RequestPurpose, token: str, command: bytes
    ) -> None:
        submit(self, replica, purpose, token, command)
        if purpose is RequestPurpose.COMMAND:
            result = RESULT_CODEC.encode(ConfigurationPut(True, 0))
            self.requests.succeed(token, replica.state.log.last_index + 1, result)

    monkeypatch.setattr(Voter, "_submit_to_replica", submit_and_acknowledge)


def confirm_followers_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a process that has confirmed its state once, also before a disk failure, confirm none."""
    on_follower_state = NodeHub._on_follower_state

    def confirm_at_once(self: NodeHub, follower: Follower, node: EntryState | AgentState) -> None:
        on_follower_state(self, follower, node)
        if any(each.confirmed for each in self.followers if each is not follower):
            follower.confirmed = True
            follower.outbox.post(DeparturesRecorded(()))
            self._send_version(follower)

    monkeypatch.setattr(NodeHub, "_on_follower_state", confirm_at_once)


def remove_by_introduction(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let an introduction from a voter's address remove the voter."""
    next_change = MembershipPlanner._next_automatic_change

    def next_change_by_address(
        self: MembershipPlanner, state: ReplicaState, now: float
    ) -> MembershipChange | None:
        newcomers = {member.address: member.replica for member in self.newcomers.values()}
        health = self.health(state, now)
        for voter in state.membership.voters:
            is_emptied = newcomers.get(voter.address, voter.replica) != voter.replica
            if is_emptied and membership_plan._has_quorum_without(state.membership, voter, health):
                return RemoveMember(voter.replica)
        return next_change(self, state, now)

    monkeypatch.setattr(MembershipPlanner, "_next_automatic_change", next_change_by_address)


@pytest.mark.parametrize(
    ("mutate", "kind", "first_seed"),
    [
        (number_requests_from_one, RestartingWalk, 0),
        (read_without_quorum_round, ControlWalk, 0),
        (acknowledge_before_commit, ControlWalk, 3),
        (confirm_followers_once, ControlWalk, 6),
        (remove_by_introduction, EmptyingWalk, 1),
    ],
)
def test_walks_find_mutants(
    mutate: Callable[[pytest.MonkeyPatch], None],
    kind: type[ControlWalk],
    first_seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    mutate(monkeypatch)
    assert first_violation(kind, 3, first_seed) is not None
