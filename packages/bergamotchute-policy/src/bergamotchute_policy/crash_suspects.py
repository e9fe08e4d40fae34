"""Prompt parts that may crash the endpoints which answer them.

A crash has suspects: the parts of the requests that waited for their first event at the endpoint.
A part that got an answer anywhere is sound. Entries and control VMs exchange crashes and sound
parts, and each decides by itself with the same rules.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from bergamotchute_model.prompt_parts import Crash, Suspect

REQUIRED_CRASHES = 2
"""Crashes of a part that no sound request clears, until it is quarantined."""

MAX_REQUIRED_CRASHES = 4
"""Upper bound while endpoints also crash with no suspect, so that chance explains more crashes."""

UNEXPLAINED_CRASH_TTL_S = 30.0
"""How long a crash without a suspect raises the required number."""

CLEARANCE_WAIT_S = 0.25
"""Time for other entries to say that a suspect is sound; their messages take some milliseconds."""

PROBE_DELAY_S = 4.0
"""Time after a crash until one request with a suspect is sent: the endpoint has restarted by then,
so that a second crash doesn't take down another rank group as well."""

PROBE_INTERVAL_S = 2.0
"""Time between two such requests; the first event comes or the endpoint crashes within it."""

CRASH_TTL_S = 600.0
"""How long a crash counts against its suspects."""

QUARANTINE_S = 120.0
MAX_QUARANTINE_S = 3600.0
"""First and longest time of a quarantine; it doubles each time a probe crashes an endpoint."""

MAX_CRASHES = 256
MAX_PARTS_PER_CRASH = 64
MAX_QUARANTINED = 128
MAX_SOUND_PARTS_PER_TEAM = 256
MAX_TEAMS = 128
"""Bounds of the tables. Sound parts are counted for each team, so that one team's prompts don't
displace those of another."""


@dataclass
class _KnownCrash:
    service: str
    at: float
    suspects: set[str] = field(default_factory=set)


@dataclass
class Quarantine:
    """A part that crashed endpoints, and how long requests with it are rejected.

    :param until: when one request may prove it again, on the runtime's clock.
    :param quarantine_count: how often it was quarantined.
    :param crashes: the endpoints that it crashed, with their incarnations.
    """

    until: float
    quarantine_count: int
    crashes: tuple[tuple[str, int], ...]


class SuspectAction(StrEnum):
    """What to do with a request before an attempt, the most severe last.

    ``PROBE``: send it alone with its suspects. ``WAIT``: other entries may clear its suspects in a
    moment. ``HOLD``: send it later, as a probe may not be sent yet. ``REJECT``: never send it.
    """

    FORWARD = "forward"
    PROBE = "probe"
    WAIT = "wait"
    HOLD = "hold"
    REJECT = "reject"


@dataclass(frozen=True)
class SuspectDecision:
    """A decision on a request, and the part that it is about.

    :param wait_s: for ``WAIT`` and ``HOLD`` how long, for ``REJECT`` the rest of the quarantine, in
        seconds.
    :param crashes: crashes that count against the part.
    """

    action: SuspectAction
    part: str = ""
    wait_s: float = 0.0
    crashes: int = 0


FORWARD = SuspectDecision(SuspectAction.FORWARD)


