"""What a platform's adapter tells the entry about the messages on the wire."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.whole_configuration import WholeConfiguration
from bergamotchute_wire.http1_messages import AnswerHead, RequestHead


@dataclass(frozen=True)
class CallerWishes:
    """What a caller's request says of itself.

    :param time_left_s: how long the caller waits, in seconds; ``None`` where it does not say.
    :param resume_after: the last event that the caller has; empty for a request from the start.
    """

    request_id: str
    team_key: str
    time_left_s: float | None
    resume_after: str = ""


@dataclass(frozen=True)
class SendFacts:
    """What the entry adds to a request on its way to an endpoint.

    :param time_left_s: how long the endpoint may work on it.
    :param team: the team whose key the caller holds; empty for a route open to all.
    :param resume_after: the last event that the caller has; empty for all of them.
    :param urgency: 0 for the most urgent to 9.
    :param body_bytes: size of the body.
    """

    endpoint: EndpointHeartbeat
    time_left_s: float
    team: str
    resume_after: str
    urgency: int
    body_bytes: int


@dataclass(frozen=True)
class EndpointWord:
    """What the head of an endpoint's answer says.

    :param request_id: the request that it answers.
    :param sealed: whether the endpoint signed it as its own.
    :param not_run: the endpoint says that the request has not run and will not.
    :param wrong_endpoint: another endpoint has the address.
    :param requests: requests that the endpoint holds; ``None`` where it does not say.
    :param leaving: the endpoint is about to stop and takes no new work.
    :param retry_after_s: how long an endpoint that refused wants nothing; ``None`` where it does
        not say.
    """

    request_id: str
    sealed: bool
    not_run: bool
    wrong_endpoint: bool
    requests: int | None
    leaving: bool = False
    retry_after_s: float | None = None


@dataclass(frozen=True)
class Dialect:
    """The functions of an adapter; they translate and decide nothing.

    :param read_configuration: raises :class:`ValueError` for what can't be read.
    """

    read_request: Callable[[RequestHead], CallerWishes]
    write_request: Callable[[RequestHead, SendFacts], RequestHead]
    read_answer: Callable[[AnswerHead], EndpointWord]
    read_configuration: Callable[[bytes], WholeConfiguration]
