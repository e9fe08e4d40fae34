"""Lease the weight store's load rate, divided fairly among its users."""

from __future__ import annotations

from dataclasses import dataclass, field

RATE_LEASE_S = 5.0


@dataclass(frozen=True)
class RateRequest:
    """A holder requests a part of the rate, or renews its lease.

    :param holder: the name of the user of the store, such as a rank group or an order.
    :param number: the number of the request, repeated in the grant. The holder's lease begins when
        the request is sent.
    :param bytes_s: the most that the holder can use, in bytes per second; 0 releases its part.
    """

    holder: str
    number: int
    bytes_s: float


@dataclass(frozen=True)
class RateGrant:
    """Grants a part of the rate for a time that begins when the request was sent.

    :param bytes_s: the granted rate, in bytes per second.
    :param lease_s: the duration of the lease, in seconds.
    """

    holder: str
    number: int
    bytes_s: float
    lease_s: float


@dataclass
class _Share:
    """The requested and the granted rate of one holder, in bytes per second.

    A larger rate granted earlier counts until its own lease expires.
    """

    requested: float = 0.0
    granted: float = 0.0
    expires_at_s: float = 0.0
    previous: float = 0.0
    previous_expires_at_s: float = 0.0

    def held(self, now: float) -> float:
        """Return the highest rate that the holder may be using now."""
        granted = self.granted if now < self.expires_at_s else 0.0
        previous = self.previous if now < self.previous_expires_at_s else 0.0
        return max(granted, previous)


@dataclass
class WeightBudget:
    """Keeps the sum of all leased rates within the store's rate.

    Each holder gets the rate that it requested or an equal part, whichever is less; what some
    holders do not use is divided among the others. When a holder's part shrinks, the old part
    counts in full until its lease expires, so that the total is kept even while the holder does
    not know of the reduction. A budget that has just started grants nothing until all leases of
    its predecessor have expired.

    :param rate_bytes_s: the total rate of the store, in bytes per second.
    :param started_at_s: when this budget started, on the caller's clock.
    """

    rate_bytes_s: float
    started_at_s: float
    shares: dict[str, _Share] = field(default_factory=dict)

    def on_rate_request(self, message: RateRequest, now: float) -> RateGrant:
        """Return a grant; its rate is 0 while nothing is available."""
        share = self.shares.setdefault(message.holder, _Share())
        share.requested = message.bytes_s
        if now - self.started_at_s < RATE_LEASE_S:
            return RateGrant(message.holder, message.number, 0.0, RATE_LEASE_S)
        held = share.held(now)
        others_bytes_s = sum(
            other.held(now) for other in self.shares.values() if other is not share
        )
        remaining_bytes_s = max(0.0, self.rate_bytes_s - others_bytes_s)
        granted = min(self._fair_share(message.holder, now), remaining_bytes_s)
        if granted < held:
            share.previous = held
            share.previous_expires_at_s = max(share.expires_at_s, share.previous_expires_at_s)
        share.granted = granted
        share.expires_at_s = now + RATE_LEASE_S
        self._remove_expired_holders(now)
        return RateGrant(message.holder, message.number, granted, RATE_LEASE_S)

    def _fair_share(self, holder: str, now: float) -> float:
        """Return the holder's max-min fair share of the rate."""
        active = {
            name: share.requested
            for name, share in self.shares.items()
            if name == holder or now < share.expires_at_s + RATE_LEASE_S
        }
        remaining_bytes_s = self.rate_bytes_s
        for count, (name, requested) in enumerate(sorted(active.items(), key=lambda item: item[1])):
            share_bytes_s = min(requested, remaining_bytes_s / (len(active) - count))
            if name == holder:
                return share_bytes_s
            remaining_bytes_s -= share_bytes_s
        return 0.0

    def _remove_expired_holders(self, now: float) -> None:
        """Remove holders whose leases expired some time ago."""
        gone = [
            name
            for name, share in self.shares.items()
            if now >= share.expires_at_s + RATE_LEASE_S and share.held(now) == 0
        ]
        for name in gone:
            del self.shares[name]


@dataclass
class LoadPacer:
    """Paces one holder's loads within its grant, and measures the rate that the store delivers.

    :param granted_bytes_s: the granted rate, in bytes per second.
    :param expires_at_s: when the lease expires, on the caller's clock.
    :param next_load_at_s: the earliest time at which the next load may begin.
    :param achieved_bytes_s: the smoothed rate of recent loads; infinite before the first one.
    """

    granted_bytes_s: float = 0.0
    expires_at_s: float = float("-inf")
    next_load_at_s: float = 0.0
    achieved_bytes_s: float = float("inf")

    def on_rate_grant(self, grant: RateGrant, sent_at_s: float) -> None:
        """Store a grant, whose lease began when the request was sent."""
        self.granted_bytes_s = grant.bytes_s
        self.expires_at_s = sent_at_s + grant.lease_s

    def planning_rate(self, now: float) -> float:
        """Return the rate to plan with: the granted one, or the measured one if that is lower."""
        granted = self.granted_bytes_s if now < self.expires_at_s else 0.0
        return min(granted, self.achieved_bytes_s)

    def reserve_load(self, size_bytes: int, now: float) -> float | None:
        """Reserve rate for a load of this size; return how long to wait before it may begin.

        :returns: the delay in seconds; ``None``, without a reservation, if the lease expires before
            the load may begin.
        """
        if now >= self.expires_at_s or self.granted_bytes_s <= 0:
            return None
        begins_at_s = max(now, self.next_load_at_s)
        if begins_at_s >= self.expires_at_s:
            return None
        self.next_load_at_s = begins_at_s + size_bytes / self.granted_bytes_s
        return begins_at_s - now

    def on_load_finished(self, size_bytes: int, duration_s: float) -> None:
        """Update the measured rate with a finished load."""
        achieved = size_bytes / max(duration_s, 1e-6)
        if self.achieved_bytes_s == float("inf"):
            self.achieved_bytes_s = achieved
        else:
            self.achieved_bytes_s += 0.3 * (achieved - self.achieved_bytes_s)

    def on_load_failed(self) -> None:
        """Halve the measured rate after a failed load."""
        if self.achieved_bytes_s == float("inf"):
            self.achieved_bytes_s = self.granted_bytes_s
        self.achieved_bytes_s *= 0.5
