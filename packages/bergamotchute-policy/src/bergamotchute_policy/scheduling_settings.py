"""The scheduling constants as a single value, so that benchmarks can vary each of them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SchedulingSettings:
    """How one entry schedules the requests of one service.

    :param long_share: maximum share of a runner's slots for long work.
    :param min_long_share: share of the slots for long work at any demand for short work.
    :param short_headroom: slots kept for short work, as a multiple of the slots its demand fills.
    :param demand_horizon_s: time over which arrivals count as the current demand.
    :param long_floor: tokens of long work that are due for each token of short work dispatched
        while long work waits.
    :param overcommit: short attempts that a runner may hold beyond its slots.
    :param other_zone_factor: cost multiplier for an endpoint of another zone.
    :param cached_prefix_factor: cost multiplier for an endpoint known to have the prompt's
        prefix in its cache.
    :param queue_count: maximum number of queued requests.
    :param queue_bytes: maximum bytes of queued request bodies.
    :param slow_start_s: time over which a new endpoint's limit grows to its slots.
    :param failures_before_ejection: consecutive failures after which an endpoint is ejected.
    :param first_ejection_s: duration of the first ejection; doubles with each consecutive one.
    :param report_max_age_s: age from which a load report is ignored.
    :param report_retention_ratio: share of another entry's short attempts in a load report that
        still run when the report arrives; the rest counts as spread over all endpoints.
    """

    long_share: float = 0.75
    min_long_share: float = 0.25
    short_headroom: float = 1.3
    demand_horizon_s: float = 2.0
    long_floor: float = 0.05
    overcommit: int = 1
    other_zone_factor: float = 1.25
    cached_prefix_factor: float = 0.8
    queue_count: int = 1_024
    queue_bytes: int = 33_554_432
    slow_start_s: float = 2.0
    failures_before_ejection: int = 3
    first_ejection_s: float = 2.0
    report_max_age_s: float = 3.0
    report_retention_ratio: float = 0.25
