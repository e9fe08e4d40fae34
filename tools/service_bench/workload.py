"""Arrivals that swing, with a few pieces of work that are many times longer."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp
from random import Random

SHORT_TOKENS = 30.0
LONG_FACTOR = 30.0
LONG_PART = 0.05
TOKENS_S = 30.0
SWING = 8.0
RAMP_S = 2.0
QUIET_S = 30.0
CREST_S = 20.0
CYCLES = 3
PERIOD_S = QUIET_S + 2 * RAMP_S + CREST_S
ARRIVALS_S = CYCLES * PERIOD_S
TEAM_SHARES = (5.0, 4.0, 3.0, 1.0, 1.0, 1.0, 0.5, 0.5, 0.5, 0.5)
TEAM_WEIGHTS = {f"team-{index}": share for index, share in enumerate(TEAM_SHARES)}
SLOPPY_TEAM = 2
MAX_TOKENS = (64, 128, 256, 512, 1024, 2048, 4096)


@dataclass(slots=True)
class Request:
    """A request and what became of it.

    :param tokens: what it will really generate.
    :param at_crest: whether it arrived from the beginning of a ramp to the end of its crest.
    :param verdicts: one word for each answer that its caller got.
    """

    number: int
    arrival: float
    team: str
    entry: int
    tokens: float
    prompt_tokens: int
    max_tokens: int
    long: bool
    deadline: float
    at_crest: bool
    started: float | None = None
    finished: float | None = None
    attempts: int = 0
    prefix: int = 0
    reading_s: float = 0.0
    verdicts: list[str] = field(default_factory=list)

    def met(self) -> bool:
        """Return whether the whole answer came in time."""
        return self.finished is not None and self.finished <= self.deadline


@dataclass(frozen=True)
class Traffic:
    """What varies between measurements.

    :param crest_rate: requests a second at the crest.
    :param deadlines: whether callers give up.
    :param prompts: whether reading a prompt takes time, unless its beginning is cached.
    :param large_team: how many times its share the first team sends.
    """

    crest_rate: float
    deadlines: bool = False
    large_team: float = 1.0
    prompts: bool = False


def swing(time: float) -> float:
    """Return the rate at a time, as a part of the crest's."""
    phase = time % PERIOD_S
    quiet = 1.0 / SWING
    if phase < QUIET_S:
        return quiet
    phase -= QUIET_S
    if phase < RAMP_S:
        return quiet + (1.0 - quiet) * phase / RAMP_S
    if phase < RAMP_S + CREST_S:
        return 1.0
    return 1.0 - (1.0 - quiet) * (phase - RAMP_S - CREST_S) / RAMP_S


def requests(traffic: Traffic, seed: int) -> list[Request]:
    """Return the arrivals of one run, by time.

    Each team has its own stream of draws, so that a larger team leaves the others' arrivals alone.
    """
    arrivals: list[Request] = []
    for index, share in enumerate(TEAM_SHARES):
        factor = traffic.large_team if index == 0 else 1.0
        rate = traffic.crest_rate * share / sum(TEAM_SHARES) * factor
        arrivals.extend(_team_requests(index, rate, traffic, Random(f"{seed}/{index}")))
    arrivals.sort(key=lambda request: request.arrival)
    for number, request in enumerate(arrivals):
        request.number = number
    return arrivals


def _team_requests(team: int, rate: float, traffic: Traffic, random: Random) -> list[Request]:
    """Return one team's arrivals, a thinned Poisson stream."""
    arrivals: list[Request] = []
    time = random.expovariate(rate)
    while time < ARRIVALS_S:
        if random.random() < swing(time):
            arrivals.append(_request(team, time, traffic, random))
        time += random.expovariate(rate)
    return arrivals


def _request(team: int, time: float, traffic: Traffic, random: Random) -> Request:
    """Return one request; the part of long work drifts from 0.6 to 1.4 times its mean."""
    drift = 0.6 + 0.8 * time / ARRIVALS_S
    long = random.random() < LONG_PART * drift
    spread = 0.3 if long else 0.5
    mean = SHORT_TOKENS * (LONG_FACTOR if long else 1.0)
    tokens = min(4_000.0, max(2.0, mean * exp(random.gauss(-spread * spread / 2, spread))))
    service_s = tokens / TOKENS_S
    patience_s = (10.0 if long else 2.0) + 2.0 * service_s
    return Request(
        number=0,
        arrival=time,
        team=f"team-{team}",
        entry=random.randrange(2),
        tokens=tokens,
        prompt_tokens=random.randrange(1_500, 3_000) if long else random.randrange(100, 400),
        max_tokens=_max_tokens(team, tokens, random),
        long=long,
        deadline=time + (patience_s if traffic.deadlines else 10_000.0),
        at_crest=QUIET_S <= time % PERIOD_S < QUIET_S + RAMP_S + CREST_S,
        prefix=team * 8 + random.randrange(8) + 1,
        reading_s=0.5 if traffic.prompts else 0.0,
    )


def _max_tokens(team: int, tokens: float, random: Random) -> int:
    """Return the limit that the caller states; one team states the same for all."""
    if team == SLOPPY_TEAM:
        return MAX_TOKENS[-1]
    wanted = tokens * random.uniform(1.0, 3.0)
    return next((step for step in MAX_TOKENS if step >= wanted), MAX_TOKENS[-1])
