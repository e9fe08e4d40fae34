"""Messages between an entry and an agent: attempts, their answers and flow control."""

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
    """Entry to agent: run this request.

    :param deadline_s: seconds left until the caller's deadline, from receipt.
    :param priority: 0 is the most urgent.
    :param resume_offset: tokens already delivered to the caller, which must not come again.
    :param resume_text: the text of those tokens.
    :param credit_bytes: bytes of answer that the agent may send before more credit comes.
    :param work_tokens: the entry's estimate of the work, in tokens.
    :param long: whether the entry counts it as long work.
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
class AnswerHead:
    """Agent to entry: the endpoint began to answer.

    :param status: the endpoint's HTTP status.
    """

    attempt: AttemptId
    status: int
    headers: Headers
    kind: Literal["answer_head"] = "answer_head"


@dataclass(frozen=True)
class AnswerChunk:
    """Agent to entry: the next bytes of the answer.

    :param sequence: counts the chunks of one attempt from 0; a gap or a repeat is an error.
    :param events: how many server-sent events end in ``data``; 0 where the answer is no stream.
    """

    attempt: AttemptId
    sequence: int
    data: bytes
    events: int = 0
    kind: Literal["answer_chunk"] = "answer_chunk"


@dataclass(frozen=True)
class AnswerEnd:
    """Agent to entry: the answer is whole.

    :param chunks: how many chunks it had.
    """

    attempt: AttemptId
    chunks: int
    kind: Literal["answer_end"] = "answer_end"


@dataclass(frozen=True)
class AttemptFailed:
    """Agent to entry: the attempt ended without a whole answer.

    :param verdict: ``NOT_RUN`` is a proof: the agent has also barred the attempt from starting.
    :param code: a stable word for logs, such as ``draining`` or ``endpoint_closed``.
    """

    attempt: AttemptId
    verdict: Verdict
    code: str
    detail: str
    kind: Literal["attempt_failed"] = "attempt_failed"


@dataclass(frozen=True)
class CancelAttempt:
    """Entry to agent: stop this attempt; answered by :class:`AttemptFailed` or the answer's end."""

    attempt: AttemptId
    kind: Literal["cancel_attempt"] = "cancel_attempt"


@dataclass(frozen=True)
class GrantCredit:
    """Entry to agent: this many more bytes of answer may be sent."""

    attempt: AttemptId
    credit_bytes: int
    kind: Literal["grant_credit"] = "grant_credit"


class AttemptState(StrEnum):
    """What an agent knows of an attempt."""

    BARRED = "barred"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    FORGOTTEN = "forgotten"


@dataclass(frozen=True)
class QueryAttempt:
    """Entry to agent: what became of this attempt?

    An attempt that never reached the agent is barred by the question itself, so that
    :attr:`AttemptState.BARRED` proves that it never runs.

    :param query_id: matches the report to the question.
    """

    query_id: str
    attempt: AttemptId
    kind: Literal["query_attempt"] = "query_attempt"


@dataclass(frozen=True)
class AttemptReport:
    """Agent to entry: the state of an attempt, with its answer where one is kept.

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
    """Agent to entry: how busy the endpoint is.

    :param running: attempts in execution.
    :param waiting: attempts accepted and not begun.
    :param work_left_tokens: the agent's estimate of tokens still to generate.
    :param slots: attempts that the engine runs side by side.
    :param sequence: grows with each report of one incarnation.
    :param long: how many of all attempts are long work.
    :param yours: how many of all attempts came from the entry that this report goes to; -1 where
        the agent can't tell. The rest of the report is then the load of other entries, however
        late the report comes.
    :param yours_long: how many of these are long work.
    :param entries: entries that sent attempts in the last seconds, at least 1.
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
    | AnswerHead
    | AnswerChunk
    | AnswerEnd
    | AttemptFailed
    | CancelAttempt
    | GrantCredit
    | QueryAttempt
    | AttemptReport
    | EndpointLoad
)
