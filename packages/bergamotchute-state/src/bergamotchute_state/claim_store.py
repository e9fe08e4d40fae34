"""Claims on idempotency keys; at most one attempt may run for each key."""

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
    RecordedResponse,
    ReleaseClaim,
    SettleClaim,
    TakeClaim,
)
from bergamotchute_model.identifiers import AttemptId, ClaimKey

MAX_OPEN_CLAIMS = 32_768
MAX_FINISHED_CLAIMS = 16_384
MAX_KEPT_OUTCOME_BYTES = 16 * 1024 * 1024
MAX_OUTCOME_BYTES = 256 * 1024
MAX_ENDED_CLAIMS = 400_000

ClaimCommand = TakeClaim | ReleaseClaim | SettleClaim | LookUpClaim

_NO_ATTEMPT = AttemptId("", 0, "", "", "")
_ENDED_KEY_BYTES = 8
_ENDED_ENTRY_BYTES = _ENDED_KEY_BYTES + 1
_ENDED_STATES = (ClaimState.SETTLED, ClaimState.UNKNOWN)


class ClaimStore:
    """Claims by key, kept in three stages: open, finished and ended.

    - Open claims are assigned to an attempt and are never dropped. When there are more than
      :data:`MAX_OPEN_CLAIMS`, the oldest becomes unknown, which still blocks every other attempt.
    - Finished claims keep their record. The newest of them also keep their outcome.
    - Ended claims keep only their final state. Such a key still can't run again until
      :data:`MAX_ENDED_CLAIMS` later claims have ended.
    """

    def __init__(self) -> None:
        self.open: dict[ClaimKey, ClaimRecord] = {}
        self.finished: dict[ClaimKey, ClaimRecord] = {}
        self.outcome_sizes_bytes: dict[ClaimKey, int] = {}
        self.total_outcome_bytes = 0
        self.ended: dict[int, int] = {}

    def apply(self, command: ClaimCommand) -> ClaimResult:
        """Apply a claim command and return its result."""
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
        """Grant a first claim, a repeat of a granted claim, or a successor of a released attempt."""
        known = self._existing_result(command.key, command.body_digest)
        if known is None:
            return self._claim_new_key(command)
        record = known.record
        if record is None or record.attempt == _NO_ATTEMPT:
            return known
        if record.state is ClaimState.ASSIGNED:
            return ClaimResult(granted=record.attempt == command.attempt, record=record)
        is_successor = command.replaces == record.attempt and command.attempt != record.attempt
        if record.state is ClaimState.RELEASED and is_successor:
            return self._assign_attempt(command)
        return known

    def on_look_up_claim(self, command: LookUpClaim) -> ClaimResult:
        """Return the current claim on the key without changing it."""
        known = self._existing_result(command.key, command.body_digest)
        return known or ClaimResult(granted=False, record=None)

    def on_release_claim(self, command: ReleaseClaim) -> ClaimResult:
        """Release the key if this attempt holds it and is not recorded as possibly run."""
        record = self._find_record(command.key)
        if record is None:
            return self._result_without_record(command.key)
        if record.attempt != command.attempt:
            return ClaimResult(granted=False, record=record)
        if record.state is ClaimState.ASSIGNED:
            record = self._finish_claim(replace(record, state=ClaimState.RELEASED))
        return ClaimResult(granted=record.state is ClaimState.RELEASED, record=record)

    def on_settle_claim(self, command: SettleClaim) -> ClaimResult:
        """Record the outcome, or that the attempt may have run.

        An outcome that arrives after the claim became unknown still settles the claim.
        """
        record = self._find_record(command.key)
        if record is None:
            return self._result_without_record(command.key)
        if record.attempt != command.attempt:
            return ClaimResult(granted=False, record=record)
        if command.outcome is None:
            return self._settle_unknown(record)
        if record.state in (ClaimState.ASSIGNED, ClaimState.UNKNOWN):
            settled = replace(record, state=ClaimState.SETTLED, outcome=command.outcome)
            return ClaimResult(granted=True, record=self._finish_claim(settled))
        repeated = record.state is ClaimState.SETTLED and record.outcome == command.outcome
        return ClaimResult(granted=repeated, record=record)

    def dump(self) -> list[Any]:
        """Return the claims as plain lists, oldest first in each stage."""
        ended = b"".join(
            key.to_bytes(_ENDED_KEY_BYTES, "big") + bytes((value,))
            for key, value in self.ended.items()
        )
        return [
            [_dump_record(record) for record in self.open.values()],
            [_dump_record(record) for record in self.finished.values()],
            [_dump_key(key) for key in self.outcome_sizes_bytes],
            ended,
        ]

    @classmethod
    def load(cls, data: list[Any]) -> ClaimStore:
        """Restore the claims from the output of :meth:`dump`."""
        open_records, finished, keys_with_outcome, ended = data
        claims = cls()
        claims.open = {record.key: record for record in map(_load_record, open_records)}
        claims.finished = {record.key: record for record in map(_load_record, finished)}
        for key in (ClaimKey(*fields) for fields in keys_with_outcome):
            claims._add_outcome_size(claims.finished[key])
        for start in range(0, len(ended), _ENDED_ENTRY_BYTES):
            end = start + _ENDED_KEY_BYTES
            claims.ended[int.from_bytes(ended[start:end], "big")] = ended[end]
        return claims

    def _find_record(self, key: ClaimKey) -> ClaimRecord | None:
        """Return the open or finished claim on ``key``."""
        return self.open.get(key) or self.finished.get(key)

    def _result_without_record(self, key: ClaimKey) -> ClaimResult:
        """Return the result for a key that has no record and at most an ended state."""
        state = _unpack_ended_state(self.ended.get(_ended_key_digest(key)))
        record = ClaimRecord(key, "", state, _NO_ATTEMPT) if state else None
        return ClaimResult(granted=False, record=record)

    def _existing_result(self, key: ClaimKey, body_digest: str) -> ClaimResult | None:
        """Return what a request with this body may see of an existing claim.

        :return: ``None`` when the key has no claim.
        """
        record = self._find_record(key)
        if record is not None:
            reused = record.body_digest != body_digest
            return ClaimResult(granted=False, record=None if reused else record, reused=reused)
        value = self.ended.get(_ended_key_digest(key))
        state = _unpack_ended_state(value)
        if state is None:
            return None
        if value != _pack_ended_state(state, body_digest):
            return ClaimResult(granted=False, record=None, reused=True)
        return ClaimResult(False, ClaimRecord(key, body_digest, state, _NO_ATTEMPT))

    def _claim_new_key(self, command: TakeClaim) -> ClaimResult:
        """Grant a key without a claim, unless the command names an attempt to replace."""
        if command.replaces is not None:
            return ClaimResult(granted=False, record=None)
        return self._assign_attempt(command)

    def _assign_attempt(self, command: TakeClaim) -> ClaimResult:
        """Assign the key to the command's attempt."""
        record = ClaimRecord(command.key, command.body_digest, ClaimState.ASSIGNED, command.attempt)
        self.finished.pop(command.key, None)
        self.open[command.key] = record
        if len(self.open) > MAX_OPEN_CLAIMS:
            oldest = next(iter(self.open.values()))
            self._finish_claim(replace(oldest, state=ClaimState.UNKNOWN))
        return ClaimResult(granted=True, record=record)

    def _settle_unknown(self, record: ClaimRecord) -> ClaimResult:
        """Record that the attempt may have run, unless its outcome is already known."""
        if record.state is ClaimState.ASSIGNED:
            record = self._finish_claim(replace(record, state=ClaimState.UNKNOWN))
        return ClaimResult(granted=record.state is ClaimState.UNKNOWN, record=record)

    def _finish_claim(self, record: ClaimRecord) -> ClaimRecord:
        """Make a claim the newest finished one and return the stored record.

        An outcome larger than :data:`MAX_OUTCOME_BYTES` is not stored.
        """
        if record.outcome is not None and _outcome_size_bytes(record.outcome) > MAX_OUTCOME_BYTES:
            record = replace(record, outcome=None)
        self.open.pop(record.key, None)
        self.finished.pop(record.key, None)
        self.finished[record.key] = record
        self._add_outcome_size(record)
        self._enforce_limits()
        return record

    def _add_outcome_size(self, record: ClaimRecord) -> None:
        """Add a stored outcome to the size accounting."""
        if record.outcome is None:
            return
        size = _outcome_size_bytes(record.outcome)
        self.outcome_sizes_bytes[record.key] = size
        self.total_outcome_bytes += size

    def _enforce_limits(self) -> None:
        """Drop the oldest outcomes and records until both limits hold."""
        while self.total_outcome_bytes > MAX_KEPT_OUTCOME_BYTES:
            self._drop_outcome(next(iter(self.outcome_sizes_bytes)))
        while len(self.finished) > MAX_FINISHED_CLAIMS:
            self._reduce_to_ended_entry(next(iter(self.finished.values())))

    def _drop_outcome(self, key: ClaimKey) -> None:
        """Drop the outcome of a settled claim; the claim stays settled."""
        self.total_outcome_bytes -= self.outcome_sizes_bytes.pop(key)
        self.finished[key] = replace(self.finished[key], outcome=None)

    def _reduce_to_ended_entry(self, record: ClaimRecord) -> None:
        """Reduce a finished claim to its final state; drop a released claim completely."""
        if record.key in self.outcome_sizes_bytes:
            self._drop_outcome(record.key)
        del self.finished[record.key]
        if record.state is ClaimState.RELEASED:
            return
        self.ended[_ended_key_digest(record.key)] = _pack_ended_state(
            record.state, record.body_digest
        )
        if len(self.ended) > MAX_ENDED_CLAIMS:
            del self.ended[next(iter(self.ended))]


