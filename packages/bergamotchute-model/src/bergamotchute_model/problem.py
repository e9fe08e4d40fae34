"""Errors as callers see them: problem documents with a verdict."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from bergamotchute_model.verdict import Verdict


class ProblemCode(StrEnum):
    """Stable codes of the problems that a caller or an operator can meet."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_REUSED = "idempotency_key_reused"
    TEAM_LIMIT = "team_limit"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    NO_ENDPOINT = "no_endpoint"
    VIEW_EXPIRED = "view_expired"
    CONTROL_UNAVAILABLE = "control_unavailable"
    DRAINING = "draining"
    ENDPOINT_FAILED = "endpoint_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERRUPTED = "interrupted"
    CONFLICT = "conflict"
    INVALID_FILE = "invalid_file"
    INTERNAL = "internal"


@dataclass(frozen=True)
class Problem:
    """Why a request was not answered, and what its caller may do.

    :param status: the HTTP status.
    :param code: the stable code.
    :param detail: one sentence for a person.
    :param verdict: whether the request may have run.
    :param retry: whether sending the request again can help and is safe.
    :param retry_after_s: when to come back, in seconds; ``None`` where retrying is no use.
    :param addresses: entries to go to instead, as ``host:port``.
    """

    status: int
    code: ProblemCode
    detail: str
    verdict: Verdict = Verdict.NOT_RUN
    retry: bool = False
    retry_after_s: float | None = None
    addresses: tuple[str, ...] = ()


class ProblemError(Exception):
    """Carries a :class:`Problem` out of a filter to the entry's HTTP boundary."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem
