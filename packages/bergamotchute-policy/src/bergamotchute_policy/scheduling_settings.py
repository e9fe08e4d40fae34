"""The constants of scheduling in one value, so that a measurement can vary each."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SchedulingSettings:
    """How one entry schedules the requests of one service.

    :param long_share: the part of a runner's slots that long work may hold at most.
    :param long_share_min: the part that it may hold however much short work arrives.
    :param short_headroom: slots kept for short work, as a multiple of what its demand fills.
    :param demand_horizon_s: time over which arrivals count as the demand.
    :param long_floor: tokens of long work that are due for each token of short work dispatched
        while long work waits.
    :param overcommit: short attempts that a runner may hold beyond its slots.
    :param other_zone_factor: how much costlier an endpoint of another zone counts.
    :param cached_factor: how much cheaper an endpoint counts that surely holds the prompt's prefix.
    :param queue_count: requests that may wait.
    :param queue_bytes: bytes of request bodies that may wait.
    :param slow_start_s: time over which a new endpoint's limit grows to its slots.
    :param ejection_failures: failures in a row after which an endpoint is set aside.
    :param ejection_s: how long the first time; doubles with each one that follows.
    :param report_stale_s: age from which a load report says nothing more.
    :param report_memory: part of another entry's short attempts in a report that still holds when
        the report comes; the rest counts as spread over all endpoints.
    """

    long_share: float = 0.75
    long_share_min: float = 0.25
    short_headroom: float = 1.3
    demand_horizon_s: float = 2.0
    long_floor: float = 0.05
    overcommit: int = 1
    other_zone_factor: float = 1.25
    cached_factor: float = 0.8
    queue_count: int = 1_024
    queue_bytes: int = 33_554_432
    slow_start_s: float = 2.0
    ejection_failures: int = 3
    ejection_s: float = 2.0
    report_stale_s: float = 3.0
    report_memory: float = 0.25
