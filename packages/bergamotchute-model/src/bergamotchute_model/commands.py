"""Commands of the replicated log and their results."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Literal

from bergamotchute_model.headers import Headers
from bergamotchute_model.identifiers import AttemptId, ClaimKey


class CommandResult:
    """Base class for the results of commands."""

    kind: str


class Command:
    """Base class for commands that are applied to the replicated state."""

    kind: str


@dataclass(frozen=True)
class ApplyFile(Command):
    """Put an operator file in force; it replaces the whole file of the same name.

    :param name: name of the file.
    :param number: number of the file, set by the operator; must be one above the number in force.
    :param text: text of the file, unchanged.
    :param digest: lower-case SHA-256 of the text.
    """

    name: str
    number: int
    text: str
    digest: str
    kind: Literal["apply_file"] = "apply_file"


class ApplyOutcome(StrEnum):
    """Outcome of an :class:`ApplyFile`."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    CONFLICT = "conflict"
    INVALID = "invalid"
    FORGOTTEN = "forgotten"


@dataclass(frozen=True)
class FileApplied(CommandResult):
    """The result of an :class:`ApplyFile`.

    ``FORGOTTEN`` means that the number was used so long ago that its digest is no longer stored.
    The command changed nothing, and the outcome of the first command with this number is unknown.

    :param revision: the revision at which the file came into force; a repeated command gets the
        revision of the first one.
    :param number: the number in force for this file name.
    :param winner_digest: on a conflict, the digest of the content that already has this number.
    :param errors: for an invalid file, one line per fault; for a skipped number, the expected one.
    """

    outcome: ApplyOutcome
    revision: int
    number: int
    winner_digest: str = ""
    errors: tuple[str, ...] = ()
    kind: Literal["file_applied"] = "file_applied"


class ClaimState(StrEnum):
    """State of a claim on an idempotency key."""

    ASSIGNED = "assigned"
    RELEASED = "released"
    SETTLED = "settled"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class RecordedResponse:
    """The complete response to a non-idempotent request, stored to answer repeated requests.

    :param status: the endpoint's HTTP status.
    """

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class ClaimRecord:
    """A claim as committed by the quorum.

    :param body_digest: digest of the request's method, path and body.
    :param attempt: the attempt that is allowed to run, or the last one that was; all its fields are
        empty once only the final state of the claim is stored.
    :param outcome: the response, once settled; ``None`` again once it is no longer stored.
    """

    key: ClaimKey
    body_digest: str
    state: ClaimState
    attempt: AttemptId
    outcome: RecordedResponse | None = None


@dataclass(frozen=True)
class TakeClaim(Command):
    """Allow ``attempt`` to run for ``key`` unless another attempt runs, ran or may have run.

    :param replaces: the released attempt that this one replaces; ``None`` for the first claim.
    """

    key: ClaimKey
    body_digest: str
    attempt: AttemptId
    replaces: AttemptId | None = None
    kind: Literal["take_claim"] = "take_claim"


@dataclass(frozen=True)
class ReleaseClaim(Command):
    """Record that ``attempt`` is proved not to have run and never will."""

    key: ClaimKey
    attempt: AttemptId
    kind: Literal["release_claim"] = "release_claim"


@dataclass(frozen=True)
class SettleClaim(Command):
    """Record the response of ``attempt``, or with ``outcome=None`` that it may have run."""

    key: ClaimKey
    attempt: AttemptId
    outcome: RecordedResponse | None
    kind: Literal["settle_claim"] = "settle_claim"


@dataclass(frozen=True)
class LookUpClaim(Command):
    """Read the claim on ``key``; changes nothing.

    The result has ``granted=False`` and the record; ``record=None`` if the key was never claimed.
    """

    key: ClaimKey
    body_digest: str
    kind: Literal["look_up_claim"] = "look_up_claim"


@dataclass(frozen=True)
class ClaimResult(CommandResult):
    """The result of a claim command.

    :param granted: whether the command took effect, now or when it was first applied.
    :param reused: whether the key was claimed before with another body; no data of that request is
        returned.
    :param record: the current claim; ``None`` if the key was never claimed.
    """

    granted: bool
    record: ClaimRecord | None
    reused: bool = False
    kind: Literal["claim_result"] = "claim_result"


@dataclass(frozen=True)
class IssueFence(Command):
    """Issue the next fencing number of a scope, such as an endpoint or a rank group.

    :param holder: the process that will use the number; a repeated command of the same holder and
        ``grant_id`` gets the same number.
    """

    scope: str
    holder: str
    grant_id: str
    kind: Literal["next_fence"] = "next_fence"


@dataclass(frozen=True)
class FenceGranted(CommandResult):
    """The result of :class:`IssueFence`."""

    scope: str
    number: int
    kind: Literal["fence_granted"] = "fence_granted"


@dataclass(frozen=True)
class RecordDecision(Command):
    """Record a controller's decision once, such as a map epoch or the start of a planned change.

    The command takes effect only if ``expected_version`` is the current version of ``name`` and
    ``fence`` is the newest fencing number issued for ``name``.

    :param expected_version: 0 if the name has no decision yet.
    :param value: the decision, as canonical CBOR of a type that the controller defines.
    """

    name: str
    fence: int
    expected_version: int
    value: bytes
    kind: Literal["record_decision"] = "record_decision"


@dataclass(frozen=True)
class DecisionResult(CommandResult):
    """The result of :class:`RecordDecision`, with the current decision.

    :param granted: whether this command recorded the decision, now or when it was first applied.
    """

    granted: bool
    version: int
    value: bytes
    kind: Literal["decision_result"] = "decision_result"


@dataclass(frozen=True)
class PutConfiguration(Command):
    """Put a configuration in force unless an equal or higher version already is.

    :param text: the operator's text, unchanged; it is validated before the command is proposed.
    """

    version: int
    text: bytes
    kind: Literal["put_configuration"] = "put_configuration"


@dataclass(frozen=True)
class ConfigurationPut(CommandResult):
    """The result of a :class:`PutConfiguration`.

    :param changed: whether the command put its version in force.
    :param version: the version in force after the command.
    """

    changed: bool
    version: int
    kind: Literal["configuration_put"] = "configuration_put"


@dataclass(frozen=True)
class RecordDeparture(Command):
    """Record that an incarnation of an endpoint accepts no new work.

    :param endpoint: identifier of the endpoint.
    :param born_ms: start of the incarnation, in Unix milliseconds.
    """

    endpoint: str
    born_ms: int
    kind: Literal["record_departure"] = "record_departure"


@dataclass(frozen=True)
class DepartureRecorded(CommandResult):
    """The result of a :class:`RecordDeparture`; the same for a repeated command."""

    kind: Literal["departure_recorded"] = "departure_recorded"


AnyCommand = (
    ApplyFile
    | TakeClaim
    | ReleaseClaim
    | SettleClaim
    | LookUpClaim
    | IssueFence
    | RecordDecision
    | PutConfiguration
    | RecordDeparture
)
"""Union of all commands, for codecs and exhaustive dispatch."""
