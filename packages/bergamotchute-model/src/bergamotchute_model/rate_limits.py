"""Limits of the rate of requests that endpoints name, and the permits that share them out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True)
class EndpointRateLimit:
    """The limit that one incarnation of an endpoint named in a response.

    :param requests_per_s: requests a second from all entries together; ``None`` for no limit.
    :param age_s: the time since the request was sent whose response named it, in seconds.
    """

    endpoint: str
    born_ms: int
    requests_per_s: float | None
    age_s: float


@dataclass(frozen=True)
class RateLimitsReported:
    """Limits that the sender read in responses, or all that it knows."""

    limits: tuple[EndpointRateLimit, ...]
    kind: Literal["rate_limits_reported"] = "rate_limits_reported"


@dataclass(frozen=True)
class RequestPermit:
    """An entry requests a permit to send one request to an endpoint with a limit.

    :param number: identifies the request for a permit on its link.
    :param requests_per_s: the limit that the entry knows.
    :param patience_s: the longest time that the request can wait for its permit, in seconds.
    """

    number: int
    endpoint: str
    born_ms: int
    requests_per_s: float
    patience_s: float
    kind: Literal["request_permit"] = "request_permit"


@dataclass(frozen=True)
class PermitAnswer:
    """The answer to :class:`RequestPermit`.

    :param wait_s: time after which the request may be sent, in seconds; if no permit is granted,
        time after which one that can't wait could get it.
    """

    number: int
    granted: bool
    wait_s: float
    kind: Literal["permit_answer"] = "permit_answer"
