"""Rate and concurrency limits of teams, split over entries by leased parts.

No request waits for a word from another VM: an entry spends what it holds a lease on. An entry
and a team meet here only while the team is active at the entry, so that the state and the
messages grow with the active pairs and not with all teams times all entries.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import floor

from bergamotchute_model.problem import Problem, ProblemCode

LEASE_S = 10.0
LEASE_GRACE_S = 2.0
BURST_S = 1.0
DEMAND_HEADROOM = 1.25


@dataclass(frozen=True)
class TeamLimit:
    """What a team may use over all entries.

    :param rate: requests a second.
    :param concurrency: requests in execution at a time.
    """

    rate: float
    concurrency: int


@dataclass(frozen=True)
class QuotaDemand:
    """Entry to allocator: what a team would use here.

    :param rate: requests a second that came in, admitted or not.
    :param concurrency: the most that ran or wanted to run at a time.
    :param holds: number of the lease in use; 0 for none. Earlier ones are given back by it.
    """

    entry: str
    team: str
    rate: float
    concurrency: int
    holds: int = 0


@dataclass(frozen=True)
class QuotaLease:
    """Allocator to entry: the part of a team's limit that the entry may use.

    :param number: grows with each lease of the allocator.
    :param duration_s: how long, counted by the entry from when it sent its demand.
    """

    team: str
    number: int
    rate: float
    concurrency: int
    duration_s: float = LEASE_S


@dataclass(slots=True)
class _Holder:
    """What an entry asked for, and the leases that it may still be using."""

    demand: QuotaDemand
    leases: list[tuple[float, QuotaLease]]

    def drop_ended(self, holds: int, now: float) -> None:
        """Forget leases that lapsed or that the entry gave back."""
        self.leases = [
            (until, lease) for until, lease in self.leases if until > now and lease.number >= holds
        ]

    def rate(self) -> float:
        """Return the highest rate that the entry may be using."""
        return max((lease.rate for _, lease in self.leases), default=0.0)

    def concurrency(self) -> int:
        """Return the highest concurrency that the entry may be using."""
        return max((lease.concurrency for _, lease in self.leases), default=0)


class QuotaAllocator:
    """Splits the limits of teams over the entries that ask.

    An entry gets what it asks for, with some headroom, while there is enough; else its part in
    proportion to what all ask for. A lease counts until its holder gave it back or it has surely
    lapsed, also when its answer was lost, so that the leases in use never add up to more than the
    limit. A part moves from one entry to another within a lease's time.
    """

    def __init__(self, limits: dict[str, TeamLimit]) -> None:
        self.limits = dict(limits)
        self.holders: dict[str, dict[str, _Holder]] = {}
        self.number = 0

    def on_limits(self, limits: dict[str, TeamLimit]) -> None:
        """Take other limits; a lease that is out stays as it is until it ends."""
        self.limits = dict(limits)

    def on_demand(self, demand: QuotaDemand, now: float) -> QuotaLease | None:
        """Return the lease for a demand; ``None`` for a team without a limit."""
        limit = self.limits.get(demand.team)
        if limit is None:
            return None
        holders = self.holders.setdefault(demand.team, {})
        self._forget_lapsed(holders, now)
        holder = holders.setdefault(demand.entry, _Holder(demand, []))
        holder.demand = demand
        holder.drop_ended(demand.holds, now)
        others = [other for entry, other in holders.items() if entry != demand.entry]
        self.number += 1
        lease = QuotaLease(
            demand.team, self.number, _rate(limit, demand, others), _slots(limit, demand, others)
        )
        holder.leases.append((now + LEASE_S + LEASE_GRACE_S, lease))
        return lease

    def _forget_lapsed(self, holders: dict[str, _Holder], now: float) -> None:
        """Drop entries that have no lease left."""
        for entry, holder in list(holders.items()):
            holder.drop_ended(0, now)
            if not holder.leases:
                del holders[entry]


def _rate(limit: TeamLimit, demand: QuotaDemand, others: list[_Holder]) -> float:
    """Return the requests a second for an entry."""
    wanted = max(demand.rate, 1.0 / LEASE_S)
    all_wanted = wanted + sum(other.demand.rate for other in others)
    left = limit.rate - sum(other.rate() for other in others)
    return max(0.0, min(wanted * DEMAND_HEADROOM, limit.rate * wanted / all_wanted, left))


def _slots(limit: TeamLimit, demand: QuotaDemand, others: list[_Holder]) -> int:
    """Return the requests at a time for an entry: whole ones, at least one while there is one."""
    wanted = max(demand.concurrency, 1)
    all_wanted = wanted + sum(other.demand.concurrency for other in others)
    left = limit.concurrency - sum(other.concurrency() for other in others)
    fair = max(1, floor(limit.concurrency * wanted / all_wanted))
    return max(0, min(wanted + 1, fair, left))


class TeamQuota:
    """What one entry spends of one team's limits.

    Call :meth:`admit` for each request and :meth:`on_finish` for each that was admitted. Without a
    lease, or once it lapsed, the team gets one request at a time and one in each lease's time, so
    that an unreachable allocator neither opens the limit nor closes the entry.
    """

    def __init__(self, entry: str, team: str, now: float) -> None:
        self.entry = entry
        self.team = team
        self.lease: QuotaLease | None = None
        self.lease_until = now
        self.allowance = 1.0
        self.counted_at = now
        self.running = 0
        self.arrived = 0
        self.refused_full = 0
        self.peak = 0
        self.demanded_at = now

    def admit(self, now: float) -> Problem | None:
        """Take one request in, or say why not and when to come back."""
        self._refill(now)
        self.arrived += 1
        if self.running >= self._concurrency(now):
            self.refused_full += 1
            return _refusal(self.team, "requests at a time", BURST_S)
        if self.allowance < 1.0:
            wait_s = (1.0 - self.allowance) / self._rate(now)
            return _refusal(self.team, "requests a second", min(wait_s, LEASE_S))
        self.allowance -= 1.0
        self.running += 1
        self.peak = max(self.peak, self.running)
        return None

    def on_finish(self) -> None:
        """Count the end of an admitted request, however it ended."""
        self.running -= 1

    def demand(self, now: float) -> QuotaDemand:
        """Return what to ask for, from what came since the last time; send it every few seconds."""
        elapsed = max(now - self.demanded_at, 0.1)
        holds = self.lease.number if self.lease is not None and now < self.lease_until else 0
        demand = QuotaDemand(
            self.entry, self.team, self.arrived / elapsed, self.peak + self.refused_full, holds
        )
        self.arrived = self.refused_full = 0
        self.peak = self.running
        self.demanded_at = now
        return demand

    def on_lease(self, lease: QuotaLease, sent_at: float, now: float) -> None:
        """Take a lease into use; an older one than that in use is ignored.

        :param sent_at: when the demand was sent that it answers.
        """
        if self.lease is not None and lease.number <= self.lease.number:
            return
        self._refill(now)
        self.lease = lease
        self.lease_until = sent_at + lease.duration_s

    def _rate(self, now: float) -> float:
        """Return the requests a second at a time."""
        if self.lease is None or now >= self.lease_until:
            return 1.0 / LEASE_S
        return max(self.lease.rate, 1e-6)

    def _concurrency(self, now: float) -> int:
        """Return the requests at a time."""
        if self.lease is None or now >= self.lease_until:
            return 1
        return self.lease.concurrency

    def _refill(self, now: float) -> None:
        """Earn allowance for the time that passed, up to a short burst."""
        rate = self._rate(now)
        earned = self.allowance + (now - self.counted_at) * rate
        self.allowance = min(earned, max(1.0, rate * BURST_S))
        self.counted_at = now


def _refusal(team: str, what: str, retry_after_s: float) -> Problem:
    """Return the refusal of a request over its team's limit."""
    detail = f"Team {team} is over its limit of {what}."
    return Problem(
        429, ProblemCode.TEAM_LIMIT, detail, retry=True, retry_after_s=max(0.1, retry_after_s)
    )
