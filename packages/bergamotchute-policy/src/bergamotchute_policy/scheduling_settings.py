"""The constants of scheduling in one value, so that a measurement can vary each."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SchedulingSettings:
    """How one entry schedules the requests of one service.

    :param long_share: the part of a runner's slots that long work may hold.
    :param long_floor: tokens of long work that are due for each token of short work dispatched
        while long work waits.
    :param overcommit: short attempts that a runner may hold beyond its slots.
    :param choices: how many endpoints with room are drawn and compared; 0 compares all.
    :param spill_share: busy part of a runner's slots from which other zones are considered.
    :param queue_count: requests that may wait.
    :param queue_bytes: bytes of request bodies that may wait.
    :param slow_start_s: time over which a new endpoint's limit grows to its slots.
    :param ejection_failures: failures in a row after which an endpoint is set aside.
    :param ejection_s: how long the first time; doubles with each one that follows.
    :param report_stale_s: age from which a load report says nothing more.
    :param affinity_bound: load, as a multiple of the mean, up to which a cached prefix decides.
    """

    long_share: float = 0.5
    long_floor: float = 0.5
    overcommit: int = 1
    choices: int = 2
    spill_share: float = 0.5
    queue_count: int = 1_024
    queue_bytes: int = 33_554_432
    slow_start_s: float = 2.0
    ejection_failures: int = 3
    ejection_s: float = 2.0
    report_stale_s: float = 3.0
    affinity_bound: float = 1.25
