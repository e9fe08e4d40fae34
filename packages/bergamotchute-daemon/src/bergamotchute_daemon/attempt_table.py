"""What an agent knows of the attempts it was given; decides which may start."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace

from bergamotchute_model.attempt_messages import AttemptState, StartAttempt
from bergamotchute_model.headers import Headers
from bergamotchute_model.identifiers import AttemptId
from bergamotchute_model.verdict import Verdict

FINISHED_LIMIT = 50_000
"""Finished or barred attempts that an agent remembers."""

OUTCOME_LIMIT_BYTES = 32 * 1024 * 1024
"""Answers of non-idempotent attempts that an agent keeps, together."""

MAX_OUTCOME_BODY_BYTES = 256 * 1024
"""The longest answer that is kept."""


@dataclass(frozen=True)
class AttemptRecord:
    """One attempt at one agent.

    :param status: the endpoint's HTTP status; 0 until it answers.
    :param body: the answer, where it is kept.
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
    """The attempt doesn't start.

    :param verdict: ``NOT_RUN`` proves that it never ran here and never will.
    """

    verdict: Verdict
    code: str


@dataclass(frozen=True)
class AttemptRepeated:
    """The message came a second time; the attempt goes on as it was."""


Decision = AttemptAccepted | AttemptRefused | AttemptRepeated


class AttemptTable:
    """Keeps each attempt's state for the life of an agent.

    An attempt starts at most once. A question about an attempt that never came bars it, so that
    the answer stays true when the attempt's message arrives late.

    :param incarnation: the life of this agent; attempts for another life are refused.
    """

    def __init__(self, endpoint: str, incarnation: str) -> None:
        self.endpoint = endpoint
        self.incarnation = incarnation
        self.draining = False
        self.running: dict[AttemptId, AttemptRecord] = {}
        self.finished: OrderedDict[AttemptId, AttemptRecord] = OrderedDict()
        self.forgotten_serials: dict[str, int] = {}
        self.outcome_bytes = 0

    def decide_start(self, message: StartAttempt) -> Decision:
        """Decide whether an attempt may start; an accepted one counts as running."""
        attempt = message.attempt
        if attempt in self.running:
            return AttemptRepeated()
        known = self.finished.get(attempt)
        if known is not None:
            return _refuse_finished(known)
        if not self._is_ours(attempt):
            return AttemptRefused(Verdict.MAY_HAVE_RUN, "other_incarnation")
        if self._may_be_forgotten(attempt):
            return AttemptRefused(Verdict.MAY_HAVE_RUN, "forgotten")
        if self.draining:
            self.bar(attempt)
            return AttemptRefused(Verdict.NOT_RUN, "draining")
        self.running[attempt] = AttemptRecord(attempt, AttemptState.RUNNING)
        return AttemptAccepted()

    def get_or_bar(self, attempt: AttemptId) -> AttemptRecord:
        """Return the state of an attempt; one that never came is barred from now on."""
        known = self.running.get(attempt) or self.finished.get(attempt)
        if known is not None:
            return known
        if not self._is_ours(attempt) or self._may_be_forgotten(attempt):
            return AttemptRecord(attempt, AttemptState.FORGOTTEN)
        return self.bar(attempt)

    def bar(self, attempt: AttemptId) -> AttemptRecord:
        """Keep an attempt that isn't running from ever starting here."""
        record = AttemptRecord(attempt, AttemptState.BARRED)
        self._keep(record)
        return record

    def record_completion(
        self, attempt: AttemptId, status: int, headers: Headers, body: bytes | None
    ) -> None:
        """Record a whole answer.

        :param body: the answer to keep; ``None`` to keep none, because it is too long or is
            never asked for again.
        """
        del self.running[attempt]
        state = AttemptState.COMPLETED if body is not None else AttemptState.FORGOTTEN
        self._keep(AttemptRecord(attempt, state, status, headers, body or b""))

    def record_failure(self, attempt: AttemptId, verdict: Verdict) -> None:
        """Record an attempt that ended without a whole answer."""
        del self.running[attempt]
        barred = verdict is Verdict.NOT_RUN
        state = AttemptState.BARRED if barred else AttemptState.FAILED
        self._keep(AttemptRecord(attempt, state))

    def _is_ours(self, attempt: AttemptId) -> bool:
        return (attempt.endpoint, attempt.incarnation) == (self.endpoint, self.incarnation)

    def _may_be_forgotten(self, attempt: AttemptId) -> bool:
        return attempt.serial <= self.forgotten_serials.get(attempt.entry_epoch, -1)

    def _keep(self, record: AttemptRecord) -> None:
        """Remember a finished attempt, within the limits."""
        self.finished[record.attempt] = record
        self.outcome_bytes += len(record.body)
        while len(self.finished) > FINISHED_LIMIT:
            self._forget_oldest()
        while self.outcome_bytes > OUTCOME_LIMIT_BYTES:
            self._drop_oldest_body()

    def _forget_oldest(self) -> None:
        attempt, record = self.finished.popitem(last=False)
        self.outcome_bytes -= len(record.body)
        newest = self.forgotten_serials.get(attempt.entry_epoch, -1)
        self.forgotten_serials[attempt.entry_epoch] = max(newest, attempt.serial)

    def _drop_oldest_body(self) -> None:
        oldest = next(record for record in self.finished.values() if record.body)
        self.outcome_bytes -= len(oldest.body)
        dropped = replace(oldest, state=AttemptState.FORGOTTEN, body=b"")
        self.finished[oldest.attempt] = dropped


def _refuse_finished(known: AttemptRecord) -> AttemptRefused:
    """Return the refusal of an attempt that is already over."""
    if known.state is AttemptState.BARRED:
        return AttemptRefused(Verdict.NOT_RUN, "barred")
    return AttemptRefused(Verdict.MAY_HAVE_RUN, "already_run")
