"""Check that claims block a key after its record and its outcome were dropped."""

from __future__ import annotations

import pytest

from bergamotchute_model.commands import (
    ClaimRecord,
    ClaimResult,
    ClaimState,
    LookUpClaim,
    RecordedResponse,
    ReleaseClaim,
    SettleClaim,
    TakeClaim,
)
from bergamotchute_model.identifiers import AttemptId, ClaimKey
from bergamotchute_state import claim_store as claims_module
from bergamotchute_state.claim_store import ClaimStore


def key(number: int) -> ClaimKey:
    return ClaimKey("team", "orders", f"key-{number}")


def attempt(number: int) -> AttemptId:
    return AttemptId(f"request-{number}", 1, "press-1", "i", "e")


def take(claims: ClaimStore, number: int, body: str = "body", by: int | None = None) -> ClaimResult:
    claimant = attempt(number if by is None else by)
    return claims.on_take_claim(TakeClaim(key(number), body, claimant))


def settle(claims: ClaimStore, number: int, body: bytes | None = b"booked") -> ClaimResult:
    outcome = None if body is None else RecordedResponse(201, (), body)
    return claims.on_settle_claim(SettleClaim(key(number), attempt(number), outcome))


@pytest.fixture
def claims(monkeypatch: pytest.MonkeyPatch) -> ClaimStore:
    monkeypatch.setattr(claims_module, "MAX_FINISHED_CLAIMS", 4)
    monkeypatch.setattr(claims_module, "MAX_ENDED_CLAIMS", 8)
    monkeypatch.setattr(claims_module, "MAX_OPEN_CLAIMS", 3)
    monkeypatch.setattr(claims_module, "MAX_KEPT_OUTCOME_BYTES", 100)
    monkeypatch.setattr(claims_module, "MAX_OUTCOME_BYTES", 60)
    return ClaimStore()


@pytest.mark.parametrize("body", [b"booked", None])
def test_an_ended_key_never_runs_again(claims: ClaimStore, body: bytes | None) -> None:
    for number in range(10):
        assert take(claims, number).granted
        assert settle(claims, number, body).granted
    again = take(claims, 0, by=99)
    assert not again.granted
    state = ClaimState.UNKNOWN if body is None else ClaimState.SETTLED
    assert again.record == ClaimRecord(key(0), "body", state, AttemptId("", 0, "", "", ""))
    assert take(claims, 0, body="other").reused
    late = settle(claims, 0)
    assert not late.granted
    assert late.record is not None
    assert late.record.state is state
    assert claims.on_look_up_claim(LookUpClaim(key(0), "body")) == again
    copy = ClaimStore.load(claims.dump())
    assert take(copy, 0, by=99) == again
    assert copy.dump() == claims.dump()


def test_the_oldest_answers_go_first_and_the_claim_stays_settled(claims: ClaimStore) -> None:
    for number in range(3):
        take(claims, number)
        settle(claims, number, b"x" * 40)
    oldest, newest = (take(claims, number, by=99).record for number in (0, 2))
    assert oldest is not None
    assert (oldest.state, oldest.outcome) == (ClaimState.SETTLED, None)
    assert newest is not None
    assert newest.outcome is not None
    assert claims.total_outcome_bytes == 80


def test_an_answer_past_the_bound_is_not_kept(claims: ClaimStore) -> None:
    take(claims, 0)
    settled = settle(claims, 0, b"x" * 61)
    assert settled.granted
    assert settled.record is not None
    assert (settled.record.state, settled.record.outcome) == (ClaimState.SETTLED, None)


def test_too_many_open_claims_make_the_oldest_unknown_and_a_late_answer_settles_it(
    claims: ClaimStore,
) -> None:
    for number in range(4):
        assert take(claims, number).granted
    record = take(claims, 0, by=99).record
    assert record is not None
    assert record.state is ClaimState.UNKNOWN
    assert not claims.on_release_claim(ReleaseClaim(key(0), attempt(0))).granted
    assert settle(claims, 0).granted


def test_a_released_key_that_was_forgotten_may_be_claimed_afresh(claims: ClaimStore) -> None:
    take(claims, 0)
    assert claims.on_release_claim(ReleaseClaim(key(0), attempt(0))).granted
    for number in range(1, 6):
        take(claims, number)
        settle(claims, number)
    follower = TakeClaim(key(0), "body", attempt(98), replaces=attempt(0))
    assert not claims.on_take_claim(follower).granted
    assert take(claims, 0, by=99).granted


def test_looking_up_shows_a_claim_to_its_own_body_only_and_changes_nothing(
    claims: ClaimStore,
) -> None:
    lookup = LookUpClaim(key(0), "body")
    assert claims.on_look_up_claim(lookup) == ClaimResult(granted=False, record=None)
    taken = take(claims, 0)
    assert claims.on_look_up_claim(lookup) == ClaimResult(granted=False, record=taken.record)
    other = claims.on_look_up_claim(LookUpClaim(key(0), "other"))
    assert other == ClaimResult(granted=False, record=None, reused=True)
