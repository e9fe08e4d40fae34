"""The order in which a request asks agents for a slot, and the endpoint where it queues.

At peak load an entry's view of the load is slightly out of date, and several entries pick the same
endpoint. An agent that refuses reports the load of its endpoint, which improves the next choice.
When all endpoints are full, the request queues at the endpoint with the shortest queue if it can
start there before its caller gives up; otherwise it is rejected at once.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.versioned_configuration import EnginePerformance
from bergamotchute_policy.direct_placement import DirectPlacement, EndpointCandidate
from bergamotchute_policy.engine_model import request_duration_s
from bergamotchute_policy.slot_queue import UNLIMITED_REQUESTS

MAX_REFUSALS = 4
"""Refusals after which a request queues at the best endpoint.

Each refusal costs a round trip of about 2 ms; at peak load in production 2% of the requests needed
more than this.
"""

MIN_PATIENCE_S = 2.0
PATIENCE_PER_OBJECTIVE = 4.0
PATIENCE_PER_PAUSE = 8.0
"""Callers give up a stream without a first event after the longest of three times: a minimum, a
multiple of their objective for the first event, and a multiple of the longest pause between events
that their objective allows."""

MAX_QUEUE_WAIT_S = 1.2
"""Limits a queue to the requests that an engine starts in this time. Queued requests then start
before :data:`MIN_PATIENCE_S` even when requests that are still in time overtake them."""


def patience_s(objective_s: float, pause_s: float) -> float:
    """Return how long a caller waits for the first event of a stream, in seconds.

    :param objective_s: the caller's objective for the first event.
    :param pause_s: the longest pause between events that meets the caller's objective.
    """
    return max(MIN_PATIENCE_S, PATIENCE_PER_OBJECTIVE * objective_s, PATIENCE_PER_PAUSE * pause_s)


def max_queue_length(engine: EnginePerformance) -> int:
    """Return the maximum number of requests that may queue for an endpoint."""
    return max(1, int(MAX_QUEUE_WAIT_S * engine.slots / request_duration_s(engine, engine.slots)))


@dataclass(frozen=True)
class SlotRequest:
    """A request for a slot, addressed to the agent of an endpoint.

    :param most: maximum number of other requests at the endpoint for the slot to be taken.
    :param queue: maximum length of the queue that the request may join; 0 if it must not queue.
    :param is_last: whether the search ends with this request.
    """

    candidate: EndpointCandidate
    most: int
    queue: int = 0
    is_last: bool = False


@dataclass
class SlotSearch:
    """The search of one request for a slot.

    :param avoided: identifiers of endpoints that failed the request.
    :param engine: the engine's figures; ``None`` when they are unknown.
    :param is_retry: whether the request was sent before; it then takes the best endpoint, whatever
        the endpoint's load.
    :param has_priorities: whether the requests of the service have different priorities.
    :param refused: identifiers of endpoints whose agents refused a slot.
    :param without_memory: those of them where the request did not fit into the memory.
    """

    placement: DirectPlacement
    avoided: Collection[str]
    engine: EnginePerformance | None
    is_retry: bool = False
    has_priorities: bool = False
    refused: set[str] = field(default_factory=set)
    without_memory: set[str] = field(default_factory=set)

    def next_slot_request(
        self,
        endpoints: Collection[EndpointHeartbeat],
        now: float,
        latest_permit_at: float = float("-inf"),
    ) -> SlotRequest | None:
        """Return the next slot request to send; ``None`` when no endpoint can be used.

        :param latest_permit_at: until when the request can wait for the rate of an endpoint to
            leave room, on the runtime's clock.

        The search ends with an endpoint that is still the best choice after its agent refused, or
        that is chosen after :data:`MAX_REFUSALS` refusals.
        """
        chosen = None
        if self.without_memory:
            # Their load in requests would make them the best choice again.
            avoided = {*self.avoided, *self.without_memory}
            chosen = self.placement.select_endpoint(endpoints, avoided, now)
        if chosen is None:
            chosen = self.placement.select_endpoint(endpoints, self.avoided, now)
        if chosen is None:
            chosen = self.placement.select_by_permit(endpoints, self.avoided, now, latest_permit_at)
        if chosen is None:
            return None
        if chosen.heartbeat.endpoint not in self.refused and len(self.refused) < MAX_REFUSALS:
            return SlotRequest(chosen, chosen.most)
        queue = max_queue_length(self.engine) if self.engine is not None else 0
        if self.is_retry or self.engine is None:
            return SlotRequest(chosen, UNLIMITED_REQUESTS, queue, is_last=True)
        # Allow one request more than there are slots: the engine starts it in the pass after
        # another request ends. Without it, the value of the served requests was lower on each of
        # six replayed days of production load. A limit that leaves slots free has no such gap.
        # Where priorities differ, the engine would start that request in order of arrival, before a
        # more urgent one that comes later.
        capacity = self.placement.capacity(chosen.heartbeat, now)
        has_extra_place = capacity >= chosen.heartbeat.slots and not self.has_priorities
        most = capacity if has_extra_place else capacity - 1
        return SlotRequest(chosen, most, queue, is_last=True)

    def on_refused(self, slot_request: SlotRequest, lacks_memory: bool = False) -> None:
        """Record that an agent refused a slot."""
        endpoint = slot_request.candidate.heartbeat.endpoint
        self.refused.add(endpoint)
        if lacks_memory:
            self.without_memory.add(endpoint)
