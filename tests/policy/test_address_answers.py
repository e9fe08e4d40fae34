"""Tests that callers get entries of their zone first, by spare capacity, and none that drain."""

from __future__ import annotations

from collections import Counter
from random import Random

from bergamotchute_model.identifiers import Address
from bergamotchute_model.membership import EntryAnnouncement
from bergamotchute_policy.address_answer import LOW_SPARE_LIFETIME_S, choose_addresses


def entry(number: int, zone: str, spare: float, draining: bool = False) -> EntryAnnouncement:
    address = Address("127.0.0.1", 1_000 + number)
    return EntryAnnouncement(f"e{number}", "1", 1, "vm", zone, address, spare, draining)


def test_callers_spread_by_spare_capacity_within_their_zone() -> None:
    entries = [entry(1, "a", 0.8), entry(2, "a", 0.2), entry(3, "b", 1.0)]
    random = Random(1)
    first_counts = Counter(
        choose_addresses(entries, "a", random).addresses[0].port for _ in range(2_000)
    )
    assert first_counts[1_003] == 0
    assert 3.0 < first_counts[1_001] / first_counts[1_002] < 5.0


def test_a_draining_entry_is_never_returned() -> None:
    entries = [entry(1, "a", 1.0, draining=True), entry(2, "b", 0.5)]
    for seed in range(50):
        answer = choose_addresses(entries, "a", Random(seed))
        assert [address.port for address in answer.addresses] == [1_002]


def test_callers_of_a_full_or_lost_zone_get_entries_of_other_zones() -> None:
    entries = [entry(1, "a", 0.01), entry(2, "b", 0.9), entry(3, "c", 0.9)]
    for seed in range(50):
        assert choose_addresses(entries, "a", Random(seed)).addresses[0].port != 1_001
        assert choose_addresses(entries[1:], "a", Random(seed)).addresses


def test_an_answer_has_few_entries_and_a_second_zone() -> None:
    entries = [entry(number, "a", 0.9) for number in range(8)] + [entry(9, "b", 0.9)]
    answer = choose_addresses(entries, "a", Random(1))
    assert len(answer.addresses) == 3
    assert answer.addresses[-1].port == 1_009


def test_answers_have_a_short_lifetime_while_entries_are_nearly_full() -> None:
    answer = choose_addresses([entry(1, "a", 0.05)], "a", Random(1))
    assert answer.lifetime_s == LOW_SPARE_LIFETIME_S
    assert choose_addresses([], "a", Random(1)).addresses == ()
