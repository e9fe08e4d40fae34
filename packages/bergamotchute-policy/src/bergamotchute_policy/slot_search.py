"""Which agents a request asks for a slot, one after the other.

Load pattern: at a crest what an entry knows of the load is a moment old, and several entries pick
the same endpoint. An agent that refuses says how full its endpoint is, so the next pick knows more.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_policy.direct_placement import Candidate, DirectPlacement

MOST_ASKS = 4
"""Agents that may refuse before a request takes the best endpoint as full as it is.

Each costs a round trip of about 2 ms; at a crest of the users 2% of the requests needed more.
"""


@dataclass
class SlotSearch:
    """The search of one request.

    :param avoided: identifiers of endpoints that failed it.
    :param refused: identifiers of endpoints whose agents refused a slot.
    """

    placement: DirectPlacement
    avoided: Collection[str]
    refused: set[str] = field(default_factory=set)

    def next(self, endpoints: Iterable[EndpointHeartbeat], now: float) -> Candidate | None:
        """Return whom to ask next; ``None`` when no endpoint can be used.

        An endpoint that is still the best choice after its agent refused, or that comes up after
        :data:`MOST_ASKS` refusals, is wanted with any number of requests.
        """
        chosen = self.placement.choose(endpoints, self.avoided, now)
        if chosen is None:
            return None
        if chosen.heartbeat.endpoint in self.refused or len(self.refused) >= MOST_ASKS:
            return replace(chosen, most=None)
        return chosen

    def on_refused(self, chosen: Candidate) -> None:
        """Note that an agent refused a slot."""
        self.refused.add(chosen.heartbeat.endpoint)
