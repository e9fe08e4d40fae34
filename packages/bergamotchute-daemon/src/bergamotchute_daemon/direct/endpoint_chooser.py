"""Choice of the endpoint for a request: its slot there, and the permit that its rate requires."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace
from random import Random

import anyio

from bergamotchute_daemon.direct.admitted_request import AdmittedRequest, RequestRefused
from bergamotchute_daemon.direct.rate_permits import RatePermits
from bergamotchute_daemon.direct.slot_reservations import (
    Reservation,
    SlotRequest,
    SlotReservations,
)
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_policy.direct_placement import DirectPlacement, EndpointCandidate
from bergamotchute_policy.slot_queue import UNLIMITED_REQUESTS
from bergamotchute_policy.slot_search import SlotSearch, patience_s
from bergamotchute_policy.stream_pace import StreamPace

LATE_PERMIT_PATIENCE_RATIO = 0.5
"""Wait for a permit of a request that is late, as a ratio of the route's objective."""

MIN_PERMIT_PAUSE_S = 0.02
"""Shortest time until a permit is requested again after one was refused."""

LIMITED_AGENT_PAUSE_S = 0.2
"""Pause for an endpoint whose agent refuses even a request that accepts any load.

It keeps the bound of reservations in a second, see ``reservation_rate.py``.
"""

MIN_REPORTED_WAIT_S = 0.1
"""Shortest wait for a slot that the reason of a refusal mentions.

Asking the agents takes a few milliseconds, which is not worth reporting.
"""

RETRY_AFTER_JITTER_S = 0.5
"""Upper bound of the random delay that keeps callers refused together from retrying together."""


EVACUATED_RETRY_AFTER_S = 2.0
"""Delay of callers whose service has endpoints only in evacuated zones, until an operator ends that."""


@dataclass(frozen=True)
class ChosenEndpoint:
    """The endpoint that was chosen for an attempt.

    :param reservation: the slot there; ``None`` if no agent confirmed one.
    :param refusals: agents that refused a slot before.
    :param waited_s: how long the request waited for the slot, in seconds.
    :param permit_waited_s: how long it then waited for a permit to send it, in seconds.
    """

    candidate: EndpointCandidate
    reservation: Reservation | None
    refusals: int
    waited_s: float = 0.0
    permit_waited_s: float = 0.0


