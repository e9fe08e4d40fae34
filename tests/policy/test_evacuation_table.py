"""The evacuations that an entry knows, told by control VMs some of which lag."""

from __future__ import annotations

from itertools import permutations

from bergamotchute_model.evacuations import ZoneEvacuation
from bergamotchute_policy.evacuation_table import EvacuationTable

START = ZoneEvacuation("north", 1, True)
END = ZoneEvacuation("north", 2, False)
AGAIN = ZoneEvacuation("north", 3, True)
OTHER = ZoneEvacuation("south", 1, True)


def test_each_order_of_arrival_leaves_the_newest_evacuation_of_each_zone() -> None:
    for messages in permutations([START, END, AGAIN, OTHER, START, END]):
        table = EvacuationTable()
        for each in messages:
            table.update([each])
        assert table.evacuated_zones() == {"north", "south"}


def test_evacuation_that_has_ended_does_not_return_by_an_older_message() -> None:
    table = EvacuationTable()
    assert table.update([START]) == [START]
    assert table.update([END]) == [END]
    assert not table.update([START])
    assert not table.evacuated_zones()


def test_end_that_comes_before_its_start_changes_nothing_but_holds() -> None:
    table = EvacuationTable()
    assert not table.update([END])
    assert not table.update([START])
    assert not table.evacuated_zones()
