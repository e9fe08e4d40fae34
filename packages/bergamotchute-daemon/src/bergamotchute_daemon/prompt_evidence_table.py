"""The evidence on prompt parts at one process, merged from its own and that of others."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import anyio

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_model.prompt_parts import (
    Clearance,
    Crash,
    PromptEvidence,
    QuarantinedPart,
    Suspect,
)
from bergamotchute_policy.crash_suspects import CrashSuspects, Quarantine

MAX_LOGGED_PARTS = 8

UPDATE_INTERVAL_S = 0.05
"""Time between two looks through all suspects, which each request would repeat otherwise."""


@dataclass
class PromptEvidenceTable:
    """Merges evidence, logs what it leads to, and tells what others don't know yet.

    :param crash_count: crashes recorded since the start of the process.
    :param quarantine_count: quarantines since the start of the process.
    :param clearance_count: suspects that were cleared since the start of the process.
    """

    log: EventLog
    suspects: CrashSuspects = field(default_factory=CrashSuspects)
    crash_count: int = 0
    quarantine_count: int = 0
    clearance_count: int = 0
    updated_at: float = float("-inf")

    def merge(self, evidence: PromptEvidence) -> PromptEvidence | None:
        """Add the evidence of another process; return what is news here, if anything."""
        now = anyio.current_time()
        # Crashes and quarantines after a clearance aren't compared with those before it.
        clearances = [each for each in evidence.clearances if self._record_clearance(each)]
        crashes = tuple(
            (crash, age_s)
            for crash, age_s in evidence.crashes
            if self.record_crash(crash, age_s, told_by="link")
        )
        sound = tuple(part for part in evidence.sound if self._record_sound(part))
        probed = tuple(part for part in evidence.probed if self._record_probe(part, now))
        quarantined = tuple(
            each for each in evidence.quarantined if self._record_quarantine(each, now)
        )
        cleared = tuple(part for part in evidence.cleared if self.clear(part))
        told = self.clearances(dict.fromkeys([*(each.part for each in clearances), *cleared]))
        news = PromptEvidence(crashes, sound, probed, quarantined, cleared, clearances=told)
        return news if news != PromptEvidence() else None

    def whole(self) -> PromptEvidence:
        """Return all that a process which has just started needs."""
        now = anyio.current_time()
        crashes = tuple(
            (Crash(known.service, endpoint, born_ms, tuple(sorted(known.suspects))), now - known.at)
            for (endpoint, born_ms), known in self.suspects.crashes.items()
        )
        quarantined = tuple(
            QuarantinedPart(part, each.until - now, each.quarantine_count, each.crashes)
            for part, each in self.suspects.quarantines.items()
        )
        clearances = self.clearances(self.suspects.clearances)
        return PromptEvidence(crashes, quarantined=quarantined, clearances=clearances)

    def clearances(self, parts: Iterable[Suspect]) -> tuple[Clearance, ...]:
        """Return what operators cleared of these parts."""
        known = self.suspects.clearances
        return tuple(Clearance(part, tuple(sorted(known[part]))) for part in parts if part in known)

    def record_crash(self, crash: Crash, age_s: float, told_by: str) -> bool:
        """Record a crash; return whether it or any of its suspects is news."""
        is_known = (crash.endpoint, crash.born_ms) in self.suspects.crashes
        is_news = self.suspects.record_crash(crash, anyio.current_time() - age_s)
        if is_news:
            self.crash_count += not is_known
            self.log.emit(
                events.ENDPOINT_CRASHED,
                endpoint=crash.endpoint,
                born_ms=crash.born_ms,
                suspects=",".join(crash.parts[:MAX_LOGGED_PARTS]),
                suspect_count=len(crash.parts),
                told_by=told_by,
            )
        return is_news

    def update(self) -> None:
        """Quarantine the parts that the evidence suffices for.

        Between two updates a request with such a part is still held.
        """
        now = anyio.current_time()
        if now - self.updated_at < UPDATE_INTERVAL_S:
            return
        self.updated_at = now
        for part in self.suspects.update(now):
            self._log_quarantine(part, now, "evidence")

    def _log_quarantine(self, part: Suspect, now: float, told_by: str) -> None:
        quarantine = self.suspects.quarantines[part]
        self.quarantine_count += 1
        self.log.emit(
            events.PROMPT_PART_QUARANTINED,
            service=part.service,
            part=part.part,
            crashes=",".join(endpoint for endpoint, _ in quarantine.crashes),
            quarantine_count=quarantine.quarantine_count,
            quarantine_s=round(quarantine.until - now),
            told_by=told_by,
        )

    def record_cleared(self, service: str, parts: tuple[str, ...], told_by: str) -> None:
        """Count and log suspects that were cleared."""
        for name in parts:
            self.clearance_count += 1
            self.log.emit(events.PROMPT_PART_CLEARED, service=service, part=name, told_by=told_by)

    def clear(self, part: Suspect) -> bool:
        """Clear a part by order of an operator; return whether anything was held against it."""
        is_known = self.suspects.clear(part)
        if is_known:
            self.record_cleared(part.service, (part.part,), "operator")
        return is_known

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        return {
            "prompt_crashes": float(self.crash_count),
            "prompt_suspects": float(len(self.suspects.crashes_by_part)),
            "prompt_quarantines": float(len(self.suspects.quarantines)),
            "prompt_quarantines_total": float(self.quarantine_count),
            "prompt_clearances_total": float(self.clearance_count),
        }

    def _record_sound(self, part: Suspect) -> bool:
        cleared = self.suspects.record_sound(part.service, (part.part,), team="")
        self.record_cleared(part.service, cleared, "link")
        return bool(cleared)

    def _record_probe(self, part: Suspect, now: float) -> bool:
        before = self.suspects.probed_at.get(part)
        self.suspects.record_probe(part, now)
        return self.suspects.probed_at.get(part) != before

    def _record_clearance(self, told: Clearance) -> bool:
        was_held = bool(self.suspects.held_parts(told.part.service, (told.part.part,)))
        is_news = self.suspects.record_clearance(told.part, told.crashes)
        is_held = bool(self.suspects.held_parts(told.part.service, (told.part.part,)))
        if was_held and not is_held:
            self.record_cleared(told.part.service, (told.part.part,), "link")
        return is_news

    def _record_quarantine(self, told: QuarantinedPart, now: float) -> bool:
        quarantine = Quarantine(now + told.left_s, told.quarantine_count, told.crashes)
        is_news = self.suspects.record_quarantine(told.part, quarantine)
        if is_news:
            self._log_quarantine(told.part, now, "link")
        return is_news
