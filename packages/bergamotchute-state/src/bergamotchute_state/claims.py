"""Claims on idempotency keys: at most one attempt that may run for each key."""

from __future__ import annotations

import hashlib
from dataclasses import replace
from typing import Any

import cbor2

from bergamotchute_model.commands import (
    ClaimRecord,
    ClaimResult,
    ClaimState,
    LookUpClaim,
    Outcome,
    ReleaseClaim,
    SettleClaim,
    TakeClaim,
)
from bergamotchute_model.identifiers import AttemptId, ClaimKey

OPEN_CLAIMS = 32_768
FINISHED_CLAIMS = 16_384
KEPT_OUTCOME_BYTES = 16 * 1024 * 1024
OUTCOME_MAX_BYTES = 256 * 1024
ENDED_CLAIMS = 400_000

ClaimCommand = TakeClaim | ReleaseClaim | SettleClaim | LookUpClaim

_NO_ATTEMPT = AttemptId("", 0, "", "", "")
_ENDED_KEY_BYTES = 8
_ENDED_BYTES = _ENDED_KEY_BYTES + 1
_ENDED_STATES = (ClaimState.SETTLED, ClaimState.UNKNOWN)


class Claims:
    """Claims by key, in three ages.

    Open claims are assigned to an attempt and are never dropped; should they pass
    :data:`OPEN_CLAIMS`, the oldest becomes unknown, which still bars every other attempt. Finished
    claims keep their record, the newest of them their outcome too. Older ones keep only that they
    ended, and how; such a key still never runs again, until :data:`ENDED_CLAIMS` later ones ended.
    """

    def __init__(self) -> None:
        self.open: dict[ClaimKey, ClaimRecord] = {}
        self.finished: dict[ClaimKey, ClaimRecord] = {}
        self.outcome_sizes: dict[ClaimKey, int] = {}
        self.outcome_bytes = 0
        self.ended: dict[int, int] = {}

    def apply(self, command: ClaimCommand) -> ClaimResult:
        """Apply a claim command."""
        match command:
            case TakeClaim():
                return self.on_take_claim(command)
            case ReleaseClaim():
                return self.on_release_claim(command)
            case SettleClaim():
                return self.on_settle_claim(command)
            case LookUpClaim():
                return self.on_look_up_claim(command)

    def on_take_claim(self, command: TakeClaim) -> ClaimResult:
        """Grant a first claim, a repeat of the granted one, or the follower of a released one."""
        known = self._known(command.key, command.body_digest)
        if known is None:
            return self._take_new(command)
        record = known.record
        if record is None or record.attempt == _NO_ATTEMPT:
            return known
        if record.state is ClaimState.ASSIGNED:
            return ClaimResult(granted=record.attempt == command.attempt, record=record)
        follows = command.replaces == record.attempt and command.attempt != record.attempt
        if record.state is ClaimState.RELEASED and follows:
            return self._assign(command)
        return known

    def on_look_up_claim(self, command: LookUpClaim) -> ClaimResult:
        """Tell how the key's claim stands."""
        known = self._known(command.key, command.body_digest)
        return known or ClaimResult(granted=False, record=None)

    def on_release_claim(self, command: ReleaseClaim) -> ClaimResult:
        """Free the key, if this attempt holds it and nothing says that it may have run."""
        record = self._find(command.key)
        if record is None:
            return self._missing(command.key)
        if record.attempt != command.attempt:
            return ClaimResult(granted=False, record=record)
        if record.state is ClaimState.ASSIGNED:
            record = self._finish(replace(record, state=ClaimState.RELEASED))
        return ClaimResult(granted=record.state is ClaimState.RELEASED, record=record)

    def on_settle_claim(self, command: SettleClaim) -> ClaimResult:
        """Keep the outcome, or that there may be one; a late proof of completion is welcome."""
        record = self._find(command.key)
        if record is None:
            return self._missing(command.key)
        if record.attempt != command.attempt:
            return ClaimResult(granted=False, record=record)
        if command.outcome is None:
            return self._settle_unknown(record)
        if record.state in (ClaimState.ASSIGNED, ClaimState.UNKNOWN):
            settled = replace(record, state=ClaimState.SETTLED, outcome=command.outcome)
            return ClaimResult(granted=True, record=self._finish(settled))
        repeated = record.state is ClaimState.SETTLED and record.outcome == command.outcome
        return ClaimResult(granted=repeated, record=record)

    def dump(self) -> list[Any]:
        """Return the claims as plain lists, oldest first in each age."""
        ended = b"".join(
            key.to_bytes(_ENDED_KEY_BYTES, "big") + bytes((value,))
            for key, value in self.ended.items()
        )
        return [
            [_dump_record(record) for record in self.open.values()],
            [_dump_record(record) for record in self.finished.values()],
            [_dump_key(key) for key in self.outcome_sizes],
            ended,
        ]

    @classmethod
    def load(cls, data: list[Any]) -> Claims:
        """Read what :meth:`dump` gave."""
        opened, finished, with_outcome, ended = data
        claims = cls()
        claims.open = {record.key: record for record in map(_load_record, opened)}
        claims.finished = {record.key: record for record in map(_load_record, finished)}
        for key in (ClaimKey(*fields) for fields in with_outcome):
            claims._count_outcome(claims.finished[key])
        for start in range(0, len(ended), _ENDED_BYTES):
            end = start + _ENDED_KEY_BYTES
            claims.ended[int.from_bytes(ended[start:end], "big")] = ended[end]
        return claims

    def _find(self, key: ClaimKey) -> ClaimRecord | None:
        """Return the claim on ``key`` from the two ages that keep records."""
        return self.open.get(key) or self.finished.get(key)

    def _missing(self, key: ClaimKey) -> ClaimResult:
        """Answer a command on a key of which at most the end is kept."""
        state = _ended_state(self.ended.get(_ended_key(key)))
        record = ClaimRecord(key, "", state, _NO_ATTEMPT) if state else None
        return ClaimResult(granted=False, record=record)

    def _known(self, key: ClaimKey, body_digest: str) -> ClaimResult | None:
        """Return what may be shown of a key to a request with this body; ``None`` if unknown."""
        record = self._find(key)
        if record is not None:
            reused = record.body_digest != body_digest
            return ClaimResult(granted=False, record=None if reused else record, reused=reused)
        value = self.ended.get(_ended_key(key))
        state = _ended_state(value)
        if state is None:
            return None
        if value != _ended_value(state, body_digest):
            return ClaimResult(granted=False, record=None, reused=True)
        return ClaimResult(False, ClaimRecord(key, body_digest, state, _NO_ATTEMPT))

    def _take_new(self, command: TakeClaim) -> ClaimResult:
        """Grant a key that was never claimed, unless the command means to follow a claim."""
        if command.replaces is not None:
            return ClaimResult(granted=False, record=None)
        return self._assign(command)

    def _assign(self, command: TakeClaim) -> ClaimResult:
        """Give the key to the command's attempt."""
        record = ClaimRecord(command.key, command.body_digest, ClaimState.ASSIGNED, command.attempt)
        self.finished.pop(command.key, None)
        self.open[command.key] = record
        if len(self.open) > OPEN_CLAIMS:
            oldest = next(iter(self.open.values()))
            self._finish(replace(oldest, state=ClaimState.UNKNOWN))
        return ClaimResult(granted=True, record=record)

    def _settle_unknown(self, record: ClaimRecord) -> ClaimResult:
        """Record that the attempt may have run."""
        if record.state is ClaimState.ASSIGNED:
            record = self._finish(replace(record, state=ClaimState.UNKNOWN))
        return ClaimResult(granted=record.state is ClaimState.UNKNOWN, record=record)

    def _finish(self, record: ClaimRecord) -> ClaimRecord:
        """Move a claim to the end of the finished ones; return it as it is kept."""
        if record.outcome is not None and _outcome_size(record.outcome) > OUTCOME_MAX_BYTES:
            record = replace(record, outcome=None)
        self.open.pop(record.key, None)
        self.finished.pop(record.key, None)
        self.finished[record.key] = record
        self._count_outcome(record)
        self._trim()
        return record

    def _count_outcome(self, record: ClaimRecord) -> None:
        """Account for the bytes of a kept outcome."""
        if record.outcome is None:
            return
        size = _outcome_size(record.outcome)
        self.outcome_sizes[record.key] = size
        self.outcome_bytes += size

    def _trim(self) -> None:
        """Drop the oldest outcomes and records past the bounds."""
        while self.outcome_bytes > KEPT_OUTCOME_BYTES:
            self._forget_outcome(next(iter(self.outcome_sizes)))
        while len(self.finished) > FINISHED_CLAIMS:
            self._end(next(iter(self.finished.values())))

    def _forget_outcome(self, key: ClaimKey) -> None:
        """Drop the answer of a settled claim and keep that it is settled."""
        self.outcome_bytes -= self.outcome_sizes.pop(key)
        self.finished[key] = replace(self.finished[key], outcome=None)

    def _end(self, record: ClaimRecord) -> None:
        """Keep of a finished claim only how it ended; of a released one nothing."""
        if record.key in self.outcome_sizes:
            self._forget_outcome(record.key)
        del self.finished[record.key]
        if record.state is ClaimState.RELEASED:
            return
        self.ended[_ended_key(record.key)] = _ended_value(record.state, record.body_digest)
        if len(self.ended) > ENDED_CLAIMS:
            del self.ended[next(iter(self.ended))]


