"""Plans the membership changes of the control group at its leader."""

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
    is_replaced_at_its_address,
    next_automatic_change,
    next_configured_change,
)
from bergamotchute_consensus.replica_state import ReplicaState
from bergamotchute_model.status_messages import ControlStatus, VoterStatus
from bergamotchute_state.control_state import ControlState

if TYPE_CHECKING:
    from bergamotchute_model.configuration import ConfigurationReader

MAX_LEARNERS = 3
VOTER_REMOVAL_TIMEOUT_S = 10.0
"""Silence after which a voter is removed; longer than a restart or a usual partition takes."""

LEARNER_REMOVAL_TIMEOUT_S = 60.0
"""Silence after which a learner that no file names is removed."""


@dataclass
class MembershipPlanner:
    """Chooses changes from the voters named in the files in force, and from newcomers.

    :param newcomers: replicas that introduced themselves in order to join, by identity.
    :param previous_commit_index: the commit index at the previous check, which a member that
        has caught up holds.
    :param min_voters: see :class:`~bergamotchute_daemon.voter.VoterSettings`.
    """

    newcomers: dict[str, Member] = field(default_factory=dict)
    previous_commit_index: int = 0
    latest_commit_index: int = 0
    configured_voters: frozenset[str] = frozenset()
    configured_voters_revision: int = -1
    configuration_reader: ConfigurationReader | None = None
    min_voters: int = 0

    def record_commit_index(self, state: ReplicaState) -> None:
        """Record the current commit index; keep the one of the previous call."""
        self.previous_commit_index = self.latest_commit_index
        self.latest_commit_index = state.commit_index

    def next_change(
        self, state: ReplicaState, control: ControlState, now: float
    ) -> MembershipChange | None:
        """Return the next membership change to request, if any."""
        if self.min_voters:
            return (
                self._next_automatic_change(state, now)
                or self._remove_learner(state, now)
                or self._add_newcomer(state, now)
            )
        self._read_configured_voters(control)
        return (
            next_configured_change(
                state.membership, self.configured_voters, self.health(state, now)
            )
            or self._remove_learner(state, now)
            or self._add_newcomer(state, now)
        )

    def _next_automatic_change(self, state: ReplicaState, now: float) -> MembershipChange | None:
        gone = {
            replica
            for replica, peer in state.progress_by_replica.items()
            if now - peer.last_reply_at > VOTER_REMOVAL_TIMEOUT_S
        }
        return next_automatic_change(
            state.membership, self.health(state, now), gone, self.min_voters
        )

    def health(self, state: ReplicaState, now: float) -> dict[str, MemberHealth]:
        """Return the health of every member, judged only by answers in this leader's term."""
        timeout = state.settings.election_timeout_s
        settled = max(self.previous_commit_index, state.term_start_index)
        health = {
            replica: MemberHealth(
                peer.acknowledged_round > 0 and now - peer.last_reply_at < timeout,
                peer.match_index >= settled,
                now - peer.last_reply_at >= timeout,
            )
            for replica, peer in state.progress_by_replica.items()
        }
        health[state.local_member.replica] = MemberHealth(True, True)
        return health

    def status(self, state: ReplicaState, now: float) -> ControlStatus:
        """Return the status of the control group for operators."""
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

    def _read_configured_voters(self, control: ControlState) -> None:
        if control.view_revision == self.configured_voters_revision:
            return
        self.configured_voters_revision = control.view_revision
        if self.configuration_reader is None:
            # A late import: control VMs whose voters come from seeds never load the file schema.
            from bergamotchute_model.configuration import ConfigurationReader

            self.configuration_reader = ConfigurationReader()
        merged = self.configuration_reader.read(control.files.in_force.values())
        if isinstance(merged, Ok):
            self.configured_voters = frozenset(voter.replica for voter in merged.ok_value.voters)

    def _remove_learner(self, state: ReplicaState, now: float) -> MembershipChange | None:
        """Remove a learner whose data folder was emptied, or that has been silent too long."""
        health = self.health(state, now)
        for learner in state.membership.learners:
            is_replaced = is_replaced_at_its_address(state.membership, learner, health)
            heard_at = state.progress_by_replica[learner.replica].last_reply_at
            gone = (
                learner.replica not in self.configured_voters
                and now - heard_at > LEARNER_REMOVAL_TIMEOUT_S
            )
            if is_replaced or gone:
                return RemoveMember(learner.replica)
        return None

    def _add_newcomer(self, state: ReplicaState, now: float) -> MembershipChange | None:
        """Add a replica that introduced itself, unless a member at its address still answers.

        Such an introduction is late: the process that sent it runs no longer.
        """
        health = self.health(state, now)
        for replica, member in list(self.newcomers.items()):
            del self.newcomers[replica]
            learners = [
                each for each in state.membership.learners if each.address != member.address
            ]
            is_known = state.membership.find_member(replica) is not None
            is_late = any(
                each.address == member.address and health[each.replica].reachable
                for each in state.membership.members
            )
            if not is_known and not is_late and len(learners) < MAX_LEARNERS:
                return AddLearner(member)
        return None
