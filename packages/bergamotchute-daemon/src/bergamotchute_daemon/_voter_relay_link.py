"""The links from relays to a voter: leases, views, commands and status."""

from __future__ import annotations

from bergamotchute_consensus.membership import Member
from bergamotchute_consensus.messages import RequestPurpose
from bergamotchute_daemon._voter_state import COMMAND_CODEC, RESULT_CODEC
from bergamotchute_daemon.voter import STATUS_CODEC, VIEW_LEASE_S, Voter
from bergamotchute_model.control_messages import (
    ControlMessage,
    LeaseGrant,
    ProposalFailed,
    Propose,
    Proposed,
    RenewLease,
    Subscribe,
)
from bergamotchute_model.status_messages import QueryStatus, StatusReport
from bergamotchute_wire.link import Link
from bergamotchute_wire.outbox import Outbox, open_outbox


async def serve_relay(voter: Voter, link: Link[ControlMessage]) -> None:
    """Serve one relay until its link closes."""
    async with open_outbox(link) as outbox:
        try:
            while True:
                _on_message(voter, outbox, await link.receive())
        finally:
            voter.state.remove_follower(outbox)


def _on_message(voter: Voter, outbox: Outbox[ControlMessage], message: ControlMessage) -> None:
    match message:
        case RenewLease():
            _on_renew_lease(voter, outbox, message)
        case Subscribe():
            voter.state.add_follower(outbox, message.revision)
        case Propose():
            _on_propose(voter, outbox, message)
        case QueryStatus():
            _on_query_status(voter, outbox, message)
        case _:
            pass


def _on_renew_lease(voter: Voter, outbox: Outbox[ControlMessage], message: RenewLease) -> None:
    """Grant a lease once a quorum round that starts now confirms the view; else do nothing."""

    def grant(_: int, __: bytes) -> None:
        voter.state.send_changes()
        outbox.post(LeaseGrant(message.number, VIEW_LEASE_S, voter.state.state.view_revision))

    voter.submit_request(RequestPurpose.READ, b"", grant, lambda *_: None)


def _on_propose(voter: Voter, outbox: Outbox[ControlMessage], message: Propose) -> None:
    """Commit a command, locally or through the leader, and answer with its result."""

    def answer(index: int, result: bytes) -> None:
        decoded = RESULT_CODEC.decode(result)
        outbox.post(Proposed(message.proposal_id, index, decoded))

    def refuse(committed_maybe: bool, leader: Member | None) -> None:
        address = leader.address if leader else None
        failed = ProposalFailed(
            message.proposal_id,
            committed_maybe,
            "no leader confirmed the command; send it again",
            address,
        )
        outbox.post(failed)

    voter.submit_request(
        RequestPurpose.COMMAND, COMMAND_CODEC.encode(message.command), answer, refuse
    )


def _on_query_status(voter: Voter, outbox: Outbox[ControlMessage], message: QueryStatus) -> None:
    """Report the leader's view of the control group."""

    def answer(_: int, result: bytes) -> None:
        outbox.post(StatusReport(message.query_id, control=STATUS_CODEC.decode(result)))

    def refuse(_: bool, __: Member | None) -> None:
        outbox.post(StatusReport(message.query_id))

    voter.submit_request(RequestPurpose.STATUS, b"", answer, refuse)
