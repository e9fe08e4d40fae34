"""Faults at peak load: every request gets one verdict, and most meet their deadline."""

from __future__ import annotations

from tools.measure_service import all_fail, quarter_fails, zone_goes
from tools.service_bench.trial import run, scheduled
from tools.service_bench.workload import Traffic

TRAFFIC = Traffic(30.0, deadlines=True)


def test_losing_a_zone_at_peak_load_keeps_deadlines() -> None:
    figures = run(scheduled(), TRAFFIC, seed=1, fault=zone_goes)
    assert figures.no_verdict == 0
    assert figures.met >= 0.97


def test_retries_add_at_most_ten_percent_load_when_all_runners_fail() -> None:
    figures = run(scheduled(), TRAFFIC, seed=1, fault=all_fail)
    assert figures.no_verdict == 0
    assert figures.load <= 1.1


def test_retries_recover_the_requests_of_a_failing_quarter_of_runners() -> None:
    figures = run(scheduled(), TRAFFIC, seed=1, fault=quarter_fails)
    assert figures.no_verdict == 0
    assert figures.load <= 1.1
    assert figures.met >= 0.97