class CrashSuspects:
    """Collects crashes and sound parts, and decides which requests may be sent."""

    def __init__(self) -> None:
        self.crashes: OrderedDict[tuple[str, int], _KnownCrash] = OrderedDict()
        self.crashes_by_part: dict[Suspect, set[tuple[str, int]]] = {}
        self.sound_by_team: OrderedDict[str, OrderedDict[Suspect, None]] = OrderedDict()
        self.probed_at: dict[Suspect, float] = {}
        self.quarantines: OrderedDict[Suspect, Quarantine] = OrderedDict()

    def is_sound(self, part: Suspect) -> bool:
        """Return whether a request with the part got an answer."""
        return any(part in parts for parts in self.sound_by_team.values())

    def record_crash(self, crash: Crash, at: float) -> bool:
        """Record a crash, also when other suspects of it are known; return whether it is news.

        :param at: when it happened, on the runtime's clock.
        """
        key = (crash.endpoint, crash.born_ms)
        known = self.crashes.get(key)
        is_new = known is None
        if known is None:
            known = self.crashes[key] = _KnownCrash(crash.service, at)
            if len(self.crashes) > MAX_CRASHES:
                self._forget_crash(next(iter(self.crashes)))
        for name in crash.parts:
            part = Suspect(crash.service, name)
            is_full = len(known.suspects) >= MAX_PARTS_PER_CRASH
            if name in known.suspects or is_full or self.is_sound(part):
                continue
            known.suspects.add(name)
            self.crashes_by_part.setdefault(part, set()).add(key)
            is_new = True
        return is_new

    def record_sound(self, service: str, parts: Iterable[str], team: str) -> tuple[str, ...]:
        """Record that a request with these parts got an answer.

        :return: those that were suspects or quarantined, which other processes must learn.
        """
        sound = self.sound_by_team.get(team)
        if sound is None:
            sound = self.sound_by_team[team] = OrderedDict()
            if len(self.sound_by_team) > MAX_TEAMS:
                self.sound_by_team.popitem(last=False)
        self.sound_by_team.move_to_end(team)
        cleared: list[str] = []
        for name in parts:
            part = Suspect(service, name)
            sound[part] = None
            sound.move_to_end(part)
            if part in self.crashes_by_part or part in self.quarantines:
                self._clear(part)
                cleared.append(name)
        while len(sound) > MAX_SOUND_PARTS_PER_TEAM:
            sound.popitem(last=False)
        return tuple(cleared)

    def record_probe(self, part: Suspect, now: float) -> None:
        """Record that some entry sent a request with a suspect."""
        if part in self.crashes_by_part or part in self.quarantines:
            self.probed_at[part] = now

    def record_quarantine(self, part: Suspect, quarantine: Quarantine) -> bool:
        """Take over the quarantine that another process knows; return whether it is news."""
        known = self.quarantines.get(part)
        if self.is_sound(part) or (
            known is not None and known.quarantine_count >= quarantine.quarantine_count
        ):
            return False
        self._put_quarantine(part, quarantine)
        return True

    def clear(self, part: Suspect) -> bool:
        """Clear a part by order of an operator; return whether anything was held against it."""
        is_known = part in self.crashes_by_part or part in self.quarantines
        self._clear(part)
        return is_known

    def _clear(self, part: Suspect) -> None:
        for key in self.crashes_by_part.pop(part, ()):
            self.crashes[key].suspects.discard(part.part)
        self.quarantines.pop(part, None)
        self.probed_at.pop(part, None)

    def _forget_crash(self, key: tuple[str, int]) -> None:
        crash = self.crashes.pop(key)
        for name in crash.suspects:
            part = Suspect(crash.service, name)
            self.crashes_by_part[part].discard(key)
            if not self.crashes_by_part[part]:
                del self.crashes_by_part[part]
                self.probed_at.pop(part, None)

    def update(self, now: float) -> list[Suspect]:
        """Forget old crashes, and quarantine the parts that evidence suffices for; return these."""
        while self.crashes and now - next(iter(self.crashes.values())).at > CRASH_TTL_S:
            self._forget_crash(next(iter(self.crashes)))
        due = [part for part in self.crashes_by_part if self._is_quarantine_due(part, now)]
        for part in due:
            known = self.quarantines.get(part)
            quarantine_count = known.quarantine_count + 1 if known is not None else 1
            length_s = min(MAX_QUARANTINE_S, QUARANTINE_S * 2.0 ** (quarantine_count - 1))
            keys = tuple(sorted(self.crashes_by_part[part]))
            self._put_quarantine(part, Quarantine(now + length_s, quarantine_count, keys))
        return due

    def _put_quarantine(self, part: Suspect, quarantine: Quarantine) -> None:
        self.quarantines.pop(part, None)
        self.quarantines[part] = quarantine
        if len(self.quarantines) > MAX_QUARANTINED:
            self.quarantines.popitem(last=False)

    def _is_quarantine_due(self, part: Suspect, now: float) -> bool:
        keys = self.crashes_by_part[part]
        if now < self._last_crash_at(part) + CLEARANCE_WAIT_S:
            return False
        quarantine = self.quarantines.get(part)
        if quarantine is not None:
            # Crashes before the quarantine are counted already; one after its end is a failed probe.
            return any(self.crashes[key].at >= quarantine.until for key in keys)
        required = self._required_crashes(part.service, now)
        if len(keys) < required:
            return False
        # Of two parts with the same crashes, only a further crash tells which of them is the cause.
        return len(keys) > required or not self._has_companion(part, keys)

    def _has_companion(self, part: Suspect, keys: set[tuple[str, int]]) -> bool:
        companions = set.intersection(*(self.crashes[key].suspects for key in keys))
        return len(companions - {part.part}) > 0

    def _required_crashes(self, service: str, now: float) -> int:
        unexplained = sum(
            not crash.suspects
            for crash in self.crashes.values()
            if crash.service == service and now - crash.at < UNEXPLAINED_CRASH_TTL_S
        )
        return min(REQUIRED_CRASHES + unexplained, MAX_REQUIRED_CRASHES)

    def _last_crash_at(self, part: Suspect) -> float:
        return max(self.crashes[key].at for key in self.crashes_by_part[part])

    def suspects_of(self, service: str, parts: Sequence[str]) -> tuple[str, ...]:
        """Return the parts that no answer has cleared."""
        return tuple(name for name in parts if not self.is_sound(Suspect(service, name)))

    def held_parts(self, service: str, parts: Sequence[str]) -> list[Suspect]:
        """Return the parts that something is held against."""
        known = [Suspect(service, name) for name in parts]
        return [each for each in known if each in self.crashes_by_part or each in self.quarantines]

    def decide(self, service: str, parts: Sequence[str], now: float) -> SuspectDecision:
        """Decide whether a request with these parts may be sent now.

        :meth:`update` must have been called at this time.
        """
        decisions = [self._decide_part(part, now) for part in self.held_parts(service, parts)]
        return max(
            decisions, key=lambda each: (_SEVERITY[each.action], each.wait_s), default=FORWARD
        )

    def _decide_part(self, part: Suspect, now: float) -> SuspectDecision:
        quarantine = self.quarantines.get(part)
        crashes = len(self.crashes_by_part.get(part, ()))
        if quarantine is not None and now < quarantine.until:
            left_s = quarantine.until - now
            return SuspectDecision(SuspectAction.REJECT, part.part, left_s, len(quarantine.crashes))
        if part in self.crashes_by_part:
            since_crash_s = now - self._last_crash_at(part)
            if since_crash_s < CLEARANCE_WAIT_S:
                return SuspectDecision(
                    SuspectAction.WAIT, part.part, CLEARANCE_WAIT_S - since_crash_s, crashes
                )
            if since_crash_s < PROBE_DELAY_S:
                return SuspectDecision(
                    SuspectAction.HOLD, part.part, PROBE_DELAY_S - since_crash_s, crashes
                )
        since_probe_s = now - self.probed_at.get(part, float("-inf"))
        if since_probe_s < PROBE_INTERVAL_S:
            return SuspectDecision(
                SuspectAction.HOLD, part.part, PROBE_INTERVAL_S - since_probe_s, crashes
            )
        return SuspectDecision(SuspectAction.PROBE, part.part, 0.0, crashes)


_SEVERITY = {action: rank for rank, action in enumerate(SuspectAction)}
