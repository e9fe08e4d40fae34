"""The ways to decide that are compared: replacements of the product's constants and functions."""

from __future__ import annotations

_POLICY = "bergamotchute_policy"

WAYS: dict[str, dict[str, object]] = {
    "present": {},
    "no pass limit": {
        f"{_POLICY}.concurrency_limit.ConcurrencyLimit.max_requests": lambda self, now: None
    },
    "paces unknown": {
        f"{_POLICY}.rank_pace.SLOW_PACE": 1e9,
        f"{_POLICY}.direct_placement.SLOW_PACE": 1e9,
    },
    "slow ranks keep requests": {f"{_POLICY}.direct_placement.SLOW_PACE": 1e9},
    "slow ranks keep experts": {"tools.group_bench.commander.pace_weight": lambda pace: 1.0},
    "a quarter avoided": {f"{_POLICY}.direct_placement.MAX_AVOIDED_SHARE": 0.25},
    "ratio 0.85": {f"{_POLICY}.concurrency_limit.PASS_TO_PAUSE_RATIO": 0.85},
    "ratio 1.05": {f"{_POLICY}.concurrency_limit.PASS_TO_PAUSE_RATIO": 1.05},
    "no slots kept": {f"{_POLICY}.slot_ledger.TIMELY_SLOT_RATIO": 0.0},
    "memory 2.5": {f"{_POLICY}.concurrency_limit.MEMORY_S": 2.5},
    "min slots 0.3": {f"{_POLICY}.concurrency_limit.MIN_SLOT_RATIO": 0.3},
    "min gain 0.15": {f"{_POLICY}.map_change_choice.BUSY_MIN_SKEW_GAIN": 0.15},
    "min gain 0.25": {f"{_POLICY}.map_change_choice.BUSY_MIN_SKEW_GAIN": 0.25},
}
