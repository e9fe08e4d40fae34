"""Load, speed and health of the endpoints of one service as one entry sees them."""

from __future__ import annotations

from enum import StrEnum

from bergamotchute_model.attempt_messages import EndpointLoad
from bergamotchute_model.membership import EndpointAnnouncement
from bergamotchute_policy.demand_rate import DemandRate
from bergamotchute_policy.endpoint_record import EndpointRecord
from bergamotchute_policy.scheduling_settings import SchedulingSettings
from bergamotchute_policy.work import RequestSize, Work

DEFAULT_SPEED_TOKENS_PER_S = 30.0


class AttemptOutcome(StrEnum):
    """How an attempt ended, as it affects the health of its endpoint."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"


class EndpointTracker:
    """Tracks the load, speed, health and remaining capacity of each endpoint.

    Pass it each announcement, lapse, load report, dispatch and end of an attempt. Messages may
    arrive in any order: those of an earlier incarnation and outdated ones are ignored.
    """

    def __init__(self, settings: SchedulingSettings) -> None:
        self.settings = settings
        self.records: dict[str, EndpointRecord] = {}
        self.short_demand = DemandRate(settings.demand_horizon_s)
        self.long_share = settings.long_share
        self.drained_endpoints: frozenset[str] = frozenset()
        self.mean_speed_tokens_per_s = DEFAULT_SPEED_TOKENS_PER_S
        self.has_speed_sample = False

    def on_announcement(self, announcement: EndpointAnnouncement, now: float) -> None:
        """Add an endpoint or update its record.

        A new incarnation starts with an empty record, as attempts sent to the earlier incarnation
        are lost.
        """
        record = self.records.get(announcement.endpoint)
        if record is None or record.incarnation != announcement.incarnation:
            record = EndpointRecord(
                announcement.endpoint,
                announcement.incarnation,
                announcement.availability_zone,
                max(1, announcement.slots),
                slow_start_at=now,
            )
            self.records[announcement.endpoint] = record
        if announcement.sequence <= record.announcement_sequence:
            return
        record.announcement_sequence = announcement.sequence
        record.availability_zone = announcement.availability_zone
        record.draining = record.draining or announcement.draining

    def on_announcement_lapsed(self, endpoint: str) -> None:
        """Remove an endpoint whose announcement lapsed."""
        self.records.pop(endpoint, None)

    def on_draining(self, endpoint: str, incarnation: str) -> None:
        """Send no more work to this incarnation, even if later announcements omit draining."""
        record = self.find_incarnation(endpoint, incarnation)
        if record is not None:
            record.draining = True

    def set_drained_endpoints(self, endpoints: frozenset[str]) -> None:
        """Replace the set of endpoints that the configuration files in force drain."""
        self.drained_endpoints = endpoints

    def on_load_report(self, load: EndpointLoad, now: float) -> None:
        """Apply a load report unless it is outdated or of another incarnation."""
        record = self.find_incarnation(load.endpoint, load.incarnation)
        if record is not None and load.sequence > record.report_sequence:
            record.apply_load_report(load, now)

    def on_dispatch(self, endpoint: str, work: Work, now: float) -> None:
        """Count an attempt that is being dispatched to an endpoint.

        :raises KeyError: if the endpoint has no record.
        """
        self.records[endpoint].add_attempt(work, now)

    def on_finish(
        self,
        endpoint: str,
        incarnation: str,
        request_id: str,
        outcome: AttemptOutcome,
        *,
        now: float,
        tokens: float = 0.0,
    ) -> None:
        """Record the end of an attempt.

        :param tokens: tokens that a completed attempt generated; 0 if unknown.
        """
        record = self.find_incarnation(endpoint, incarnation)
        attempt = record.remove_attempt(request_id) if record is not None else None
        if record is None or attempt is None:
            return
        if outcome is AttemptOutcome.COMPLETED:
            record.consecutive_failures = 0
            record.consecutive_ejections = 0
            self._record_speed(record, tokens, now - attempt.sent_at)
        elif outcome is AttemptOutcome.FAILED:
            record.consecutive_failures += 1
            self._eject_if_outlier(record, now)

    def find_incarnation(self, endpoint: str, incarnation: str) -> EndpointRecord | None:
        """Return the record of an endpoint if it is of the given incarnation."""
        record = self.records.get(endpoint)
        if record is None or record.incarnation != incarnation:
            return None
        return record

    def records_with_capacity(
        self, size: RequestSize, now: float, spare: bool = True
    ) -> list[EndpointRecord]:
        """Return the endpoints that can take a request of this size now.

        A short request goes to endpoints with a free slot; if there are none, to endpoints that
        may hold more attempts than they have slots.

        :param spare: whether a short request may exceed the slots. The slots guaranteed to this
            entry are available in any case.
        """
        usable = self.usable_records(now)
        if size is RequestSize.LONG:
            self._update_long_share(usable, now)
            return [record for record in usable if self._has_long_capacity(record, now)]
        free = [record for record in usable if self._has_free_slot(record, now)]
        if free:
            return free
        overcommit = self.settings.overcommit if spare else 0
        return [
            record for record in usable if self._has_overcommit_capacity(record, overcommit, now)
        ]

    def usable_records(self, now: float) -> list[EndpointRecord]:
        """Return the endpoints that are neither draining nor ejected."""
        stale_before = now - self.settings.report_max_age_s
        usable = []
        for record in self.records.values():
            if (
                record.draining
                or record.ejected_until > now
                or record.endpoint in self.drained_endpoints
            ):
                continue
            if record.other_attempts and record.reported_at < stale_before:
                record.clear_other_attempts()
            usable.append(record)
        self._estimate_other_attempts(usable)
        return usable

    def estimated_speed(self, record: EndpointRecord) -> float:
        """Return an endpoint's speed in tokens per second; the overall mean while unknown."""
        return record.speed_tokens_per_s or self.mean_speed_tokens_per_s

    def long_attempt_limit(self, record: EndpointRecord) -> int:
        """Return the maximum number of long attempts at an endpoint, at least one."""
        return max(1, int(record.slots * self.long_share))

    def queue_drain_tokens_per_s(self, size: RequestSize, now: float) -> float:
        """Return the tokens per second at which this entry's queue of one size is likely to drain."""
        tokens_per_s = 0.0
        for record in self.usable_records(now):
            if size is RequestSize.LONG:
                # Uses the configured share: self.long_share is reduced during peak load, which
                # ends while long work waits.
                slots = max(1.0, record.slots * self.settings.long_share)
            else:
                slots = max(1.0, record.slots - record.long_in_flight - record.other_long_attempts)
            tokens_per_s += slots / record.entries * self.estimated_speed(record)
        return tokens_per_s

    def _update_long_share(self, usable: list[EndpointRecord], now: float) -> None:
        """Limit long work to the capacity left by short demand plus its headroom."""
        capacity_tokens_per_s = (
            sum(record.slots / record.entries for record in usable) * self.mean_speed_tokens_per_s
        )
        if not capacity_tokens_per_s:
            return
        settings = self.settings
        reserved = (
            settings.short_headroom * self.short_demand.tokens_per_s(now) / capacity_tokens_per_s
        )
        self.long_share = min(settings.long_share, max(settings.min_long_share, 1.0 - reserved))

    def _estimate_other_attempts(self, records: list[EndpointRecord]) -> None:
        """Estimate the present attempts of other entries from their last load reports.

        Long attempts are still running when a report arrives. Short ones have mostly ended and
        been replaced by attempts at any endpoint, so their number is moved towards the mean of
        all endpoints, weighted by slots.
        """
        slots = sum(record.slots for record in records)
        short = sum(record.other_attempts - record.other_long_attempts for record in records)
        mean_short_per_slot = short / slots if slots else 0.0
        memory = self.settings.report_retention_ratio
        for record in records:
            own_short = record.other_attempts - record.other_long_attempts
            expected_short = mean_short_per_slot * record.slots
            record.expected_other_attempts = (
                record.other_long_attempts + expected_short + memory * (own_short - expected_short)
            )

    def _has_free_slot(self, record: EndpointRecord, now: float) -> bool:
        """Return whether an attempt would start at once, as far as this entry can tell."""
        return record.busy() < record.attempt_limit(now, self.settings.slow_start_s)

    def _has_overcommit_capacity(self, record: EndpointRecord, overcommit: int, now: float) -> bool:
        """Return whether a short request fits the overcommit or the entry's guaranteed slots."""
        limit = record.attempt_limit(now, self.settings.slow_start_s)
        if record.busy() < limit + overcommit:
            return True
        return len(record.in_flight) < min(limit, record.guaranteed_slots())

    def _has_long_capacity(self, record: EndpointRecord, now: float) -> bool:
        """Return whether a long request fits both the slots and the limit for long attempts."""
        long_attempt_limit = self.long_attempt_limit(record)
        if record.long_in_flight >= long_attempt_limit:
            return False
        limit = record.attempt_limit(now, self.settings.slow_start_s)
        if (
            record.busy() < limit
            and record.long_in_flight + record.other_long_attempts < long_attempt_limit
        ):
            return True
        guaranteed_long = max(1, long_attempt_limit // record.entries)
        return record.long_in_flight < guaranteed_long and len(record.in_flight) < min(
            limit, record.guaranteed_slots()
        )

    def _record_speed(self, record: EndpointRecord, tokens: float, elapsed_s: float) -> None:
        """Update the speed of the endpoint and the overall mean with a completed attempt."""
        record.record_speed(tokens, elapsed_s)
        if tokens <= 0 or elapsed_s <= 0:
            return
        if not self.has_speed_sample:
            self.mean_speed_tokens_per_s = tokens / elapsed_s
            self.has_speed_sample = True
        else:
            self.mean_speed_tokens_per_s += 0.02 * (
                tokens / elapsed_s - self.mean_speed_tokens_per_s
            )

    def _eject_if_outlier(self, record: EndpointRecord, now: float) -> None:
        """Eject a repeatedly failing endpoint unless over half of the endpoints would be out."""
        if record.consecutive_failures < self.settings.failures_before_ejection:
            return
        ejected = sum(1 for other in self.records.values() if other.ejected_until > now)
        if (ejected + 1) * 2 <= len(self.records):
            record.eject(now, self.settings.first_ejection_s)
