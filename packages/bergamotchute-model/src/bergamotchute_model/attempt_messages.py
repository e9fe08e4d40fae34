"""Messages between an entry and an agent: attempts, responses and flow control."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Literal

from bergamotchute_model.headers import Headers
from bergamotchute_model.hello import Hello
from bergamotchute_model.identifiers import AttemptId
from bergamotchute_model.verdict import Verdict


@dataclass(frozen=True)
class StartAttempt:
    """Entry to agent: run an attempt of a request.

    :param deadline_s: time left until the caller's deadline when this arrives, in seconds.
    :param priority: 0 is the most urgent.
    :param resume_offset: count of tokens already delivered to the caller; they must not be sent
        again.
    :param resume_text: the text of those tokens.
    :param credit_bytes: response bytes that the agent may send before it is granted more credit.
    :param work_tokens: the entry's estimate of the request's work, in tokens.
    :param long: whether the entry classifies the request as long.
    """

    attempt: AttemptId
    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    deadline_s: float
    idempotent: bool
    priority: int
    resume_offset: int = 0
    resume_text: str = ""
    credit_bytes: int = 262_144
    work_tokens: int = 0
    long: bool = False
    kind: Literal["start_attempt"] = "start_attempt"


@dataclass(frozen=True)
class ResponseHead:
    """Agent to entry: status and headers of the endpoint's response.

    :param status: the endpoint's HTTP status.
    """

    attempt: AttemptId
    status: int
    headers: Headers
    kind: Literal["answer_head"] = "answer_head"


@dataclass(frozen=True)
class ResponseChunk:
    """Agent to entry: the next part of the response body.

    :param sequence: index of the chunk within its attempt, from 0; a gap or a repeat is an error.
    :param events: count of server-sent events that end in ``data``; 0 if the response is not a
        stream.
    """

    attempt: AttemptId
    sequence: int
    data: bytes
    events: int = 0
    kind: Literal["answer_chunk"] = "answer_chunk"


@dataclass(frozen=True)
class ResponseEnd:
    """Agent to entry: the response is complete.

    :param chunks: count of its chunks.
    """

    attempt: AttemptId
    chunks: int
    kind: Literal["answer_end"] = "answer_end"


@dataclass(frozen=True)
class AttemptFailed:
    """Agent to entry: the attempt ended without a complete response.

    :param verdict: ``NOT_RUN`` only if the attempt did not run and the agent has barred it, so that
        it never starts.
    :param code: a stable identifier for logs, such as ``draining`` or ``endpoint_closed``.
    """

    attempt: AttemptId
    verdict: Verdict
    code: str
    detail: str
    kind: Literal["attempt_failed"] = "attempt_failed"


@dataclass(frozen=True)
class CancelAttempt:
    """Entry to agent: stop an attempt.

    The agent replies with :class:`AttemptFailed`, or with :class:`ResponseEnd` if the response is
    already complete.
    """

    attempt: AttemptId
    kind: Literal["cancel_attempt"] = "cancel_attempt"


@dataclass(frozen=True)
class GrantCredit:
    """Entry to agent: grant credit for more response bytes.

    :param credit_bytes: further bytes that may be sent.
    """

    attempt: AttemptId
    credit_bytes: int
    kind: Literal["grant_credit"] = "grant_credit"


class AttemptState(StrEnum):
    """State of an attempt as its agent knows it."""

    BARRED = "barred"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    FORGOTTEN = "forgotten"


@dataclass(frozen=True)
class QueryAttempt:
    """Entry to agent: query the state of an attempt.

    The query bars an attempt that has not reached the agent, so that :attr:`AttemptState.BARRED`
    proves that the attempt never runs.

    :param query_id: identifies the query in its report.
    """

    query_id: str
    attempt: AttemptId
    kind: Literal["query_attempt"] = "query_attempt"


@dataclass(frozen=True)
class AttemptReport:
    """Agent to entry: state of an attempt, with its response if that is still stored.

    :param status: the endpoint's HTTP status; 0 unless completed.
    """

    query_id: str
    attempt: AttemptId
    state: AttemptState
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    kind: Literal["attempt_report"] = "attempt_report"


@dataclass(frozen=True)
class EndpointLoad:
    """Agent to entry: load of the endpoint.

    :param running: count of attempts that run.
    :param waiting: count of attempts that were accepted and have not started.
    :param work_left_tokens: the agent's estimate of tokens still to generate.
    :param slots: count of attempts that the engine can run concurrently.
    :param sequence: increases with each report of one incarnation.
    :param long: count of long requests among all attempts.
    :param yours: count of attempts sent by the entry that receives this report; -1 if the
        agent can't tell. The rest of the report is the load from other entries, which holds even if
        the report arrives late.
    :param yours_long: count of long requests among ``yours``.
    :param entries: count of entries that sent attempts within the last seconds, at least 1.
    """

    endpoint: str
    incarnation: str
    sequence: int
    running: int
    waiting: int
    work_left_tokens: int
    slots: int
    draining: bool = False
    long: int = 0
    yours: int = -1
    yours_long: int = 0
    entries: int = 1
    kind: Literal["endpoint_load"] = "endpoint_load"


AttemptMessage = (
    Hello
    | StartAttempt
    | ResponseHead
    | ResponseChunk
    | ResponseEnd
    | AttemptFailed
    | CancelAttempt
    | GrantCredit
    | QueryAttempt
    | AttemptReport
    | EndpointLoad
)
