"""Tests of team quotas: the leases in use never exceed the team's limit in total."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotchute_policy.quota import (
    LEASE_GRACE_S,
    LEASE_S,
    QuotaAllocator,
    QuotaDemand,
    QuotaLease,
    TeamLimit,
    TeamQuota,
)

LIMIT = TeamLimit(rate=100.0, concurrency=20)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 4), st.floats(0, 200), st.integers(0, 40), st.floats(0, 6), st.booleans()
        ),
        max_size=60,
    )
)
def test_leases_in_use_stay_within_the_limit_when_answers_are_lost(
    steps: list[tuple[int, float, int, float, bool]],
) -> None:
    allocator = QuotaAllocator({"t": LIMIT})
    used: dict[int, tuple[float, QuotaLease]] = {}
    now = 0.0
    for entry, rate, concurrency, delay_s, lost in steps:
        now += delay_s
        used = {holder: held for holder, held in used.items() if held[0] > now}
        held_lease_number = used[entry][1].number if entry in used else 0
        lease = allocator.on_demand(
            QuotaDemand(f"e{entry}", "t", rate, concurrency, held_lease_number), now
        )
        assert lease is not None
        if not lost:
            used[entry] = (now + lease.duration_s, lease)
        assert sum(held.rate for _, held in used.values()) <= LIMIT.rate + 1e-6
        assert sum(held.concurrency for _, held in used.values()) <= LIMIT.concurrency


def test_quota_moves_to_the_entry_that_needs_it_within_one_lease_duration() -> None:
    allocator = QuotaAllocator({"t": LIMIT})
    first = allocator.on_demand(QuotaDemand("a", "t", 100.0, 20), 0.0)
    assert first is not None
    after_lapse_s = LEASE_S + LEASE_GRACE_S
    moved = allocator.on_demand(QuotaDemand("b", "t", 80.0, 15), after_lapse_s)
    assert moved is not None
    assert moved.rate == 100.0
    assert moved.concurrency == 16


def test_a_lapsed_lease_leaves_one_request_at_a_time() -> None:
    quota = TeamQuota("e", "t", 0.0)
    quota.on_lease(QuotaLease("t", 1, 50.0, 10), sent_at=0.0, now=0.1)
    assert sum(quota.admit(1.0) is None for _ in range(20)) == 10
    for _ in range(10):
        quota.on_finish()
    after_lapse_s = LEASE_S + 1.0
    assert quota.admit(after_lapse_s) is None
    refusal = quota.admit(after_lapse_s)
    assert refusal is not None
    assert refusal.retry_after_s is not None
    quota.on_finish()
    assert sum(quota.admit(after_lapse_s + 60.0) is None for _ in range(3)) == 1


def test_a_team_without_a_lease_starts_at_once() -> None:
    assert TeamQuota("e", "t", 0.0).admit(0.0) is None


def test_an_older_lease_never_replaces_a_newer_one() -> None:
    quota = TeamQuota("e", "t", 0.0)
    quota.on_lease(QuotaLease("t", 2, 1.0, 1), sent_at=0.0, now=0.1)
    quota.on_lease(QuotaLease("t", 1, 50.0, 10), sent_at=0.0, now=0.2)
    assert quota.lease is not None
    assert quota.lease.rate == 1.0


def test_the_admitted_rate_stays_at_the_leased_rate() -> None:
    quota = TeamQuota("e", "t", 0.0)
    admitted = 0
    for step in range(900):
        now = step * 0.01
        if step % 100 == 0:
            quota.on_lease(QuotaLease("t", step + 1, 10.0, 10), sent_at=now, now=now)
        if quota.admit(now) is None:
            admitted += 1
            quota.on_finish()
    assert admitted <= 9 * 10 + 10
    assert admitted >= 9 * 10
