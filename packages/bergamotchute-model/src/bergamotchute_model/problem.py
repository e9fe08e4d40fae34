"""Error responses to callers and operators: problem documents with a verdict."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from bergamotchute_model.verdict import Verdict


class ProblemCode(StrEnum):
    """Stable codes of the problems that callers and operators receive."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency_key_required"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
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
    """Why a request failed, and whether its caller may retry it.

    :param status: HTTP status.
    :param code: stable code.
    :param detail: one human-readable sentence.
    :param verdict: whether the request may have run.
    :param retry: whether a retry is safe and may succeed.
    :param retry_after_s: delay before a retry, in seconds; ``None`` if a retry can't succeed.
    :param addresses: addresses of other entries to use instead, as ``host:port``.
    """

    status: int
    code: ProblemCode
    detail: str
    verdict: Verdict = Verdict.NOT_RUN
    retry: bool = False
    retry_after_s: float | None = None
    addresses: tuple[str, ...] = ()


class ProblemError(Exception):
    """Raised by a filter to reject a request; the entry's HTTP layer sends the problem."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem
