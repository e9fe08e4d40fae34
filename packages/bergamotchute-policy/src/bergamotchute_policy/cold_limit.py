"""The rate at which a cold endpoint is sent requests, and what holds at an entry without permits.

Load: a zone of endpoints returns at once. All of them are empty, so every entry prefers them, and an
endpoint that gets more requests in one second than its limit crashes.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from bergamotchute_policy.permit_schedule import BURST_REQUESTS, BURST_S

SEND_DELAY_S = 0.2
"""Longest time from a permit to the arrival of its request: 0.1 s for the answer, the rest for the
connection and a busy entry."""

OWN_INTERVAL_S = 1.0 + SEND_DELAY_S
"""Interval between the requests of an entry without permits, so that one arrives in any second."""

OWN_SHARE_RATIO = 2 / 3
"""Share of the limit that entries without permits may use together. Where one request of each would
exceed it, they send none."""

HOSTS_IN_A_SECOND = 2
"""Successive hosts of a schedule whose bursts may fall into one second."""


@dataclass(frozen=True)
class ColdLimit:
    """What an endpoint may get while it is cold.

    :param most_per_s: requests in any second, over all entries.
    :param requests_per_s: the rate for which permits are requested.
    :param own_requests_per_s: the rate of one entry that gets no answer to its requests for
        permits; 0 for none.
    """

    most_per_s: int
    requests_per_s: float
    own_requests_per_s: float


def most_cold_requests(cold_per_s: float, excess: float, slack: float) -> int:
    """Return the most requests that a cold endpoint may get in any second; 0 for no bound.

    :param cold_per_s: requests a second that the service names; 0 for none.
    :param excess: the factor by which one second may exceed them.
    :param slack: requests that may come in addition.
    """
    return max(1, math.floor(cold_per_s * excess + slack)) if cold_per_s > 0 else 0


def cold_limit(cold_per_s: float, most_per_s: int, entry_count: int) -> ColdLimit:
    """Return the rates that keep a cold endpoint's requests within its bound in any second.

    In the worst case two hosts of the schedule grant their bursts and each entry without permits
    sends one request. A bound below 6 can't be kept then, as the bursts alone may be 4 requests.

    :param cold_per_s: requests a second that the service names.
    :param most_per_s: requests in any second, over all entries.
    :param entry_count: entries that may send without permits.
    """
    uses_own_part = entry_count <= OWN_SHARE_RATIO * most_per_s
    permits = most_per_s - (entry_count if uses_own_part else 0)
    rate = (permits - HOSTS_IN_A_SECOND * BURST_REQUESTS) / (
        1.0 + SEND_DELAY_S + HOSTS_IN_A_SECOND * BURST_S
    )
    return ColdLimit(
        most_per_s, max(0.0, min(cold_per_s, rate)), 1.0 / OWN_INTERVAL_S if uses_own_part else 0.0
    )
