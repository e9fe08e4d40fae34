"""What a leading voter does about the membership, once a second."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from result import Ok

from bergamotchute_consensus.membership import (
    AddLearner,
    Member,
    MembershipChange,
    RemoveMember,
)
from bergamotchute_consensus.membership_plan import (
    MemberHealth,
    can_lose,
    next_automatic_change,
    next_configured_change,
)
from bergamotchute_consensus.replica_state import ReplicaState
from bergamotchute_model.status_messages import ControlStatus, VoterStatus
from bergamotchute_state.control_state import ControlState

if TYPE_CHECKING:
    from bergamotchute_model.configuration import ConfigurationReader

LEARNERS_MAX = 3
VOTER_GONE_S = 10.0
"""Silence after which a voter is dropped; longer than restarts and usual partitions take."""

LEARNER_GONE_S = 60.0
"""A learner that no file names and that was silent for so long is dropped."""


@dataclass
class VoterPlanner:
    """Follows the voters that the files in force name, and new replicas that introduce themselves.

    :param newcomers: replicas that asked to join, by identity.
    :param settled_commit: the commit index a moment ago, which members should hold by now.
    :param fewest_voters: see :class:`~bergamotchute_daemon.voter.VoterSettings`.
    """

    newcomers: dict[str, Member] = field(default_factory=dict)
    settled_commit: int = 0
    newest_commit: int = 0
    wanted: frozenset[str] = frozenset()
    wanted_revision: int = -1
    reader: ConfigurationReader | None = None
    fewest_voters: int = 0

    def note_commit(self, state: ReplicaState) -> None:
        """Take the commit index of the last call as settled."""
        self.settled_commit = self.newest_commit
        self.newest_commit = state.commit_index

    def next_change(
        self, state: ReplicaState, control: ControlState, now: float
    ) -> MembershipChange | None:
        """Return the change to ask for, if any."""
        if self.fewest_voters:
            return (
                self._next_automatic_change(state, now)
                or self._drop_learner(state, now)
                or self._add_newcomer(state)
            )
        self._read_wanted(control)
        return (
            next_configured_change(state.membership, self.wanted, self.health(state, now))
            or self._drop_learner(state, now)
            or self._add_newcomer(state)
        )

    def _next_automatic_change(self, state: ReplicaState, now: float) -> MembershipChange | None:
        newcomers = {member.address: member.replica for member in self.newcomers.values()}
        gone = {
            replica
            for replica, peer in state.progress_by_replica.items()
            if now - peer.last_reply_at > VOTER_GONE_S
        }
        return next_automatic_change(
            state.membership, self.health(state, now), gone, newcomers, self.fewest_voters
        )

    def health(self, state: ReplicaState, now: float) -> dict[str, MemberHealth]:
        """Return what this leader knows of every member, by answers in its own term alone."""
        timeout = state.settings.election_timeout_s
        settled = max(self.settled_commit, state.term_start_index)
        health = {
            replica: MemberHealth(
                peer.acknowledged_round > 0 and now - peer.last_reply_at < timeout,
                peer.match_index >= settled,
            )
            for replica, peer in state.progress_by_replica.items()
        }
        health[state.local_member.replica] = MemberHealth(True, True)
        return health

    def status(self, state: ReplicaState, now: float) -> ControlStatus:
        """Return the state of the group for operators."""
        health = self.health(state, now)
        voters = tuple(
            VoterStatus(
                member.replica,
                str(member.address),
                state.membership.is_voter(member.replica),
                health[member.replica].reachable,
                health[member.replica].caught_up,
            )
            for member in state.membership.members
        )
        return ControlStatus(
            state.local_member.replica,
            state.term,
            state.commit_index,
            voters,
            can_lose(state.membership, health),
        )

    def _read_wanted(self, control: ControlState) -> None:
        if control.view_revision == self.wanted_revision:
            return
        self.wanted_revision = control.view_revision
        if self.reader is None:
            # Control VMs that find their voters from seeds start without the schema of files.
            from bergamotchute_model.configuration import ConfigurationReader

            self.reader = ConfigurationReader()
        merged = self.reader.read(control.files.in_force.values())
        if isinstance(merged, Ok):
            self.wanted = frozenset(voter.replica for voter in merged.ok_value.voters)

    def _drop_learner(self, state: ReplicaState, now: float) -> MembershipChange | None:
        """Drop a learner whose folder was emptied since, or that is gone."""
        replaced = {member.address: member.replica for member in self.newcomers.values()}
        for learner in state.membership.learners:
            newer = replaced.get(learner.address, learner.replica) != learner.replica
            heard_at = state.progress_by_replica[learner.replica].last_reply_at
            gone = learner.replica not in self.wanted and now - heard_at > LEARNER_GONE_S
            if newer or gone:
                return RemoveMember(learner.replica)
        return None

    def _add_newcomer(self, state: ReplicaState) -> MembershipChange | None:
        for replica, member in list(self.newcomers.items()):
            del self.newcomers[replica]
            known = state.membership.find_member(replica) is not None
            if not known and len(state.membership.learners) < LEARNERS_MAX:
                return AddLearner(member)
        return None
