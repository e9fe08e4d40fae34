"""A process that is connected to a control VM over a link."""

from __future__ import annotations

from dataclasses import dataclass

import anyio

from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import AgentState, EntryState, NodeMessage
from bergamotchute_wire.outbox import Outbox


@dataclass(eq=False)
class Follower:
    """A process connected over a link.

    :param confirmed: whether a quorum confirmed the local state since the link opened and the
        data folder was last opened.
    :param version: the newest configuration version reported to the follower.
    :param sent_text_version: the version whose text was last sent to the follower.
    :param awaits_text: whether the follower asked for a text that the local state lacked.
    :param node: the state that the follower reported; ``None`` before its first report.
    :param peer: the address of a control VM; ``None`` for an entry or agent.
    :param is_load_subscriber: whether the follower receives the loads of endpoints.
    :param accepts_prompt_evidence: whether an entry reads :class:`PromptEvidence`.
    :param accepts_rate_limits: whether the follower reads :class:`RateLimitsReported`; a control VM
        then answers :class:`RequestPermit` as well.
    :param scope: ends the serving of the link when it is cancelled.
    """

    outbox: Outbox[NodeMessage]
    scope: anyio.CancelScope
    confirmed: bool = False
    version: int = 0
    sent_text_version: int = 0
    awaits_text: bool = False
    node: EntryState | AgentState | None = None
    peer: Address | None = None
    is_load_subscriber: bool = False
    accepts_prompt_evidence: bool = False
    accepts_rate_limits: bool = False