def _ended_key(key: ClaimKey) -> int:
    """Return the short digest that stands for a key.

    Another key of the same digest would be barred in its place; none ever runs twice by it.
    """
    data = cbor2.dumps(_dump_key(key))
    digest = hashlib.blake2b(data, digest_size=_ENDED_KEY_BYTES).digest()
    return int.from_bytes(digest, "big")


def _ended_value(state: ClaimState, body_digest: str) -> int:
    """Pack how a claim ended with a few bits of its body's digest into one byte."""
    body = hashlib.blake2b(body_digest.encode(), digest_size=1).digest()[0]
    return body & ~1 | _ENDED_STATES.index(state)


def _ended_state(value: int | None) -> ClaimState | None:
    """Return how a claim ended, from its packed form."""
    if value is None:
        return None
    return _ENDED_STATES[value & 1]


def _outcome_size(outcome: Outcome) -> int:
    """Return the bytes that an outcome holds."""
    headers = sum(len(name) + len(value) for name, value in outcome.headers)
    return len(outcome.body) + headers


def _dump_key(key: ClaimKey) -> list[str]:
    """Return a key as a plain list."""
    return [key.team, key.service, key.key]


def _dump_record(record: ClaimRecord) -> list[Any]:
    """Return a record as plain lists."""
    attempt = record.attempt
    outcome = record.outcome
    return [
        _dump_key(record.key),
        record.body_digest,
        record.state.value,
        [
            attempt.request_id,
            attempt.number,
            attempt.endpoint,
            attempt.incarnation,
            attempt.entry_epoch,
        ],
        (
            None
            if outcome is None
            else [outcome.status, [list(header) for header in outcome.headers], outcome.body]
        ),
    ]


def _load_record(data: list[Any]) -> ClaimRecord:
    """Read what :func:`_dump_record` gave."""
    key, body_digest, state, attempt, outcome = data
    kept = None
    if outcome is not None:
        status, headers, body = outcome
        kept = Outcome(status, tuple((name, value) for name, value in headers), body)
    return ClaimRecord(ClaimKey(*key), body_digest, ClaimState(state), AttemptId(*attempt), kept)
