"""One request in flight at an entry, from its arrival to the end of its answer."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field, replace

from bergamotchute_daemon.answer_buffer import AnswerBuffer
from bergamotchute_model.headers import Headers
from bergamotchute_model.identifiers import ClaimKey
from bergamotchute_model.verdict import Verdict
from bergamotchute_policy.work import Work


@dataclass(frozen=True)
class CallerRequest:
    """A request as its caller sent it.

    :param service: the name of the called service.
    :param team: the name of the team that sent the request.
    :param path: the path and query to request from the endpoint.
    :param stream: whether the answer is a stream of events, which another endpoint can resume.
    :param idempotency_key: identifies resends of a non-idempotent request; empty for others.
    :param deadline: when the caller gives up, on the runtime's clock.
    :param max_tokens: the maximum number of tokens that a model may generate; 1 for plain services.
    """

    request_id: str
    service: str
    team: str
    method: str
    path: str
    headers: Headers
    body: bytes
    stream: bool
    idempotent: bool
    idempotency_key: str
    deadline: float
    priority: int
    prompt_tokens: int = 0
    max_tokens: int = 0

    def claim_key(self) -> ClaimKey:
        """Return the key of the claim that resends of this request share."""
        return ClaimKey(self.team, self.service, self.idempotency_key)

    def digest(self) -> str:
        """Return a digest of method, path and body, which tells a resend from another request."""
        hasher = hashlib.sha256(f"{self.method} {self.path}\n".encode())
        hasher.update(self.body)
        return hasher.hexdigest()


@dataclass
class Exchange:
    """A request, its answer so far and the attempts made for it.

    :param work: the description of the request for the scheduler.
    :param attempts: the number of attempts made.
    :param failed_endpoints: endpoints at which an attempt failed.
    :param verdict: the combined verdict of the attempts that ended.
    """

    request: CallerRequest
    work: Work
    answer: AnswerBuffer = field(default_factory=AnswerBuffer)
    attempts: int = 0
    failed_endpoints: set[str] = field(default_factory=set)
    verdict: Verdict = Verdict.NOT_RUN

    def next_attempt_work(self) -> Work:
        """Return the work of the next attempt, which avoids the endpoints that failed before."""
        return replace(self.work, avoided_endpoints=frozenset(self.failed_endpoints))