def _ended_key_digest(key: ClaimKey) -> int:
    """Return the short digest that an ended claim is stored under.

    A collision blocks a key that never ran; it can't make a key run twice.
    """
    data = cbor2.dumps(_dump_key(key))
    digest = hashlib.blake2b(data, digest_size=_ENDED_KEY_BYTES).digest()
    return int.from_bytes(digest, "big")


def _pack_ended_state(state: ClaimState, body_digest: str) -> int:
    """Pack the final state of a claim and seven bits of its body digest into one byte."""
    body = hashlib.blake2b(body_digest.encode(), digest_size=1).digest()[0]
    return body & ~1 | _ENDED_STATES.index(state)


def _unpack_ended_state(value: int | None) -> ClaimState | None:
    """Return the final state of a claim from its packed byte; ``None`` for no byte."""
    if value is None:
        return None
    return _ENDED_STATES[value & 1]


def _outcome_size_bytes(outcome: RecordedResponse) -> int:
    """Return the size of an outcome's body and headers in bytes."""
    headers = sum(len(name) + len(value) for name, value in outcome.headers)
    return len(outcome.body) + headers


def _dump_key(key: ClaimKey) -> list[str]:
    """Encode a key as a plain list."""
    return [key.team, key.service, key.key]


def _dump_record(record: ClaimRecord) -> list[Any]:
    """Encode a record as plain lists."""
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
    """Decode a record from the output of :func:`_dump_record`."""
    key, body_digest, state, attempt, outcome = data
    loaded_outcome = None
    if outcome is not None:
        status, headers, body = outcome
        loaded_outcome = RecordedResponse(
            status, tuple((name, value) for name, value in headers), body
        )
    return ClaimRecord(
        ClaimKey(*key), body_digest, ClaimState(state), AttemptId(*attempt), loaded_outcome
    )
