"""A control VM's share in the permits to send requests to endpoints that name a limit.

The schedule of each endpoint is held by one control VM, which all others compute from the members
of the group. An entry asks any of them; the one that is asked passes the request on.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import anyio

from bergamotchute_daemon.link_set import LinkSet
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import NodeMessage
from bergamotchute_model.rate_limits import PermitAnswer, RequestPermit
from bergamotchute_policy.permit_schedule import PermitSchedule, choose_permit_host
from bergamotchute_wire.outbox import Outbox

MAX_FORWARDED_REQUESTS = 4_096
"""Requests that wait for another control VM; entries give up the oldest long before."""


@dataclass
class PermitServer:
    """Answers requests for permits, or passes them on to the control VM that can.

    :param address: link address of this control VM.
    :param peers: links to the other control VMs.
    :param forwarded: who asked, and the number of the request there, by the number passed on.
    """

    address: Address
    peers: LinkSet
    schedule: PermitSchedule = field(default_factory=PermitSchedule)
    forwarded: OrderedDict[int, tuple[Outbox[NodeMessage], int]] = field(
        default_factory=OrderedDict
    )
    forwarded_count: int = 0
    granted_count: int = 0
    refused_count: int = 0

    def on_entry_request(
        self, sender: Outbox[NodeMessage], request: RequestPermit, members: Iterable[Address]
    ) -> None:
        """Answer an entry's request, or pass it on.

        :param members: the control VMs that answer requests for permits, with this one.
        """
        reachable = [
            each for each in members if each == self.address or each in self.peers.outboxes
        ]
        host = choose_permit_host(request.endpoint, reachable)
        if host is None:
            return
        if host == self.address:
            self.answer_request(sender, request)
            return
        self.forwarded_count += 1
        self.forwarded[self.forwarded_count] = (sender, request.number)
        if len(self.forwarded) > MAX_FORWARDED_REQUESTS:
            self.forwarded.popitem(last=False)
        self.peers.post(host, replace(request, number=self.forwarded_count))

    def answer_request(self, sender: Outbox[NodeMessage], request: RequestPermit) -> None:
        """Answer a request for a permit of a schedule that this control VM holds."""
        permit = self.schedule.request_permit(request, anyio.current_time())
        if permit.granted:
            self.granted_count += 1
        else:
            self.refused_count += 1
        sender.post(PermitAnswer(request.number, permit.granted, permit.wait_s))

    def on_peer_answer(self, answer: PermitAnswer) -> None:
        """Pass the answer of another control VM on to the entry that asked."""
        forwarded = self.forwarded.pop(answer.number, None)
        if forwarded is not None:
            sender, number = forwarded
            sender.post(replace(answer, number=number))

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        return {
            "permits_granted_total": float(self.granted_count),
            "permits_refused_total": float(self.refused_count),
            "permits_forwarded_total": float(self.forwarded_count),
        }
