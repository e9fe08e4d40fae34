"""Keeps requests that may crash an endpoint away from the other endpoints."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from bergamotchute_daemon.direct.admitted_request import AdmittedRequest
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.prompt_evidence_table import PromptEvidenceTable
from bergamotchute_model import events
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.prompt_parts import Crash, PromptEvidence, Suspect
from bergamotchute_policy.crash_suspects import FORWARD, SuspectAction, SuspectDecision
from bergamotchute_wire.http1_client import refuses_connections

CRASH_CHECK_TIMEOUT_S = 0.3
"""Timeout of the connection that tells a crash from a lost connection; a crash refuses at once."""


@dataclass
class PromptGuard:
    """Decides by the evidence of all entries which requests are sent, and adds to it.

    :param post: sends evidence to the control VMs, which pass it on.
    :param stops_group: returns whether a crash of an endpoint of a service stops a rank group.
    :param changed: set when evidence changes, for the requests that wait for it.
    """

    table: PromptEvidenceTable
    post: Callable[[PromptEvidence], None]
    log: EventLog
    stops_group: Callable[[str], bool]
    changed: anyio.Event = field(default_factory=anyio.Event)

    async def decide(self, request: AdmittedRequest) -> SuspectDecision:
        """Decide on a request before an attempt; wait while other entries may clear its parts."""
        suspects, service = self.table.suspects, request.service.name
        while suspects.crashes_by_part or suspects.quarantines:
            self.table.update()
            decision = suspects.decide(
                service, request.suspects, anyio.current_time(), self.stops_group(service)
            )
            if decision.action is SuspectAction.WAIT:
                with anyio.move_on_after(decision.wait_s):
                    await self.changed.wait()
                continue
            if decision.action is SuspectAction.PROBE:
                self._record_probe(request)
            return decision
        return FORWARD

    def is_unsuspected(self, request: AdmittedRequest) -> bool:
        """Return whether a request may be sent to a further endpoint now, as nothing suspects it."""
        suspects, service = self.table.suspects, request.service.name
        if not suspects.crashes_by_part and not suspects.quarantines:
            return True
        self.table.update()
        decision = suspects.decide(
            service, request.suspects, anyio.current_time(), self.stops_group(service)
        )
        return decision.action is SuspectAction.FORWARD

    def _record_probe(self, request: AdmittedRequest) -> None:
        suspects, service = self.table.suspects, request.service.name
        parts = tuple(suspects.held_parts(service, request.suspects))
        for part in parts:
            suspects.record_probe(part, anyio.current_time())
            self.log.emit(
                events.PROMPT_PART_PROBED,
                request_id=request.metadata.request_id,
                service=service,
                part=part.part,
                crashes=len(suspects.crashes_by_part.get(part, ())),
            )
        self.post(PromptEvidence(probed=parts))

    def on_answered(self, request: AdmittedRequest) -> None:
        """Clear a request of which the first event came, and the parts of its prompt."""
        service = request.service.name
        cleared = self.table.suspects.record_sound(service, request.suspects, request.team)
        if cleared:
            self.table.record_cleared(service, cleared, request.metadata.request_id)
            self.post(PromptEvidence(sound=tuple(Suspect(service, each) for each in cleared)))
            self._notify_changed()

    async def on_connection_ended(
        self, request: AdmittedRequest, endpoint: EndpointHeartbeat
    ) -> None:
        """Record a crash if an endpoint ended a request's connection and refuses new ones."""
        suspects, service = self.table.suspects, request.service.name
        names = suspects.suspects_of(service, request.suspects)
        crash = Crash(service, endpoint.endpoint, endpoint.born_ms, names)
        is_known = (crash.endpoint, crash.born_ms) in suspects.crashes
        if not is_known and not await refuses_connections(endpoint.address, CRASH_CHECK_TIMEOUT_S):
            return
        self.log.emit(
            events.REQUEST_LOST_IN_CRASH,
            request_id=request.metadata.request_id,
            endpoint=endpoint.endpoint,
            born_ms=endpoint.born_ms,
            digest=request.digest,
        )
        if self.table.record_crash(crash, 0.0, told_by=request.metadata.request_id):
            self.post(PromptEvidence(crashes=((crash, 0.0),)))
            self._notify_changed()

    def clear(self, part: Suspect) -> bool:
        """Clear a part by order of an operator, also at all others; return whether it was held."""
        is_known = self.table.clear(part)
        self.post(PromptEvidence(cleared=(part,)))
        self._notify_changed()
        return is_known

    def on_evidence(self, evidence: PromptEvidence) -> None:
        """Add what other processes found, and clear the suspects that are known as sound here."""
        suspects = self.table.suspects
        sound = {
            Suspect(crash.service, part)
            for crash, _ in evidence.crashes
            for part in crash.parts
            if suspects.is_sound(Suspect(crash.service, part))
        }
        if self.table.merge(evidence) is not None:
            self._notify_changed()
            if sound:
                self.post(PromptEvidence(sound=tuple(sorted(sound))))

    def _notify_changed(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
