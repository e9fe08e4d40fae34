"""Requests and parts of prompts that may crash the endpoints which answer them.

A crash has suspects: the requests that waited for their first event at the endpoint, and the parts
of their prompts. A suspect that got an answer anywhere is sound. Entries and control VMs exchange
crashes and sound suspects, and each decides by itself with the same rules.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from bergamotchute_model.prompt_parts import Crash, Suspect

REQUIRED_CRASHES = 2
"""Crashes of a suspect that no sound request clears, until it is quarantined."""

MAX_REQUIRED_CRASHES = 4
"""Upper bound while endpoints also crash with no suspect, so that chance explains more crashes."""

UNEXPLAINED_CRASH_TTL_S = 30.0
"""How long a crash without a suspect raises the required number."""

CLEARANCE_WAIT_S = 0.25
"""Time for other entries to say that a suspect is sound; their messages take some milliseconds."""

PROBE_DELAY_S = 4.0
"""Time after a crash until one request with a suspect is sent: the endpoint has restarted by then,
so that a second crash doesn't take down another rank group as well."""

GROUP_REQUEST_PROBE_DELAY_S = 30.0
"""The same for a suspect request where a crash stops a whole rank group.

A suspect part may concern many callers, a suspect request only those who send it again.
"""

PROBE_INTERVAL_S = 2.0
"""Time between two such requests; the first event comes or the endpoint crashes within it."""

CRASH_TTL_S = 600.0
"""How long a crash counts against its suspects."""

QUARANTINE_S = 120.0
FINAL_QUARANTINE_S = 2_592_000.0
QUARANTINE_LENGTHS_S = (QUARANTINE_S, 2.0 * QUARANTINE_S, FINAL_QUARANTINE_S)
"""Lengths of the first and the further quarantines of a suspect.

After each one request proves the suspect again. From the third on it is left to operators, so that
no request crashes one endpoint after the other.
"""

MAX_CRASHES = 256
MAX_PARTS_PER_CRASH = 64
MAX_QUARANTINED = 128
MAX_CLEARANCES = 128
MAX_SOUND_PARTS_PER_TEAM = 256
MAX_SOUND_REQUESTS_PER_TEAM = 256
MAX_TEAMS = 128
"""Bounds of the tables. What is sound is counted for each team, so that one team's requests don't
displace those of another; requests, which are mostly new, don't displace parts."""


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

_SoundByTeam = OrderedDict[str, OrderedDict[Suspect, None]]
"""The suspects that got an answer by team, the one that did so last at the end."""


