"""What one entry knows of the endpoints of one service."""

from __future__ import annotations

from enum import StrEnum

from bergamotchute_model.attempt_messages import EndpointLoad
from bergamotchute_model.membership import EndpointAnnouncement
from bergamotchute_policy.demand import DemandRate
from bergamotchute_policy.endpoint_record import EndpointRecord
from bergamotchute_policy.scheduling_settings import SchedulingSettings
from bergamotchute_policy.work import Size, Work

DEFAULT_SPEED_TOKENS_S = 30.0


class Finish(StrEnum):
    """How an attempt ended, for the health of its endpoint."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"


class EndpointBook:
    """Keeps a record of each endpoint: its load, speed and health, and its room for more work.

    Feed it each announcement, lapse, load report, dispatch and end of an attempt. It never counts
    on the order of messages: those of an earlier incarnation, and late ones, change nothing.
    """

    def __init__(self, settings: SchedulingSettings) -> None:
        self.settings = settings
        self.records: dict[str, EndpointRecord] = {}
        self.short_demand = DemandRate(settings.demand_horizon_s)
        self.long_share = settings.long_share
        self.drained: frozenset[str] = frozenset()
        self.mean_speed = DEFAULT_SPEED_TOKENS_S
        self.speed_known = False

    def on_announcement(self, announcement: EndpointAnnouncement, now: float) -> None:
        """Take an endpoint into the book, or renew what is known of it.

        A new incarnation starts with an empty record: attempts sent to the earlier one are gone.
        """
        record = self.records.get(announcement.endpoint)
        if record is None or record.incarnation != announcement.incarnation:
            record = EndpointRecord(
                announcement.endpoint,
                announcement.incarnation,
                announcement.availability_zone,
                max(1, announcement.slots),
                since=now,
            )
            self.records[announcement.endpoint] = record
        if announcement.sequence <= record.announcement_sequence:
            return
        record.announcement_sequence = announcement.sequence
        record.availability_zone = announcement.availability_zone
        record.draining = record.draining or announcement.draining

    def on_lapse(self, endpoint: str) -> None:
        """Forget an endpoint whose announcement lapsed."""
        self.records.pop(endpoint, None)

    def on_draining(self, endpoint: str, incarnation: str) -> None:
        """Send no more work to this life of an endpoint, whatever it announces later."""
        record = self.find(endpoint, incarnation)
        if record is not None:
            record.draining = True

    def on_drains(self, endpoints: frozenset[str]) -> None:
        """Send no more work to the endpoints that the files in force drain: all others may work."""
        self.drained = endpoints

    def on_load_report(self, load: EndpointLoad, now: float) -> None:
        """Take a load report; one that is out of order or of another incarnation is ignored."""
        record = self.find(load.endpoint, load.incarnation)
        if record is not None and load.sequence > record.report_sequence:
            record.read_report(load, now)

    def on_dispatch(self, endpoint: str, work: Work, now: float) -> None:
        """Count an attempt that is being sent to an endpoint of the book.

        :raises KeyError: when the endpoint is not in the book.
        """
        self.records[endpoint].add(work, now)

    def on_finish(
        self,
        endpoint: str,
        incarnation: str,
        request_id: str,
        finish: Finish,
        *,
        now: float,
        tokens: float = 0.0,
    ) -> None:
        """Take the end of an attempt.

        :param tokens: what a completed attempt really generated; 0 where it is not known.
        """
        record = self.find(endpoint, incarnation)
        attempt = record.remove(request_id) if record is not None else None
        if record is None or attempt is None:
            return
        if finish is Finish.COMPLETED:
            record.failures = 0
            record.ejections = 0
            self._learn_speed(record, tokens, now - attempt.sent_at)
        elif finish is Finish.FAILED:
            record.failures += 1
            self._eject_if_outlier(record, now)

    def find(self, endpoint: str, incarnation: str) -> EndpointRecord | None:
        """Return the record of this life of an endpoint, if it is the one in the book."""
        record = self.records.get(endpoint)
        if record is None or record.incarnation != incarnation:
            return None
        return record

    def with_room(self, size: Size, now: float, spare: bool = True) -> list[EndpointRecord]:
        """Return the endpoints that can take a request of this size now.

        Those with a free slot; when there are none, those that may hold more than their slots.

        :param spare: whether a short request may take such room; the entry's even share of each
            endpoint is its own in any case.
        """
        usable = self.usable(now)
        if size is Size.LONG:
            self._set_long_share(usable, now)
            return [record for record in usable if self._has_long_room(record, now)]
        free = [record for record in usable if self._has_free_slot(record, now)]
        if free:
            return free
        overcommit = self.settings.overcommit if spare else 0
        return [record for record in usable if self._has_spare_room(record, overcommit, now)]

    def usable(self, now: float) -> list[EndpointRecord]:
        """Return the endpoints that are neither draining nor ejected."""
        stale = now - self.settings.report_stale_s
        usable = []
        for record in self.records.values():
            if record.draining or record.ejected_until > now or record.endpoint in self.drained:
                continue
            if record.others and record.reported_at < stale:
                record.forget_others()
            usable.append(record)
        self._expect_others(usable)
        return usable

    def speed_of(self, record: EndpointRecord) -> float:
        """Return an endpoint's speed in tokens a second, or the mean while it is unknown."""
        return record.speed or self.mean_speed

    def long_limit(self, record: EndpointRecord) -> int:
        """Return how many long attempts an endpoint may hold, at least one."""
        return max(1, int(record.slots * self.long_share))

    def drain_rate(self, size: Size, now: float) -> float:
        """Return the tokens a second that this entry's queue of one size can hope for."""
        rate = 0.0
        for record in self.usable(now):
            if size is Size.LONG:
                # The limit of the moment is that of a crest, which passes while long work waits.
                slots = max(1.0, record.slots * self.settings.long_share)
            else:
                slots = max(1.0, record.slots - record.long_in_flight - record.others_long)
            rate += slots / record.entries * self.speed_of(record)
        return rate

    def _set_long_share(self, usable: list[EndpointRecord], now: float) -> None:
        """Leave to long work what the demand of short work, with some headroom, leaves over."""
        capacity = sum(record.slots / record.entries for record in usable) * self.mean_speed
        if not capacity:
            return
        settings = self.settings
        reserved = settings.short_headroom * self.short_demand.rate(now) / capacity
        self.long_share = min(settings.long_share, max(settings.long_share_min, 1.0 - reserved))

    def _expect_others(self, records: list[EndpointRecord]) -> None:
        """Correct what reports say of other entries by how soon it changes.

        Long attempts are still there when the report comes. Short ones have mostly ended, and
        others have taken their place anywhere, so that their number is drawn towards the mean of
        all endpoints by slots.
        """
        slots = sum(record.slots for record in records)
        short = sum(record.others - record.others_long for record in records)
        mean = short / slots if slots else 0.0
        kept = self.settings.report_memory
        for record in records:
            own_short = record.others - record.others_long
            expected = mean * record.slots
            record.others_now = record.others_long + expected + kept * (own_short - expected)

    def _has_free_slot(self, record: EndpointRecord, now: float) -> bool:
        """Whether an attempt would begin at once, as far as this entry can tell."""
        return record.busy() < record.limit(now, self.settings.slow_start_s)

    def _has_spare_room(self, record: EndpointRecord, overcommit: int, now: float) -> bool:
        """Whether a short request may wait there, in the whole or in this entry's share."""
        limit = record.limit(now, self.settings.slow_start_s)
        if record.busy() < limit + overcommit:
            return True
        return len(record.in_flight) < min(limit, record.share())

    def _has_long_room(self, record: EndpointRecord, now: float) -> bool:
        """Whether a long request fits under the slots and under the limit of long work."""
        long_limit = self.long_limit(record)
        if record.long_in_flight >= long_limit:
            return False
        limit = record.limit(now, self.settings.slow_start_s)
        if record.busy() < limit and record.long_in_flight + record.others_long < long_limit:
            return True
        own_share = max(1, long_limit // record.entries)
        return record.long_in_flight < own_share and len(record.in_flight) < min(
            limit, record.share()
        )

    def _learn_speed(self, record: EndpointRecord, tokens: float, elapsed_s: float) -> None:
        """Take a sample into the endpoint's speed and the mean of all."""
        record.learn_speed(tokens, elapsed_s)
        if tokens <= 0 or elapsed_s <= 0:
            return
        if not self.speed_known:
            self.mean_speed = tokens / elapsed_s
            self.speed_known = True
        else:
            self.mean_speed += 0.02 * (tokens / elapsed_s - self.mean_speed)

    def _eject_if_outlier(self, record: EndpointRecord, now: float) -> None:
        """Set a failing endpoint aside, unless half of the book would then be aside."""
        if record.failures < self.settings.ejection_failures:
            return
        ejected = sum(1 for other in self.records.values() if other.ejected_until > now)
        if (ejected + 1) * 2 <= len(self.records):
            record.eject(now, self.settings.ejection_s)
