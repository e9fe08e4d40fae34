"""Replays of loads that rank groups met, each with and without the decision that answers it.

The bench of groups plays them: callers, entries, agents' ledgers and a group that runs pass after
pass, with the decisions of the product.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest
from tools.group_bench import commander
from tools.group_bench.group_file import Crest, GroupFile, SlowRanks, read_group_file
from tools.group_bench.group_simulation import GroupSimulation

from bergamotchute_policy import concurrency_limit, direct_placement, slot_ledger

EXAMPLES = Path(__file__).parents[2] / "examples" / "groups"
SEEDS = range(2)
RANKS = 24
SECONDS = 14.0


def small_group(name: str, **changes: object) -> GroupFile:
    """Return an example with fewer ranks and as much load a rank."""
    whole = read_group_file(EXAMPLES / f"{name}.toml")
    share = RANKS / whole.group.ranks
    return replace(
        whole,
        group=replace(whole.group, ranks=RANKS, entries=round(share * whole.group.entries)),
        engine=replace(whole.engine, experts=round(share * whole.engine.experts)),
        kinds=tuple(replace(kind, per_s=share * kind.per_s) for kind in whole.kinds),
        crests=(),
        slow=(),
        outages=(),
        seconds=SECONDS,
        **changes,  # type: ignore[arg-type]
    )


def mean_worth(file: GroupFile) -> float:
    """Return the value that callers got over the value owed to them, over all seeds."""
    earned = owed = 0.0
    for seed in SEEDS:
        simulation = GroupSimulation(file, seed)
        simulation.run()
        for request in simulation.requests:
            if request.first_asked_at < SECONDS - 3.0:
                earned += request.earned
                owed += request.owed
    return earned / owed


def test_a_limit_pays_while_demand_moves_to_other_experts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load pattern: nearly all slots in use, and a shift of demand every 2.3 s."""
    file = replace(read_group_file(EXAMPLES / "63-ranks.toml"), seconds=SECONDS)
    with_limit = mean_worth(file)
    monkeypatch.setattr(concurrency_limit.ConcurrencyLimit, "max_requests", lambda self, now: None)
    assert with_limit > 1.05 * mean_worth(file)


def test_callers_in_time_find_slots_at_a_lasting_peak_load(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Late callers who return would take the slots that make others late.

    Load pattern: for five seconds more requests than the group can serve in time.
    """
    file = replace(read_group_file(EXAMPLES / "63-ranks.toml"), seconds=SECONDS)
    present = mean_worth(file)
    monkeypatch.setattr(slot_ledger, "TIMELY_SLOT_RATIO", 1 / 3)
    assert present > mean_worth(file)


def _without_placement(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(direct_placement.EndpointLoadEstimate, "is_slow", lambda self, now: False)


def _without_planning(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(commander, "pace_weight", lambda pace: 1.0)


@pytest.mark.parametrize("without", [_without_placement, _without_planning])
def test_a_slow_rank_gets_neither_requests_nor_popular_experts(
    without: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Neither half is enough alone.

    Load pattern: one rank takes 4.4 times as long as the others for most of the time.
    """
    file = replace(small_group("72-ranks"), slow=(SlowRanks(3.0, 9.0, 4.4),))
    with_both = mean_worth(file)
    without(monkeypatch)
    assert with_both > mean_worth(file)


def test_callers_return_when_a_slot_is_likely(monkeypatch: pytest.MonkeyPatch) -> None:
    """A caller that comes back into the same peak load is refused twice.

    Load pattern: for five seconds nearly twice the usual requests.
    """
    file = replace(small_group("63-ranks"), crests=(Crest(3.0, 5.0, 1.8),))
    present = mean_worth(file)
    monkeypatch.setattr(direct_placement, "RETRY_MIN_DURATIONS", 0.0)
    assert present > mean_worth(file)
