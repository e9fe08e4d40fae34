"""Leases out the weight store's rate, fairly among those who load."""

from __future__ import annotations

from dataclasses import dataclass, field

LEASE_S = 5.0


@dataclass(frozen=True)
class RateWanted:
    """A holder asks for a part of the rate, or renews it.

    :param holder: who loads, such as a rank group or an order.
    :param number: matches the grant; the holder counts the lease from when it sent this.
    :param bytes_s: the most it can use; 0 gives its part back.
    """

    holder: str
    number: int
    bytes_s: float


@dataclass(frozen=True)
class RateGranted:
    """A part of the rate, for ``lease_s`` from when it was asked for."""

    holder: str
    number: int
    bytes_s: float
    lease_s: float


@dataclass
class _Share:
    """What one holder wants and has; what it had before counts until that lease ends."""

    wanted: float = 0.0
    granted: float = 0.0
    until: float = 0.0
    before: float = 0.0
    before_until: float = 0.0

    def held(self, now: float) -> float:
        """Return what the holder may be using now."""
        granted = self.granted if now < self.until else 0.0
        before = self.before if now < self.before_until else 0.0
        return max(granted, before)


@dataclass
class WeightBudget:
    """Keeps the sum of all parts in force within the store's rate.

    Each holder gets what it wants or an equal part, whichever is less; what some leave goes to
    the others. A part that shrinks counts in full until the lease it was given under has ended,
    so that the rate is kept also with holders that have not heard of it yet. A budget that has
    just started grants nothing until the leases of the one before it must have ended.

    :param rate_bytes_s: what the store gives in all.
    :param started_at_s: when this budget began, on the caller's clock.
    """

    rate_bytes_s: float
    started_at_s: float
    shares: dict[str, _Share] = field(default_factory=dict)

    def on_rate_wanted(self, message: RateWanted, now: float) -> RateGranted:
        """Grant a part of the rate; 0 bytes a second while none is left."""
        share = self.shares.setdefault(message.holder, _Share())
        share.wanted = message.bytes_s
        if now - self.started_at_s < LEASE_S:
            return RateGranted(message.holder, message.number, 0.0, LEASE_S)
        held = share.held(now)
        others = sum(one.held(now) for one in self.shares.values() if one is not share)
        left = max(0.0, self.rate_bytes_s - others)
        granted = min(self._fair(message.holder, now), left)
        if granted < held:
            share.before = held
            share.before_until = max(share.until, share.before_until)
        share.granted = granted
        share.until = now + LEASE_S
        self._forget(now)
        return RateGranted(message.holder, message.number, granted, LEASE_S)

    def _fair(self, holder: str, now: float) -> float:
        """Return the holder's part by equal filling up to what each wants."""
        active = {
            name: share.wanted
            for name, share in self.shares.items()
            if name == holder or now < share.until + LEASE_S
        }
        left = self.rate_bytes_s
        for count, (name, wanted) in enumerate(sorted(active.items(), key=lambda item: item[1])):
            part = min(wanted, left / (len(active) - count))
            if name == holder:
                return part
            left -= part
        return 0.0

    def _forget(self, now: float) -> None:
        """Drop holders that have not asked for long."""
        gone = [
            name
            for name, share in self.shares.items()
            if now >= share.until + LEASE_S and share.held(now) == 0
        ]
        for name in gone:
            del self.shares[name]


@dataclass
class RateMeter:
    """Paces one holder's loads within its grant, and tells what the store really gives.

    :param granted_bytes_s: the part of the rate that is held.
    :param until_s: when its lease ends.
    :param achieved_bytes_s: what loads have got lately; infinite before the first.
    """

    granted_bytes_s: float = 0.0
    until_s: float = float("-inf")
    next_at_s: float = 0.0
    achieved_bytes_s: float = float("inf")

    def on_rate_granted(self, grant: RateGranted, sent_at_s: float) -> None:
        """Take a grant; its lease counts from when it was asked for."""
        self.granted_bytes_s = grant.bytes_s
        self.until_s = sent_at_s + grant.lease_s

    def rate(self, now: float) -> float:
        """Return the bytes a second to plan with: the grant, or less if the store gives less."""
        granted = self.granted_bytes_s if now < self.until_s else 0.0
        return min(granted, self.achieved_bytes_s)

    def wait_s(self, size_bytes: int, now: float) -> float | None:
        """Reserve a load of this size; return how long to wait before it may begin.

        :returns: ``None`` while no rate is granted for that time, and nothing is reserved.
        """
        if now >= self.until_s or self.granted_bytes_s <= 0:
            return None
        begin = max(now, self.next_at_s)
        if begin >= self.until_s:
            return None
        self.next_at_s = begin + size_bytes / self.granted_bytes_s
        return begin - now

    def on_loaded(self, size_bytes: int, took_s: float) -> None:
        """Learn from a load how fast the store is."""
        achieved = size_bytes / max(took_s, 1e-6)
        if self.achieved_bytes_s == float("inf"):
            self.achieved_bytes_s = achieved
        else:
            self.achieved_bytes_s += 0.3 * (achieved - self.achieved_bytes_s)

    def on_load_failed(self) -> None:
        """Learn that a load got nothing in time."""
        if self.achieved_bytes_s == float("inf"):
            self.achieved_bytes_s = self.granted_bytes_s
        self.achieved_bytes_s *= 0.5
