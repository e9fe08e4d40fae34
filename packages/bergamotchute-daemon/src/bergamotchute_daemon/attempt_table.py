"""Track the attempts sent to an agent and decide which may start."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace

from bergamotchute_model.attempt_messages import AttemptState, StartAttempt
from bergamotchute_model.headers import Headers
from bergamotchute_model.identifiers import AttemptId
from bergamotchute_model.verdict import Verdict

MAX_FINISHED_ATTEMPTS = 50_000
"""Finished or barred attempts that an agent keeps a record of."""

MAX_TOTAL_BODY_BYTES = 32 * 1024 * 1024
"""Total size of the answers of non-idempotent attempts that an agent keeps."""

MAX_OUTCOME_BODY_BYTES = 256 * 1024
"""Size of the longest answer that is kept."""


@dataclass(frozen=True)
class AttemptRecord:
    """The state of one attempt at one agent.

    :param status: the endpoint's HTTP status; 0 until it answers.
    :param body: the answer's body; empty when it isn't kept.
    """

    attempt: AttemptId
    state: AttemptState
    status: int = 0
    headers: Headers = ()
    body: bytes = b""


@dataclass(frozen=True)
class AttemptAccepted:
    """The attempt may start now."""


@dataclass(frozen=True)
class AttemptRefused:
    """The attempt must not start.

    :param verdict: ``NOT_RUN`` proves that it never ran here and never will.
    """

    verdict: Verdict
    code: str


@dataclass(frozen=True)
class AttemptRepeated:
    """The message is a duplicate; the running attempt continues."""


StartDecision = AttemptAccepted | AttemptRefused | AttemptRepeated


class AttemptTable:
    """Keeps the state of attempts during one incarnation of an agent.

    An attempt starts at most once. A query for an attempt that hasn't arrived bars it, so that the
    reply stays true when the attempt's message arrives late.

    :param incarnation: of this agent; attempts for other incarnations are refused.
    :param forgotten_serials: the highest serial number that was dropped, by entry epoch. Attempts
        up to it may have run.
    """

    def __init__(self, endpoint: str, incarnation: str) -> None:
        self.endpoint = endpoint
        self.incarnation = incarnation
        self.draining = False
        self.running: dict[AttemptId, AttemptRecord] = {}
        self.finished: OrderedDict[AttemptId, AttemptRecord] = OrderedDict()
        self.forgotten_serials: dict[str, int] = {}
        self.stored_body_bytes = 0

    def decide_start(self, message: StartAttempt) -> StartDecision:
        """Decide whether an attempt may start; an accepted attempt is marked as running."""
        attempt = message.attempt
        if attempt in self.running:
            return AttemptRepeated()
        known = self.finished.get(attempt)
        if known is not None:
            return _refuse_finished(known)
        if not self._is_for_this_incarnation(attempt):
            return AttemptRefused(Verdict.MAY_HAVE_RUN, "other_incarnation")
        if self._may_be_forgotten(attempt):
            return AttemptRefused(Verdict.MAY_HAVE_RUN, "forgotten")
        if self.draining:
            self.bar(attempt)
            return AttemptRefused(Verdict.NOT_RUN, "draining")
        self.running[attempt] = AttemptRecord(attempt, AttemptState.RUNNING)
        return AttemptAccepted()

    def get_or_bar(self, attempt: AttemptId) -> AttemptRecord:
        """Return the state of an attempt; an attempt that hasn't arrived is barred."""
        known = self.running.get(attempt) or self.finished.get(attempt)
        if known is not None:
            return known
        if not self._is_for_this_incarnation(attempt) or self._may_be_forgotten(attempt):
            return AttemptRecord(attempt, AttemptState.FORGOTTEN)
        return self.bar(attempt)

    def bar(self, attempt: AttemptId) -> AttemptRecord:
        """Prevent an attempt that isn't running from ever starting here."""
        record = AttemptRecord(attempt, AttemptState.BARRED)
        self._store(record)
        return record

    def record_completion(
        self, attempt: AttemptId, status: int, headers: Headers, body: bytes | None
    ) -> None:
        """Record a complete answer.

        :param body: the body to keep; ``None`` when the body is too long or is never requested
            again.
        """
        del self.running[attempt]
        state = AttemptState.COMPLETED if body is not None else AttemptState.FORGOTTEN
        self._store(AttemptRecord(attempt, state, status, headers, body or b""))

    def record_failure(self, attempt: AttemptId, verdict: Verdict) -> None:
        """Record an attempt that ended without a complete answer."""
        del self.running[attempt]
        barred = verdict is Verdict.NOT_RUN
        state = AttemptState.BARRED if barred else AttemptState.FAILED
        self._store(AttemptRecord(attempt, state))

    def _is_for_this_incarnation(self, attempt: AttemptId) -> bool:
        return (attempt.endpoint, attempt.incarnation) == (self.endpoint, self.incarnation)

    def _may_be_forgotten(self, attempt: AttemptId) -> bool:
        return attempt.serial <= self.forgotten_serials.get(attempt.entry_epoch, -1)

    def _store(self, record: AttemptRecord) -> None:
        """Store a finished attempt and drop the oldest records and bodies beyond the limits."""
        self.finished[record.attempt] = record
        self.stored_body_bytes += len(record.body)
        while len(self.finished) > MAX_FINISHED_ATTEMPTS:
            self._forget_oldest()
        while self.stored_body_bytes > MAX_TOTAL_BODY_BYTES:
            self._drop_oldest_body()

    def _forget_oldest(self) -> None:
        attempt, record = self.finished.popitem(last=False)
        self.stored_body_bytes -= len(record.body)
        highest_serial = self.forgotten_serials.get(attempt.entry_epoch, -1)
        self.forgotten_serials[attempt.entry_epoch] = max(highest_serial, attempt.serial)

    def _drop_oldest_body(self) -> None:
        oldest = next(record for record in self.finished.values() if record.body)
        self.stored_body_bytes -= len(oldest.body)
        dropped = replace(oldest, state=AttemptState.FORGOTTEN, body=b"")
        self.finished[oldest.attempt] = dropped


def _refuse_finished(known: AttemptRecord) -> AttemptRefused:
    """Return the refusal of an attempt that has already ended."""
    if known.state is AttemptState.BARRED:
        return AttemptRefused(Verdict.NOT_RUN, "barred")
    return AttemptRefused(Verdict.MAY_HAVE_RUN, "already_run")
