"""The scheduler of one service at one entry: admission queue and endpoint selection."""

from __future__ import annotations

from random import Random

from bergamotchute_model.attempt_messages import EndpointLoad
from bergamotchute_model.membership import EndpointAnnouncement
from bergamotchute_model.problem import ProblemCode
from bergamotchute_policy.admission_queue import AdmissionQueue
from bergamotchute_policy.endpoint_picker import pick_endpoint
from bergamotchute_policy.endpoint_record import EndpointRecord
from bergamotchute_policy.endpoint_tracker import AttemptOutcome, EndpointTracker
from bergamotchute_policy.prefix_hints import PrefixCacheEvent, PrefixHints
from bergamotchute_policy.scheduling_settings import SchedulingSettings
from bergamotchute_policy.work import Decision, Dispatch, RequestSize, Work

MAX_TICK_INTERVAL_S = 0.1
LONG_PRIORITY_OFFSET = 100


class ServiceScheduler:
    """Decides where and when the requests of one service run.

    Every method that may free capacity returns the resulting decisions in order. Each offered
    request gets exactly one decision, unless :meth:`cancel` withdraws it; until then it waits.
    Execute each :class:`Dispatch` at once and report its end by :meth:`on_finish`, whatever the
    outcome; to retry, :meth:`offer` the request again. When :meth:`next_deadline` returns a time,
    call :meth:`on_tick` at that time.

    :param availability_zone: the zone of this entry.
    :param random: the source of all random choices.
    :param weights: fair-share weight of each team; other teams have weight 1.
    """

    def __init__(
        self,
        availability_zone: str,
        random: Random,
        settings: SchedulingSettings | None = None,
        weights: dict[str, float] | None = None,
    ) -> None:
        self.availability_zone = availability_zone
        self.random = random
        self.settings = settings or SchedulingSettings()
        self.endpoint_tracker = EndpointTracker(self.settings)
        self.prefix_hints = PrefixHints()
        self.queue = AdmissionQueue(self.settings, weights)

    def offer(self, work: Work, now: float) -> list[Decision]:
        """Accept a request: it is dispatched, refused or queued.

        When the queue is full, a request of the team with most queued work is refused instead.

        :raises ValueError: when a request with this identifier is already queued.
        """
        if work.size is RequestSize.SHORT:
            self.endpoint_tracker.short_demand.add(work.expected_tokens, now)
        if not self.queue.has_waiting(work.size):
            endpoint = self._select_endpoint(work, now)
            if endpoint is not None:
                self.queue.charge(work)
                return [self._dispatch(work, endpoint, now)]
        decisions: list[Decision] = []
        drain_tokens_per_s = self.endpoint_tracker.queue_drain_tokens_per_s(work.size, now)
        decisions.extend(
            self.queue.offer(
                work, drain_tokens_per_s, self.endpoint_tracker.mean_speed_tokens_per_s, now
            )
        )
        decisions.extend(self.on_tick(now))
        return decisions

    def cancel(self, request_id: str) -> bool:
        """Drop a queued request whose caller gave up; return whether it was queued.

        A request that is already dispatched is cancelled at its endpoint, not here.
        """
        return self.queue.remove(request_id) is not None

    def on_announcement(self, announcement: EndpointAnnouncement, now: float) -> list[Decision]:
        """Add an endpoint, or update what is known of it."""
        self.endpoint_tracker.on_announcement(announcement, now)
        return self.on_tick(now)

    def on_lapse(self, endpoint: str) -> None:
        """Remove an endpoint whose announcement lapsed."""
        self.endpoint_tracker.on_announcement_lapsed(endpoint)
        self.prefix_hints.on_endpoint_lapsed(endpoint)

    def on_draining(self, endpoint: str, incarnation: str) -> None:
        """Send no more work to this incarnation of an endpoint, whatever it announces later."""
        self.endpoint_tracker.on_draining(endpoint, incarnation)

    def on_drains(self, endpoints: frozenset[str], now: float) -> list[Decision]:
        """Send no more work to the endpoints that the files in force drain; others may work."""
        self.endpoint_tracker.set_drained_endpoints(endpoints)
        return self.on_tick(now)

    def on_settings(self, settings: SchedulingSettings) -> None:
        """Apply settings, effective from the next decision."""
        self.settings = settings
        self.endpoint_tracker.settings = settings
        self.queue.settings = settings

    def on_load_report(self, load: EndpointLoad, now: float) -> list[Decision]:
        """Process a load report, which may arrive late."""
        self.endpoint_tracker.on_load_report(load, now)
        return self.on_tick(now)

    def on_cache_event(self, event: PrefixCacheEvent, now: float) -> None:
        """Process an event of an engine's prefix cache; events may arrive late or be missing."""
        self.prefix_hints.on_cache_event(event, now)

    def on_finish(
        self, dispatch: Dispatch, finish: AttemptOutcome, now: float, tokens: float = 0.0
    ) -> list[Decision]:
        """Record the end of an attempt.

        :param tokens: tokens that a completed attempt generated; 0 when unknown.
        """
        request_id = dispatch.work.request_id
        self.endpoint_tracker.on_finish(
            dispatch.endpoint, dispatch.incarnation, request_id, finish, now=now, tokens=tokens
        )
        return self.on_tick(now)

    def on_tick(self, now: float) -> list[Decision]:
        """Refuse requests that can no longer be served, and dispatch those that have room."""
        if not len(self.queue):
            return []
        decisions: list[Decision] = list(self.queue.expire(now))
        blocked: set[RequestSize] = set()
        while (size := self.queue.next_size(blocked)) is not None:
            work = self.queue.peek(size)
            endpoint = self._select_endpoint(work, now)
            if endpoint is None:
                blocked.add(size)
                continue
            self.queue.take(work)
            decisions.append(self._dispatch(work, endpoint, now))
        return decisions

    def refuse_waiting(self, code: ProblemCode, detail: str) -> list[Decision]:
        """Refuse all queued requests, as when the entry stops or its view lease lapses."""
        return list(self.queue.clear(code, detail))

    def next_deadline(self, now: float) -> float | None:
        """Return when to call :meth:`on_tick`; ``None`` while the queue is empty."""
        deadline = self.queue.next_deadline()
        return None if deadline is None else max(now, min(deadline, now + MAX_TICK_INTERVAL_S))

    def _select_endpoint(self, work: Work, now: float) -> EndpointRecord | None:
        """Return an endpoint with room for the request.

        A team with further queued requests gets no room beyond the slots: its work would fill the
        engines' queues ahead of teams that send rarely.
        """
        spare = not self.queue.has_backlog(work)
        return pick_endpoint(
            self.endpoint_tracker,
            work,
            self.availability_zone,
            self.random,
            now,
            spare=spare,
            hints=self.prefix_hints,
        )

    def _dispatch(self, work: Work, endpoint: EndpointRecord, now: float) -> Dispatch:
        """Count the request at its endpoint and return the decision."""
        self.endpoint_tracker.on_dispatch(endpoint.endpoint, work, now)
        if work.prefix_hash:
            self.prefix_hints.on_dispatch(
                work.prefix_hash, endpoint.endpoint, endpoint.incarnation, now
            )
        offset = LONG_PRIORITY_OFFSET if work.size is RequestSize.LONG else 0
        return Dispatch(work, endpoint.endpoint, endpoint.incarnation, work.priority + offset)
