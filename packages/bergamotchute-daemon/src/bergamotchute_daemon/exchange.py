"""One request under way at an entry, from its caller's bytes to the end of its answer."""

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

    :param service: the service it is for.
    :param team: the team that sent it.
    :param path: what the endpoint is asked for, with the query.
    :param stream: the answer is a stream of events that may go on at another endpoint.
    :param idempotency_key: what makes a non-idempotent request one and the same; else empty.
    :param deadline: when the caller gives up, on the runtime's clock.
    :param max_tokens: the most that a model is asked to generate; 0 for plain services.
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
        """Return what resends of this request have in common."""
        return ClaimKey(self.team, self.service, self.idempotency_key)

    def digest(self) -> str:
        """Return a digest of what is asked, to tell a resend from another request."""
        hashed = hashlib.sha256(f"{self.method} {self.path}\n".encode())
        hashed.update(self.body)
        return hashed.hexdigest()


@dataclass
class Exchange:
    """A request, its answer so far and the attempts made for it.

    :param work: the request as the scheduler sees it.
    :param attempts: how many were made.
    :param failed_endpoints: endpoints at which it failed.
    :param verdict: what the attempts that ended say together.
    """

    request: CallerRequest
    work: Work
    answer: AnswerBuffer = field(default_factory=AnswerBuffer)
    attempts: int = 0
    failed_endpoints: set[str] = field(default_factory=set)
    verdict: Verdict = Verdict.NOT_RUN

    def next_work(self) -> Work:
        """Return the work of the next attempt, which avoids where it failed before."""
        return replace(self.work, avoided_endpoints=frozenset(self.failed_endpoints))