class CrashSuspects:
    """Collects crashes and sound parts, and decides which requests may be sent.

    A process that was cut off tells crashes and quarantines again that an operator cleared
    meanwhile. They are known by the crashes: none that was held against a part when it was cleared
    counts against it again.
    """

    def __init__(self) -> None:
        self.crashes: OrderedDict[tuple[str, int], _KnownCrash] = OrderedDict()
        self.crashes_by_part: dict[Suspect, set[tuple[str, int]]] = {}
        self.sound_by_team: _SoundByTeam = OrderedDict()
        self.sound_requests_by_team: _SoundByTeam = OrderedDict()
        self.probed_at: dict[Suspect, float] = {}
        self.quarantines: OrderedDict[Suspect, Quarantine] = OrderedDict()
        self.clearances: OrderedDict[Suspect, frozenset[tuple[str, int]]] = OrderedDict()

    def is_sound(self, part: Suspect) -> bool:
        """Return whether a request with the suspect got an answer."""
        by_team = self.sound_requests_by_team if part.is_request else self.sound_by_team
        return any(part in sound for sound in by_team.values())

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
            if key in self.clearances.get(part, ()):
                continue
            known.suspects.add(name)
            self.crashes_by_part.setdefault(part, set()).add(key)
            is_new = True
        return is_new

    def record_sound(self, service: str, parts: Iterable[str], team: str) -> tuple[str, ...]:
        """Record that a request with these parts got an answer.

        :return: those that were suspects or quarantined, which other processes must learn.
        """
        cleared: list[str] = []
        for name in parts:
            part = Suspect(service, name)
            if part.is_request:
                _add_sound(self.sound_requests_by_team, team, part, MAX_SOUND_REQUESTS_PER_TEAM)
            else:
                _add_sound(self.sound_by_team, team, part, MAX_SOUND_PARTS_PER_TEAM)
            if part in self.crashes_by_part or part in self.quarantines:
                self._clear(part)
                cleared.append(name)
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
        if self._is_cleared(part, quarantine):
            return False
        self._put_quarantine(part, quarantine)
        return True

    def clear(self, part: Suspect) -> bool:
        """Clear a part by order of an operator; return whether anything was held against it."""
        is_known = part in self.crashes_by_part or part in self.quarantines
        held = set(self.crashes_by_part.get(part, ()))
        if part in self.quarantines:
            held.update(self.quarantines[part].crashes)
        self._clear(part)
        self._remember_clearance(part, held)
        return is_known

    def record_clearance(self, part: Suspect, crashes: Iterable[tuple[str, int]]) -> bool:
        """Take over that an operator cleared a part of these crashes; return whether it is news."""
        cleared = set(crashes)
        if cleared <= self.clearances.get(part, frozenset()):
            return False
        self._remember_clearance(part, cleared)
        held = self.crashes_by_part.get(part, set())
        for key in held & cleared:
            self.crashes[key].suspects.discard(part.part)
            held.discard(key)
        if not held:
            self.crashes_by_part.pop(part, None)
        quarantine = self.quarantines.get(part)
        if quarantine is not None and self._is_cleared(part, quarantine):
            del self.quarantines[part]
        if part not in self.crashes_by_part and part not in self.quarantines:
            self.probed_at.pop(part, None)
        return True

    def _remember_clearance(self, part: Suspect, crashes: set[tuple[str, int]]) -> None:
        crashes = crashes | self.clearances.pop(part, frozenset())
        if not crashes:
            return
        latest = sorted(crashes, key=lambda key: key[1])[-MAX_CRASHES:]
        self.clearances[part] = frozenset(latest)
        if len(self.clearances) > MAX_CLEARANCES:
            self.clearances.popitem(last=False)

    def _is_cleared(self, part: Suspect, quarantine: Quarantine) -> bool:
        """Return whether all crashes of a quarantine were held against the part when cleared."""
        cleared = self.clearances.get(part)
        return cleared is not None and cleared.issuperset(quarantine.crashes)

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
            length_s = QUARANTINE_LENGTHS_S[min(quarantine_count, len(QUARANTINE_LENGTHS_S)) - 1]
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
        requests, parts = self._companions(part, keys)
        if requests and not part.is_request:
            # One request explains all of these crashes, so they prove nothing against a part.
            return False
        # Of two suspects of one kind with the same crashes, only a further crash tells which of
        # them is the cause.
        return len(keys) > required or not (requests if part.is_request else parts)

    def _companions(
        self, part: Suspect, keys: set[tuple[str, int]]
    ) -> tuple[list[Suspect], list[Suspect]]:
        """Return the requests and the parts that are suspects of the same crashes as well."""
        names = set.intersection(*(self.crashes[key].suspects for key in keys)) - {part.part}
        suspects = [Suspect(part.service, name) for name in names]
        requests = [each for each in suspects if each.is_request]
        return requests, [each for each in suspects if not each.is_request]

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
        """Return the suspects among the named ones that something is held against."""
        known = [Suspect(service, name) for name in parts]
        return [each for each in known if each in self.crashes_by_part or each in self.quarantines]

    def decide(
        self, service: str, parts: Sequence[str], now: float, stops_group: bool = True
    ) -> SuspectDecision:
        """Decide whether a request with these suspects may be sent now.

        :meth:`update` must have been called at this time.

        :param stops_group: whether a crash of one of the service's endpoints stops others as well.
        """
        decisions = [
            (
                self._decide_request(suspect, now, stops_group)
                if suspect.is_request
                else self._decide_part(suspect, now)
            )
            for suspect in self.held_parts(service, parts)
        ]
        return max(
            decisions, key=lambda each: (_SEVERITY[each.action], each.wait_s), default=FORWARD
        )

    def _decide_part(self, part: Suspect, now: float) -> SuspectDecision:
        wait_s = self._clearance_wait_s(part, now)
        if wait_s > 0:
            return SuspectDecision(SuspectAction.WAIT, part.part, wait_s, self._crash_count(part))
        return self._decide_probe(part, now, PROBE_DELAY_S)

    def _decide_request(self, suspect: Suspect, now: float, stops_group: bool) -> SuspectDecision:
        # Nothing but the same request clears it, so that no attempt waits for others.
        if self._crash_count(suspect) >= self._required_crashes(suspect.service, now):
            wait_s = self._clearance_wait_s(suspect, now)
            if wait_s > 0:
                return SuspectDecision(
                    SuspectAction.HOLD, suspect.part, wait_s, self._crash_count(suspect)
                )
        return self._decide_probe(suspect, now, GROUP_REQUEST_PROBE_DELAY_S if stops_group else 0.0)

    def _clearance_wait_s(self, suspect: Suspect, now: float) -> float:
        """Return the rest of the time for other entries to say that a suspect is sound."""
        quarantine = self.quarantines.get(suspect)
        is_quarantined = quarantine is not None and now < quarantine.until
        if is_quarantined or suspect not in self.crashes_by_part:
            return 0.0
        return self._last_crash_at(suspect) + CLEARANCE_WAIT_S - now

    def _crash_count(self, suspect: Suspect) -> int:
        return len(self.crashes_by_part.get(suspect, ()))

    def _decide_probe(self, suspect: Suspect, now: float, probe_delay_s: float) -> SuspectDecision:
        """Reject, hold or probe a suspect.

        :param probe_delay_s: the time after a crash until it may be probed, in seconds.
        """
        quarantine = self.quarantines.get(suspect)
        if quarantine is not None and now < quarantine.until:
            left_s = quarantine.until - now
            crashes = len(quarantine.crashes)
            return SuspectDecision(SuspectAction.REJECT, suspect.part, left_s, crashes)
        crashes = self._crash_count(suspect)
        probe_at = self.probed_at.get(suspect, float("-inf")) + PROBE_INTERVAL_S
        if crashes:
            probe_at = max(probe_at, self._last_crash_at(suspect) + probe_delay_s)
        if now < probe_at:
            return SuspectDecision(SuspectAction.HOLD, suspect.part, probe_at - now, crashes)
        return SuspectDecision(SuspectAction.PROBE, suspect.part, 0.0, crashes)


def _add_sound(by_team: _SoundByTeam, team: str, suspect: Suspect, most: int) -> None:
    """Record a suspect that got an answer, and drop the oldest ones beyond the bounds."""
    sound = by_team.setdefault(team, OrderedDict())
    by_team.move_to_end(team)
    sound[suspect] = None
    sound.move_to_end(suspect)
    if len(sound) > most:
        sound.popitem(last=False)
    if len(by_team) > MAX_TEAMS:
        by_team.popitem(last=False)


_SEVERITY = {action: rank for rank, action in enumerate(SuspectAction)}
