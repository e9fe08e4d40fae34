"""Rate and concurrency limits of teams, split over entries by leases.

No request waits for a message from another VM: an entry spends the quota that it has leased. State
exists for a team at an entry only while the team is active there, so that state and messages grow
with the active pairs and not with all teams times all entries.
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
    """The limits of a team over all entries.

    :param rate: requests per second.
    :param concurrency: requests running at the same time.
    """

    rate: float
    concurrency: int


@dataclass(frozen=True)
class QuotaDemand:
    """A message from an entry to the allocator: the quota that a team needs at the entry.

    :param rate: requests per second that arrived, admitted or not.
    :param concurrency: peak number of requests that ran or were refused for concurrency.
    :param held_lease_number: number of the lease in use; 0 for none. Earlier leases are returned.
    """

    entry: str
    team: str
    rate: float
    concurrency: int
    held_lease_number: int = 0


@dataclass(frozen=True)
class QuotaLease:
    """A message from the allocator to an entry: the part of a team's limit that the entry may use.

    :param number: increases with each lease of the allocator.
    :param duration_s: validity, counted by the entry from when it sent its demand.
    """

    team: str
    number: int
    rate: float
    concurrency: int
    duration_s: float = LEASE_S


@dataclass(slots=True)
class _LeaseHolder:
    """The latest demand of an entry, and the leases that it may still be using."""

    demand: QuotaDemand
    leases: list[tuple[float, QuotaLease]]

    def drop_ended_leases(self, held_lease_number: int, now: float) -> None:
        """Drop leases that lapsed or that the entry returned."""
        self.leases = [
            (expires_at, lease)
            for expires_at, lease in self.leases
            if expires_at > now and lease.number >= held_lease_number
        ]

    def max_leased_rate(self) -> float:
        """Return the highest rate that the entry may be using."""
        return max((lease.rate for _, lease in self.leases), default=0.0)

    def max_leased_concurrency(self) -> int:
        """Return the highest concurrency that the entry may be using."""
        return max((lease.concurrency for _, lease in self.leases), default=0)


class QuotaAllocator:
    """Splits the limits of teams over the entries that demand quota.

    An entry gets its demand with some headroom while there is enough quota; otherwise its share in
    proportion to the demands of all entries. A lease counts until its holder returned it or it has
    certainly lapsed, even if the answer was lost, so that the leases in use never exceed the limit
    in total. Quota moves from one entry to another within the duration of a lease.
    """

    def __init__(self, limits: dict[str, TeamLimit]) -> None:
        self.limits = dict(limits)
        self.holders: dict[str, dict[str, _LeaseHolder]] = {}
        self.number = 0

    def on_limits(self, limits: dict[str, TeamLimit]) -> None:
        """Replace the limits; leases that are in use stay unchanged until they end."""
        self.limits = dict(limits)

    def on_demand(self, demand: QuotaDemand, now: float) -> QuotaLease | None:
        """Return the lease for a demand; ``None`` for a team without a limit."""
        limit = self.limits.get(demand.team)
        if limit is None:
            return None
        holders = self.holders.setdefault(demand.team, {})
        self._remove_lapsed_holders(holders, now)
        holder = holders.setdefault(demand.entry, _LeaseHolder(demand, []))
        holder.demand = demand
        holder.drop_ended_leases(demand.held_lease_number, now)
        others = [other for entry, other in holders.items() if entry != demand.entry]
        self.number += 1
        lease = QuotaLease(
            demand.team,
            self.number,
            _rate_to_lease(limit, demand, others),
            _concurrency_to_lease(limit, demand, others),
        )
        holder.leases.append((now + LEASE_S + LEASE_GRACE_S, lease))
        return lease

    def _remove_lapsed_holders(self, holders: dict[str, _LeaseHolder], now: float) -> None:
        """Remove the entries of a team that have no lease left."""
        for entry, holder in list(holders.items()):
            holder.drop_ended_leases(0, now)
            if not holder.leases:
                del holders[entry]


def _rate_to_lease(limit: TeamLimit, demand: QuotaDemand, others: list[_LeaseHolder]) -> float:
    """Return the rate to lease to an entry, in requests per second."""
    wanted = max(demand.rate, 1.0 / LEASE_S)
    total_wanted = wanted + sum(other.demand.rate for other in others)
    remaining = limit.rate - sum(other.max_leased_rate() for other in others)
    return max(0.0, min(wanted * DEMAND_HEADROOM, limit.rate * wanted / total_wanted, remaining))


def _concurrency_to_lease(limit: TeamLimit, demand: QuotaDemand, others: list[_LeaseHolder]) -> int:
    """Return the concurrency to lease to an entry: a whole number, at least 1 while any is left."""
    wanted = max(demand.concurrency, 1)
    total_wanted = wanted + sum(other.demand.concurrency for other in others)
    remaining = limit.concurrency - sum(other.max_leased_concurrency() for other in others)
    fair_share = max(1, floor(limit.concurrency * wanted / total_wanted))
    return max(0, min(wanted + 1, fair_share, remaining))


class TeamQuota:
    """Enforces one team's leased quota at one entry.

    Call :meth:`admit` for each request and :meth:`on_finish` for each admitted one. Without a valid
    lease, the team gets one request at a time and one per lease duration, so that an unreachable
    allocator neither lifts the limit nor blocks the entry.
    """

    def __init__(self, entry: str, team: str, now: float) -> None:
        self.entry = entry
        self.team = team
        self.lease: QuotaLease | None = None
        self.lease_expires_at = now
        self.allowance = 1.0
        self.refilled_at = now
        self.running = 0
        self.arrived_count = 0
        self.concurrency_refusals = 0
        self.peak_running = 0
        self.demand_sent_at = now

    def admit(self, now: float) -> Problem | None:
        """Admit a request, or return the refusal with its reason and retry delay."""
        self._refill(now)
        self.arrived_count += 1
        if self.running >= self._allowed_concurrency(now):
            self.concurrency_refusals += 1
            return _refusal(self.team, "requests at a time", BURST_S)
        if self.allowance < 1.0:
            wait_s = (1.0 - self.allowance) / self._allowed_rate(now)
            return _refusal(self.team, "requests a second", min(wait_s, LEASE_S))
        self.allowance -= 1.0
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        return None

    def on_finish(self) -> None:
        """Count the end of an admitted request, however it ended."""
        self.running -= 1

    def demand(self, now: float) -> QuotaDemand:
        """Return the demand since the last call; send it to the allocator every few seconds."""
        elapsed_s = max(now - self.demand_sent_at, 0.1)
        held_lease_number = (
            self.lease.number if self.lease is not None and now < self.lease_expires_at else 0
        )
        demand = QuotaDemand(
            self.entry,
            self.team,
            self.arrived_count / elapsed_s,
            self.peak_running + self.concurrency_refusals,
            held_lease_number,
        )
        self.arrived_count = self.concurrency_refusals = 0
        self.peak_running = self.running
        self.demand_sent_at = now
        return demand

    def on_lease(self, lease: QuotaLease, sent_at: float, now: float) -> None:
        """Start to use a lease, unless it is older than the current one.

        :param sent_at: when the demand that the lease answers was sent.
        """
        if self.lease is not None and lease.number <= self.lease.number:
            return
        self._refill(now)
        self.lease = lease
        self.lease_expires_at = sent_at + lease.duration_s

    def _allowed_rate(self, now: float) -> float:
        """Return the rate that is allowed at a time, in requests per second."""
        if self.lease is None or now >= self.lease_expires_at:
            return 1.0 / LEASE_S
        return max(self.lease.rate, 1e-6)

    def _allowed_concurrency(self, now: float) -> int:
        """Return the concurrency that is allowed at a time."""
        if self.lease is None or now >= self.lease_expires_at:
            return 1
        return self.lease.concurrency

    def _refill(self, now: float) -> None:
        """Add the allowance earned since the last refill, up to a short burst."""
        rate = self._allowed_rate(now)
        refilled = self.allowance + (now - self.refilled_at) * rate
        self.allowance = min(refilled, max(1.0, rate * BURST_S))
        self.refilled_at = now


def _refusal(team: str, what: str, retry_after_s: float) -> Problem:
    """Return the refusal of a request that exceeds its team's limit."""
    detail = f"Team {team} is over its limit of {what}."
    return Problem(
        429, ProblemCode.TEAM_LIMIT, detail, retry=True, retry_after_s=max(0.1, retry_after_s)
    )