@dataclass
class EndpointChooser:
    """Chooses endpoints by load, agents' slots and the rates that endpoints name.

    :param endpoints: returns the endpoints of a service that this entry uses.
    :param is_evacuated: whether the endpoints of a service are all in evacuated zones.
    :param stream_paces: what this entry observed of the streams of each service.
    """

    placement: DirectPlacement
    slots: SlotReservations
    rate_permits: RatePermits
    endpoints: Callable[[str], Collection[EndpointHeartbeat]]
    random: Random
    is_evacuated: Callable[[str], bool] = lambda _: False
    stream_paces: dict[str, StreamPace] = field(default_factory=dict)

    async def choose(
        self, request: AdmittedRequest, failed_endpoints: Collection[str], is_retry: bool
    ) -> ChosenEndpoint | None:
        """Choose an endpoint that may be sent the request now; ``None`` if there is none.

        :param failed_endpoints: identifiers of the endpoints whose attempts failed.
        :param is_retry: whether the request was sent before.
        :raises RequestRefused: if every endpoint is overloaded.
        """
        while True:
            chosen = await self._reserve_slot(request, failed_endpoints, is_retry)
            if chosen is None:
                return None
            endpoint = chosen.candidate.heartbeat
            # A request waits for the rate of an endpoint only if no other one can have it now.
            is_last = self.placement.load(endpoint).permit_expected_at > anyio.current_time()
            patience_s = self._permit_patience_s(request) if is_last else 0.0
            is_sent = False
            try:
                permit = await self.rate_permits.acquire(
                    endpoint, request.metadata.request_id, patience_s
                )
                is_sent = permit.granted and (
                    not permit.wait_s or self._still_accepts_requests(request, endpoint)
                )
            finally:
                if not is_sent and chosen.reservation is not None:
                    chosen.reservation.release()
            if is_sent:
                return replace(chosen, permit_waited_s=permit.wait_s)
            if not permit.granted:
                wait_s = max(MIN_PERMIT_PAUSE_S, permit.wait_s)
                self.placement.on_permit_refused(endpoint, wait_s, anyio.current_time())

    def _permit_patience_s(self, request: AdmittedRequest) -> float:
        """Return how long a request may wait for a permit: until its response would be late.

        One that is late already waits a part of the objective, so that it is served where the rate
        leaves room.
        """
        now = anyio.current_time()
        late_patience_s = LATE_PERMIT_PATIENCE_RATIO * request.route.objective_s
        patience_s = max(self._due_at(request) - now, late_patience_s)
        return max(0.0, min(patience_s, request.deadline - now))

    def _due_at(self, request: AdmittedRequest) -> float:
        """Return when a request must be sent to meet its objective, on the runtime's clock."""
        first_event_s = self.stream_pace(request).first_event_s
        return request.first_sent_at + request.route.objective_s - first_event_s

    async def _reserve_slot(
        self, request: AdmittedRequest, failed_endpoints: Collection[str], is_retry: bool
    ) -> ChosenEndpoint | None:
        """Choose an endpoint and reserve a slot there; ``None`` if no endpoint is available.

        :raises RequestRefused: if every endpoint is overloaded.
        """
        engine = request.service.engine
        search = SlotSearch(
            self.placement, failed_endpoints, engine, is_retry, request.has_priorities
        )
        route = request.route
        first_event_s = self.stream_pace(request).first_event_s
        caller_patience_s = patience_s(route.objective_s, route.gap_objective_s)
        wait_until = min(request.deadline, request.arrived_at + caller_patience_s) - first_event_s
        while True:
            endpoints = self.endpoints(request.service.name)
            now = anyio.current_time()
            target = search.next_slot_request(
                endpoints, now, now + self._permit_patience_s(request)
            )
            if target is None:
                if not is_retry:
                    self._refuse_evacuated(request)
                return None
            endpoint = target.candidate.heartbeat
            slot_request = self._slot_request(
                request,
                endpoint,
                most=target.most,
                queue=target.queue,
                due_at=self._due_at(request),
                wait_until=wait_until,
            )
            outcome = await self.slots.reserve(endpoint.address, slot_request)
            if outcome is None:
                if not is_retry and self.placement.is_overloaded(target.candidate, engine):
                    self._refuse_overloaded(request, target.candidate.fullness, 0.0)
                return ChosenEndpoint(target.candidate, None, len(search.refused))
            self.placement.on_load_reported(endpoint, outcome.requests, anyio.current_time())
            if outcome.reservation is not None:
                if self._still_accepts_requests(request, endpoint):
                    refusals = len(search.refused)
                    return ChosenEndpoint(
                        target.candidate, outcome.reservation, refusals, outcome.waited_s
                    )
                outcome.reservation.release()
                search.on_refused(target)
                continue
            if target.most >= UNLIMITED_REQUESTS and not outcome.lacks_memory:
                self.placement.on_pause_requested(
                    endpoint, LIMITED_AGENT_PAUSE_S, anyio.current_time()
                )
            if target.is_last and is_retry:
                return None
            if target.is_last:
                self._refuse_overloaded(
                    request, outcome.requests / max(1, endpoint.slots), outcome.waited_s
                )
            search.on_refused(target, outcome.lacks_memory)

    def _slot_request(
        self,
        request: AdmittedRequest,
        endpoint: EndpointHeartbeat,
        *,
        most: int,
        queue: int,
        due_at: float,
        wait_until: float,
    ) -> SlotRequest:
        """Return a request for a slot, with what the agent needs to keep the endpoint's limits."""
        return SlotRequest(
            most,
            queue,
            due_at,
            wait_until,
            request.priority,
            self.rate_permits.cold_limits.most_per_s(endpoint.service),
            request.tokens,
            request.service.engine,
        )

    async def reserve_now(
        self, request: AdmittedRequest, candidate: EndpointCandidate
    ) -> ChosenEndpoint | None:
        """Reserve a slot that is free now and get a permit without a wait; ``None`` if there is none.

        An endpoint without an agent has no reservation. One whose agent does not answer is not used.
        """
        endpoint, now = candidate.heartbeat, anyio.current_time()
        slot_request = self._slot_request(
            request, endpoint, most=candidate.most, queue=0, due_at=now, wait_until=now
        )
        outcome = await self.slots.reserve(endpoint.address, slot_request)
        reservation = None if outcome is None else outcome.reservation
        if outcome is not None:
            self.placement.on_load_reported(endpoint, outcome.requests, anyio.current_time())
        if reservation is None and endpoint.address in self.slots.agents:
            return None
        is_granted = False
        try:
            permit = await self.rate_permits.acquire(endpoint, request.metadata.request_id, 0.0)
            is_granted = permit.granted and self._still_accepts_requests(request, endpoint)
        finally:
            if not is_granted and reservation is not None:
                reservation.release()
        if not permit.granted:
            wait_s = max(MIN_PERMIT_PAUSE_S, permit.wait_s)
            self.placement.on_permit_refused(endpoint, wait_s, anyio.current_time())
        return ChosenEndpoint(candidate, reservation, 0) if is_granted else None

    def _still_accepts_requests(
        self, request: AdmittedRequest, endpoint: EndpointHeartbeat
    ) -> bool:
        """Return whether an endpoint still accepts requests after the wait for its slot."""
        known = self.endpoints(request.service.name)
        newest = next((each for each in known if each.endpoint == endpoint.endpoint), None)
        return newest is not None and self.placement.accepts_requests(newest, anyio.current_time())

    def _refuse_evacuated(self, request: AdmittedRequest) -> None:
        """Refuse a request at once if its service can't be used until an evacuation ends.

        :raises RequestRefused: if all endpoints of the service are in evacuated zones.
        """
        if self.is_evacuated(request.service.name):
            retry_after_s = EVACUATED_RETRY_AFTER_S + RETRY_AFTER_JITTER_S * self.random.random()
            reason = "all endpoints of the service are in evacuated availability zones"
            raise RequestRefused(503, reason, retry_after_s)

    def _refuse_overloaded(
        self, request: AdmittedRequest, fullness: float, waited_s: float
    ) -> None:
        """Refuse a request because every endpoint is overloaded.

        :param fullness: requests at the least loaded endpoint, as a share of its slots.
        :param waited_s: how long the request waited for a slot, in seconds.
        :raises RequestRefused: always, with the time after which to retry.
        """
        engine = request.service.engine
        retry_after_s = (
            self.placement.random_retry_delay_s(engine)
            if engine is not None
            else RETRY_AFTER_JITTER_S
        )
        reason = f"all endpoints are full, the emptiest to {fullness:.2f}"
        if waited_s >= MIN_REPORTED_WAIT_S:
            reason += f"; waited {waited_s:.2f} s for a slot"
        raise RequestRefused(503, reason, retry_after_s)

    def seconds_until_accepting(self, request: AdmittedRequest) -> float:
        """Return the seconds until the first endpoint of a request's service accepts requests."""
        known = self.endpoints(request.service.name)
        return self.placement.seconds_until_accepting(known, anyio.current_time())

    def stream_pace(self, request: AdmittedRequest) -> StreamPace:
        """Return what this entry observed of the streams of the request's service."""
        return self.stream_paces.setdefault(request.service.name, StreamPace())
