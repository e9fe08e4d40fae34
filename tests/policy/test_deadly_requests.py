"""Which requests are sent after one of them crashed the endpoints that ran it."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import pytest

from bergamotchute_model.prompt_parts import Crash, Suspect, request_name
from bergamotchute_policy import crash_suspects as policy
from bergamotchute_policy.crash_suspects import CrashSuspects, SuspectAction

SERVICE = "model"
DEADLY = request_name("dead")
SEEN_CRASHES = 3
ALLOWED_SENDS = 3
STABLE_WINDOW_S = 3.0
"""From this time after its third crash a request may be sent to endpoints so many times more."""


def crash(number: int, *names: str) -> Crash:
    return Crash(SERVICE, f"runner-{number}", 1000 + number, names)


def action(
    suspects: CrashSuspects, now: float, *names: str, stops_group: bool = True
) -> SuspectAction:
    suspects.update(now)
    return suspects.decide(SERVICE, names, now, stops_group).action


def test_request_that_crashed_a_rank_group_is_sent_to_the_next() -> None:
    suspects = CrashSuspects()
    suspects.record_crash(crash(1, DEADLY), 10.0)
    assert action(suspects, 10.0, DEADLY) is SuspectAction.HOLD
    assert action(suspects, 39.9, DEADLY) is SuspectAction.HOLD
    assert action(suspects, 40.1, DEADLY) is SuspectAction.PROBE
    assert action(suspects, 40.1, request_name("other")) is SuspectAction.FORWARD


def test_request_lost_with_a_plain_endpoint_is_not_sent_again() -> None:
    # A crash of a plain endpoint stops no others, and most of its requests are sound.
    suspects = CrashSuspects()
    suspects.record_crash(crash(1, DEADLY, request_name("beside")), 10.0)
    assert action(suspects, 10.0, DEADLY, stops_group=False) is SuspectAction.PROBE
    suspects.record_probe(Suspect(SERVICE, DEADLY), 10.0)
    assert action(suspects, 10.1, DEADLY, stops_group=False) is SuspectAction.HOLD
    assert action(suspects, 10.1, request_name("beside"), stops_group=False) is SuspectAction.PROBE
    suspects.record_crash(crash(2, DEADLY), 10.2)
    assert action(suspects, 10.3, DEADLY, stops_group=False) is SuspectAction.HOLD
    assert action(suspects, 10.5, DEADLY, stops_group=False) is SuspectAction.REJECT


def test_rare_part_of_a_deadly_request_is_quarantined_with_it() -> None:
    suspects = CrashSuspects()
    for number, at in ((1, 10.0), (2, 41.0), (3, 42.0)):
        suspects.record_crash(crash(number, DEADLY, "rare"), at)
    assert action(suspects, 42.5, DEADLY, "rare") is SuspectAction.REJECT
    assert action(suspects, 46.1, "rare") is SuspectAction.PROBE
    suspects.record_sound(SERVICE, ["rare"], "team-1")
    assert action(suspects, 46.2, "rare") is SuspectAction.FORWARD


def test_requests_hide_the_part_that_they_share() -> None:
    suspects = CrashSuspects()
    suspects.record_crash(crash(1, request_name("1"), "shared"), 10.0)
    suspects.record_crash(crash(2, request_name("2"), "shared"), 15.0)
    assert action(suspects, 15.5, "shared") is SuspectAction.REJECT
    assert action(suspects, 15.5, request_name("2")) is SuspectAction.HOLD


def test_frequent_request_that_was_beside_a_crash_stays_held() -> None:
    suspects = CrashSuspects()
    suspects.record_crash(crash(1, DEADLY), 10.0)
    assert suspects.record_sound(SERVICE, [DEADLY], "team-1") == (DEADLY,)
    assert action(suspects, 10.1, DEADLY) is SuspectAction.FORWARD
    suspects.record_crash(crash(2, DEADLY), 12.0)
    assert action(suspects, 12.1, DEADLY) is SuspectAction.FORWARD


def test_answered_requests_displace_sound_parts() -> None:
    suspects = CrashSuspects()
    suspects.record_sound(SERVICE, ["part"], "team-1")
    for number in range(10_000):
        suspects.record_sound(SERVICE, [request_name(str(number))], "team-1")
    assert suspects.is_sound(Suspect(SERVICE, "part"))
    sound = suspects.sound_requests_by_team["team-1"]
    assert len(sound) == policy.MAX_SOUND_REQUESTS_PER_TEAM


@dataclass
class Service:
    """Endpoints of which some crash by themselves, and a request that crashes all of them."""

    random: Random
    stops_group: bool
    ordinary_crash_s: float
    size: int = 6
    suspects: CrashSuspects = field(default_factory=CrashSuspects)
    down_until: dict[int, float] = field(default_factory=dict)
    crash_count: int = 0
    sent_at: list[float] = field(default_factory=list)
    deadly_crashes_at: list[float] = field(default_factory=list)

    def run(self, duration_s: float, arrival_interval_s: float) -> None:
        """Let the deadly request arrive, and endpoints crash by themselves, at random times."""
        arrives_at = self.random.expovariate(1 / arrival_interval_s)
        crashes_at = self.random.expovariate(1 / self.ordinary_crash_s)
        while (now := min(arrives_at, crashes_at)) < duration_s:
            if now == arrives_at:
                arrives_at = now + self.random.expovariate(1 / arrival_interval_s)
                self._arrive(now)
            else:
                crashes_at = now + self.random.expovariate(1 / self.ordinary_crash_s)
                beside = [request_name(f"beside-{now}")] if self.random.random() < 0.5 else []
                self._crash(now, *beside)

    def _arrive(self, now: float) -> None:
        # An attempt and one retry, as the route of the request allows.
        for _ in range(2):
            up = [each for each in range(self.size) if self.down_until.get(each, 0.0) <= now]
            decision = action(self.suspects, now, DEADLY, stops_group=self.stops_group)
            if decision not in (SuspectAction.FORWARD, SuspectAction.PROBE) or not up:
                return
            self.suspects.record_probe(Suspect(SERVICE, DEADLY), now)
            self.sent_at.append(now)
            self.deadly_crashes_at.append(now)
            self._crash(now, DEADLY, endpoint=self.random.choice(up))

    def _crash(self, now: float, *names: str, endpoint: int | None = None) -> None:
        endpoint = self.random.randrange(self.size) if endpoint is None else endpoint
        self.crash_count += 1
        self.down_until[endpoint] = now + 3.0
        self.suspects.record_crash(crash(100 * self.crash_count + endpoint, *names), now)


@pytest.mark.parametrize("stops_group", [True, False])
@pytest.mark.parametrize("ordinary_crash_s", [6.0, 10_000.0])
@pytest.mark.parametrize("seed", range(4))
def test_deadly_request_is_sent_on_after_three_crashes(
    seed: int, ordinary_crash_s: float, stops_group: bool
) -> None:
    service = Service(Random(seed), stops_group, ordinary_crash_s)
    service.run(duration_s=1_800.0, arrival_interval_s=2.0)
    third_at = [*service.deadly_crashes_at, *[float("inf")] * SEEN_CRASHES][SEEN_CRASHES - 1]
    late = [each for each in service.sent_at if each > third_at + STABLE_WINDOW_S]
    assert len(late) <= ALLOWED_SENDS
    names = {suspect.part for suspect in service.suspects.quarantines}
    assert names <= {DEADLY}


def test_first_minute_of_a_deadly_request_costs_many_rank_groups() -> None:
    service = Service(Random(1), stops_group=True, ordinary_crash_s=10_000.0)
    service.run(duration_s=60.0, arrival_interval_s=0.5)
    assert len(service.deadly_crashes_at) == policy.REQUIRED_CRASHES
